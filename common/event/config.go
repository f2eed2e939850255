package event

import "github.com/sirupsen/logrus"

// Events 200 to 209: configuration and membership.
var (
	MemberChanged        = define(200, "member changed", logrus.InfoLevel, "The backend server named by subject became live, suspect, leaving or gone, for the given reason. A suspect server gets work only if no other server is available.")
	PeerNameMismatch     = define(201, "peer is another", logrus.WarnLevel, "The process at a listed address has a different name. The VM list is out of date, or two settings files use the same address.")
	ConfigStoreReachable = define(202, "configuration store reachable", logrus.InfoLevel, "The platform's table is reachable again.")
)
