package event

import "github.com/sirupsen/logrus"

// Events 640 to 679: what a process believes of a deployment whose backend
// servers are called directly.
var (
	ConfigReplaced   = define(640, "configuration replaced", logrus.InfoLevel, "Another configuration version is in force in this process.")
	ServerAppeared   = define(641, "server appeared", logrus.InfoLevel, "A backend server is listed that was not, or not under this incarnation; row_version is the version of its registration.")
	ServerLeft       = define(642, "server left", logrus.WarnLevel, "A backend server is no longer used; reason says how the process learned it.")
	ServerDraining   = define(643, "server draining", logrus.InfoLevel, "A backend server takes no new requests; remaining_ms, when told, is the time until it is gone.")
	ServerUnreadable = define(644, "registration unreadable", logrus.WarnLevel, "A registration could not be understood and is not used. Look at who writes it.")
	ServerSuspected  = define(645, "server suspected", logrus.WarnLevel, "A backend server could not be reached, for the given reason; this entry sends it no requests for a while.")
	ModelHeld        = define(647, "model held", logrus.InfoLevel, "A backend server holds a model that it did not hold.")
	ModelGone        = define(648, "model gone", logrus.InfoLevel, "A backend server no longer holds a model; look for an order to unload it, or for a restart under the same id.")
	NotMadeResident  = define(649, "not made resident", logrus.WarnLevel, "The entry that gives the orders, named by peer, did not make the model or adapter named by subject resident. It is asked again while requests wait for it.")
	StoreLost        = define(650, "store lost", logrus.WarnLevel, "The platform's store does not answer this process. Requests go on with the last known configuration and servers.")
	StoreRegained    = define(651, "store regained", logrus.InfoLevel, "The platform's store answers again; down_ms is how long it did not.")
	SettingsReloaded = define(670, "settings reloaded", logrus.InfoLevel, "The settings file was read again; reason says what changed, or that nothing did.")
	SettingsKept     = define(671, "settings not reloaded", logrus.ErrorLevel, "The settings file cannot be used; the settings in force stay. Correct the file named in the error.")
)
