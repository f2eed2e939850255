package event

import "github.com/sirupsen/logrus"

// Events 100 to 119: every process.
var (
	ProcessStarted   = define(100, "process started", logrus.InfoLevel, "The process listens on all of its addresses.")
	ProcessStopping  = define(101, "process stopping", logrus.InfoLevel, "A graceful shutdown began; work in progress is finished first.")
	ProcessStopped   = define(102, "process stopped", logrus.InfoLevel, "The graceful shutdown ended.")
	ListenerFailed   = define(103, "listener failed", logrus.ErrorLevel, "A listener stopped unexpectedly. Check the address in the settings, then restart the process.")
	ShutdownTimedOut = define(104, "requests cut by the stop", logrus.WarnLevel, "The graceful shutdown timed out with requests in progress. A request of whose answer the client has no byte is answered with 503 or 504, any other is cut. requests lists the oldest with their ages; explain them by their ids.")
	PeerConnected    = define(110, "peer connected", logrus.DebugLevel, "A control connection to a peer was opened and authenticated.")
	PeerLost         = define(111, "peer lost", logrus.WarnLevel, "A control connection ended. It is reopened automatically; check the peer if this repeats.")
	PeerRejected     = define(112, "peer rejected", logrus.WarnLevel, "A peer did not have the deployment key. Check deployment_key_file on both machines.")
)
