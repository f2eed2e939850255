package event

import "github.com/sirupsen/logrus"

// Events 200 to 299: configuration and membership.
var (
	MemberChanged = define(200, "member changed", logrus.InfoLevel, "A backend server became live, suspect, leaving or gone, named by subject, for the given reason. A suspect server gets work only when no other is left.")
	PeerMistaken  = define(201, "peer is another", logrus.WarnLevel, "The process at a listed address has another name. The VM list is late, or two settings files name one address.")
	StoreBack     = define(202, "configuration store reachable", logrus.InfoLevel, "The platform's table answers again.")
)
