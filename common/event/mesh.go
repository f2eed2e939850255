package event

import "github.com/sirupsen/logrus"

// Events 210 to 229: control calls between entries.
var (
	EntryConnected       = define(210, "entry connected", logrus.InfoLevel, "A control connection to another entry was opened.")
	EntryLost            = define(211, "entry lost", logrus.WarnLevel, "The control connection to another entry ended, for the given reason. It is reopened automatically; until then that entry's load is not counted.")
	EntryRowsFailed      = define(212, "entry rows unavailable", logrus.WarnLevel, "The rows of the entries could not be read or written. Connected entries notify each other of new ones; check the store if this lasts.")
	EntryRowsAvailable   = define(213, "entry rows available", logrus.InfoLevel, "The rows of the entries can be read and written again.")
	EntryRowRemoved      = define(214, "entry row removed", logrus.InfoLevel, "An entry that had been unreachable for a long time was removed from the rows.")
	EntryRowUnreadable   = define(215, "entry row unreadable", logrus.WarnLevel, "A row of an entry cannot be parsed and is ignored.")
	DocumentReceived     = define(216, "document taken from peer", logrus.DebugLevel, "A newer document, such as a configuration or a list of servers, was received from another entry; count is its version.")
	DocumentFailed       = define(217, "document not received", logrus.WarnLevel, "Another entry announced a newer document but did not deliver it. It is requested again from that entry or another one.")
	EntryConnectionError = define(218, "entry connection broken", logrus.InfoLevel, "A control connection between entries was reset or carried data that cannot be parsed; peer is the remote address.")
	OriginNotAsked       = define(219, "origin not asked", logrus.WarnLevel, "An entry did not answer which software version began a stream. If no other one knows, the client's request to resume it is refused.")
)
