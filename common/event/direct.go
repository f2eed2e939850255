package event

import "github.com/sirupsen/logrus"

// Events 700 to 799: entries that call backend servers directly.
var (
	StoreLost              = define(700, "store lost", logrus.WarnLevel, "The platform's store does not answer this entry; what was known stays in force.")
	StoreRegained          = define(701, "store regained", logrus.InfoLevel, "The platform's store answers again.")
	RegistrationUnreadable = define(702, "registration unreadable", logrus.WarnLevel, "A backend server's registration cannot be understood; told once for each row. What was known of the server stays in force.")
)

// Events 720 to 739: requests at such entries.
var (
	RequestRefused = define(720, "request refused", logrus.InfoLevel, "A request got its final answer from the entry; count is the status and reason says why.")
)
