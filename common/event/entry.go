package event

import "github.com/sirupsen/logrus"

// Events 120 to 199: the request path.
var (
	VMListFailed        = define(120, "VM list unreadable", logrus.WarnLevel, "The VM list could not be read; the servers known so far stay in use. Check the platform if this lasts.")
	PeerInventoryFailed = define(121, "peer inventory unreadable", logrus.WarnLevel, "A side process did not report its resident artifacts; it is queried again after its next report.")
	OfferFailed         = define(122, "configuration offer failed", logrus.WarnLevel, "A side process did not accept an offered configuration; it is offered again with the next connection or version.")
	ConfigActive        = define(123, "configuration in force", logrus.InfoLevel, "The process uses the configuration version given as count.")
	ConfigFailed        = define(124, "configuration unreadable", logrus.WarnLevel, "The newest configuration could not be read; the active version stays in use.")
	AttemptFailed       = define(125, "attempt failed", logrus.InfoLevel, "One attempt of a request failed at the peer; an idempotent request is retried elsewhere. If the connection broke, digest identifies what the client asked for: requests that a client sends again, with other IDs, have the same one.")
	StreamCut           = define(126, "stream cut", logrus.WarnLevel, "A stream ended before its explicit end and could not be resumed; the caller's connection was closed so that the response does not look complete.")
	DrainStarted        = define(127, "drain begun", logrus.InfoLevel, "The process accepts no new work and finishes what is in progress.")
	GateRefused         = define(128, "gate refused a request", logrus.WarnLevel, "A request without the deployment key reached the side process.")
)
