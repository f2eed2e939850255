package event

import "github.com/sirupsen/logrus"

// Events 300 to 399: non-idempotent actions and late work.
var (
	ActionRefused    = define(300, "action attempt refused", logrus.WarnLevel, "A side process refused an attempt that was barred, already started or meant for its earlier incarnation. Nothing was run by it.")
	ActionLost       = define(301, "action answer lost", logrus.ErrorLevel, "The backend server took an action and gave no whole answer. The action goes onto the unresolved list.")
	RegisterFull     = define(302, "action register full", logrus.ErrorLevel, "A side process refuses actions because it remembers too many. Lower outcome_retention_s or add backend servers.")
	ActionUnresolved = define(310, "action unresolved", logrus.ErrorLevel, "Nobody can know whether the action ran. Settle it with `peridotchute unresolved`.")
	ActionOpen       = define(311, "action outcome not written", logrus.WarnLevel, "The table did not take an action's outcome. It is tried again in the background.")
	ActionSettled    = define(312, "action settled", logrus.InfoLevel, "A claim left open by another entry, or by this one, was settled.")
	SettleFailed     = define(313, "reading open actions failed", logrus.WarnLevel, "The table could not be read for open actions. It is read again at the next turn.")
	SettleDropped    = define(314, "background settling refused", logrus.WarnLevel, "Too many actions wait to be settled; the reconciler will find this one in the table.")
)
