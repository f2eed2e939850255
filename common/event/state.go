package event

import "github.com/sirupsen/logrus"

// Events 640 to 689: the state of a deployment whose backend servers are
// called directly, as a process sees it.
var (
	ConfigReplaced      = define(640, "configuration replaced", logrus.InfoLevel, "This process now uses another configuration version. source is store if its own waiting call returned it, store check if that call missed it, and else the entry that sent it.")
	ServerAppeared      = define(641, "server appeared", logrus.InfoLevel, "A backend server, or a new incarnation of one, was added to the list; row_version is the version of its registration.")
	ServerLeft          = define(642, "server left", logrus.WarnLevel, "A backend server is no longer used; source is store, if this entry read its list of servers itself, or the entry that sent the list; view_age_ms is the age of the list.")
	ServerDraining      = define(643, "server draining", logrus.InfoLevel, "A backend server accepts no new requests; remaining_ms, when known, is the time until it is removed. Without a reason its registration says so, and source is as in line 642; reason names the answer in which it said so itself, or the entry that was told.")
	ServerUnreadable    = define(644, "registration unreadable", logrus.WarnLevel, "A registration is not one that a backend server writes, and is not used. Check the process that writes it.")
	ServerSuspected     = define(645, "server suspected", logrus.WarnLevel, "A backend server could not be reached, for the given reason; this entry sends it no requests for a while.")
	ModelLoaded         = define(647, "model held", logrus.InfoLevel, "A backend server has loaded a model.")
	ModelUnloaded       = define(648, "model gone", logrus.InfoLevel, "A backend server no longer has a model loaded; look for an order to unload it, or for a restart under the same id.")
	NotMadeResident     = define(649, "not made resident", logrus.WarnLevel, "The lease holder, named by peer, did not load the model or adapter named by subject. It is asked again while requests wait for it.")
	StoreLost           = define(650, "store lost", logrus.WarnLevel, "The platform's store does not answer this process. Requests are served with the last known configuration and servers.")
	StoreRecovered      = define(651, "store regained", logrus.InfoLevel, "The platform's store answers again; down_ms is the length of the outage.")
	ServerCrashed       = define(652, "server crashed", logrus.WarnLevel, "A backend server closed the connections of its requests and refuses new ones; lost is the number of requests of this entry that it had. Lines 125 of these requests follow or precede, with their digests; their lines 600 name the parts of their prompts.")
	PartQuarantined     = define(653, "prompt part quarantined", logrus.ErrorLevel, "Servers crashed, one after the other, on requests with the prompt part: requests with it are refused until the quarantine ends. source says how this entry knows: crashes, for its own finding, or store, or the entry that told it. Find out who sends the part, and why the engine crashes on it.")
	PartReleased        = define(654, "prompt part released", logrus.WarnLevel, "The quarantine of a prompt part ended early, since a request with it was answered; source is the entry that told it, or answer.")
	QuarantineNotStored = define(655, "quarantine not stored", logrus.WarnLevel, "A quarantined prompt part or request could not be written to the store, which is tried again. Meanwhile only running entries know it.")
	QuarantineNotRead   = define(656, "quarantine not read", logrus.WarnLevel, "The quarantined prompt parts and requests could not be read from the store, which is tried again; running entries tell them as well.")
	ServerLimited       = define(657, "server limit changed", logrus.WarnLevel, "A backend server in need named the rate of requests that it takes from all entries together, another one, or, if limited is false, none any more. source is the request whose answer said so, or the entry that told this one.")
	RequestQuarantined  = define(658, "request quarantined", logrus.ErrorLevel, "Servers crashed, one after the other, on a request that clients send again and again: requests with its digest are refused until the quarantine ends. source is as in line 653; requests names some of its client attempts, whose lines 600 and 125 say where it goes. Find out who sends it, and why the server crashes on it.")
	RequestReleased     = define(659, "request released", logrus.WarnLevel, "The quarantine of a request ended early, since one with its digest was answered; source is the entry that told it, or answer.")
	VersionsChanged     = define(660, "versions changed", logrus.InfoLevel, "This entry wrote which software versions of a service, named by subject, are in use. An announced version gets no resumable streams yet, a settled one does, and one that left has streams that clients may still resume.")
	VersionsNotStored   = define(661, "versions not stored", logrus.WarnLevel, "The row of a service with its software versions could not be read or written, which is tried again. A new version gets resumable streams later, and a stream without a record is refused.")
	VersionsNotRead     = define(662, "versions unreadable", logrus.WarnLevel, "The row with the software versions of a service, named by subject, could not be parsed and is not used.")

	StreamRecordsNotStored = define(663, "stream records not stored", logrus.WarnLevel, "The records of which software version began which stream could not be written to the store, which is tried again. Until then only running entries have them.")
	StreamRecordsNotRead   = define(664, "stream records not read", logrus.WarnLevel, "The records of which software version began which stream could not be read from the store, or the row named by subject not parsed. Streams without a record elsewhere are refused while several versions are in use.")

	StoreWentBack       = define(675, "store went back", logrus.ErrorLevel, "The platform's store answered with a lower version than before: it lost what was written last. row_version is the version of the list of servers, which is used, and previous that of the one before. Other entries read the list themselves until the versions have passed the earlier ones.")
	SettingsReloaded    = define(670, "settings reloaded", logrus.InfoLevel, "The settings file was read again; reason says what changed, or that nothing did.")
	SettingsNotReloaded = define(671, "settings not reloaded", logrus.ErrorLevel, "The settings file cannot be used; the current settings stay active. Correct the file named in the error.")
	ServerKept          = define(672, "server kept", logrus.WarnLevel, "A backend server has no registration in the newest list, and is used until keep_ms have passed; reason says why: an outage of the store, after which live servers register again.")
	StoreOutage         = define(673, "store outage assumed", logrus.WarnLevel, "No entry is known to have read the registrations from start_ms ago to end_ms ago. Servers without a registration are kept for a while; see line 672. source says how this entry knows: store, for its own reads, or the entry whose list says so; reason says how it was concluded.")
	ServersIgnored      = define(674, "server list ignored", logrus.WarnLevel, "A list of servers was not applied, for the given reason; row_version is its version in the store, previous that of the list in use, and source is store or the entry that sent it. Of a series only the first is written. If the store itself answers with lower versions, it has lost some.")
	ConfigWaitDoubted   = define(680, "configuration wait doubted", logrus.WarnLevel, "A read of the store got no answer while this process waited for the next configuration there, so that call may be lost as well; waited_ms is how long it has waited. It is begun anew (681) when the store answers this process or another entry.")
	ConfigWaitRenewed   = define(681, "configuration wait begun anew", logrus.InfoLevel, "The call that waits for the next configuration is given up and begun anew after delay_ms, for the reason given: it may be lost, or the store has a change that it did not return. doubted_ms is how long it was in doubt.")
)
