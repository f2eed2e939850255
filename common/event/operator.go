package event

import "github.com/sirupsen/logrus"

// Events 500 to 599: operators and the administration API.
var (
	OperatorRefused       = define(500, "operator refused", logrus.WarnLevel, "A request to the administration API had no key, an unknown key or a key without the required role. Find out who sent it; replace a key that has leaked.")
	ChangePlanned         = define(501, "change planned", logrus.InfoLevel, "An operator planned a configuration; subject is its digest. Nothing changed.")
	ChangeAccepted        = define(502, "change accepted", logrus.InfoLevel, "An operator accepted a configuration; subject is its digest, count its version.")
	ChangeConflict        = define(503, "change conflict", logrus.InfoLevel, "A plan was not accepted because another change was accepted first. Plan again and accept the new digest.")
	ChangeUnknown         = define(504, "change outcome unknown", logrus.ErrorLevel, "The response of the platform's store was lost while a configuration was accepted. Accept the same digest again: it takes effect once.")
	AuditFailed           = define(505, "audit record not written", logrus.ErrorLevel, "An audit record could not be written to the table service. A change without one is refused; check the table service.")
	OperatorKeysUnchanged = define(506, "operator keys not reloaded", logrus.ErrorLevel, "The operator key file changed but cannot be read; the old keys stay valid. Correct the file named in the error.")
	OperatorSettled       = define(507, "action settled by operator", logrus.InfoLevel, "An operator recorded the outcome of an unresolved action.")
	DrainOrdered          = define(508, "drain ordered by operator", logrus.InfoLevel, "An operator asked a backend server to accept no new work.")
)
