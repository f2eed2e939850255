package event

import "github.com/sirupsen/logrus"

// Events 300 to 349: non-idempotent actions.
var (
	ActionRefused     = define(300, "action attempt refused", logrus.WarnLevel, "A side process rejected an attempt that was fenced, already started or meant for an earlier incarnation of the side process. The attempt ran nothing.")
	ActionLost        = define(301, "action answer lost", logrus.ErrorLevel, "The backend server accepted an action but returned no complete response. The action is added to the unresolved list.")
	RegisterFull      = define(302, "action register full", logrus.ErrorLevel, "A side process rejects actions because its register is full. Lower outcome_retention_s or add backend servers.")
	ActionUnresolved  = define(310, "action unresolved", logrus.ErrorLevel, "It cannot be determined whether the action ran. Settle it with `peridotchute unresolved`.")
	OutcomeNotWritten = define(311, "action outcome not written", logrus.WarnLevel, "An action's outcome could not be written to the table. The write is retried in the background.")
	ActionSettled     = define(312, "action settled", logrus.InfoLevel, "A claim left open by this or another entry was settled.")
	SettleFailed      = define(313, "reading open actions failed", logrus.WarnLevel, "The table could not be read for open actions. The read is retried at the next scan.")
	SettleDropped     = define(314, "background settling refused", logrus.WarnLevel, "Too many actions wait to be settled; the reconciler will find this one in the table.")
)
