package event

import "github.com/sirupsen/logrus"

// Events 210 to 229: control calls between entries.
var (
	EntryLinked          = define(210, "entry connected", logrus.InfoLevel, "A control connection to another entry was opened.")
	EntryUnlinked        = define(211, "entry lost", logrus.WarnLevel, "The control connection to another entry ended, for the given reason. It is opened again by itself; its load no longer counts until then.")
	EntryRowsFailed      = define(212, "entry rows unavailable", logrus.WarnLevel, "The rows of the entries could not be read or written. Entries that are connected tell each other of new ones; look at the store when it lasts.")
	EntryRowsBack        = define(213, "entry rows available", logrus.InfoLevel, "The rows of the entries can be read and written again.")
	EntryRowRemoved      = define(214, "entry row removed", logrus.InfoLevel, "An entry that could not be reached for long was removed from the rows.")
	EntryRowUnreadable   = define(215, "entry row unreadable", logrus.WarnLevel, "A row of an entry cannot be understood and is ignored.")
	DocumentTaken        = define(216, "document taken from peer", logrus.DebugLevel, "A newer document, such as a configuration or a list of servers, came from another entry; count is its version.")
	DocumentFailed       = define(217, "document not received", logrus.WarnLevel, "Another entry announced a newer document and did not deliver it. It is asked for again, there or elsewhere.")
	EntryConnectionError = define(218, "entry connection broken", logrus.InfoLevel, "A control connection between entries was reset or carried something that cannot be understood; peer is the address at its other end.")
)
