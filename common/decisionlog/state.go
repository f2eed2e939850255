package decisionlog

import (
	"time"

	"peridotchute.example/common/event"
)

// Started records that the process listens on all of its addresses.
type Started struct {
	Role    string
	Address string
	Zone    string
}

// Stopping records the start of a graceful shutdown.
type Stopping struct {
	InProgress int // requests in progress
}

// ShutdownTimedOut records the requests still in progress when a graceful shutdown timed
// out.
type ShutdownTimedOut struct {
	InProgress int
	Oldest     map[string]time.Duration // ages of the oldest requests, by request ID
}

// Stopped records the end of the graceful shutdown.
type Stopped struct {
	InProgress int // requests still in progress
}

// Reloaded records that the settings file was read again.
type Reloaded struct {
	Changed string // what changed; empty if nothing did
	Err     error  // why the file cannot be used; nil if it can
}

// ConfigReplaced records a change of the active configuration.
type ConfigReplaced struct {
	Version  int64
	Previous int64
	Routes   int
	Services int
	Source   string // SourceStore, SourceStoreCheck, or the entry that sent the configuration
}

// SourceStoreCheck is the source of a configuration that the process found in the store while
// a call that waits there for the next one had not returned it.
const SourceStoreCheck = "store check"

// ServerChange is a kind of change in the state of a server.
type ServerChange int

// The kinds of changes of a server.
const (
	ServerAppeared ServerChange = iota
	ServerLeft
	ServerDraining
	ServerUnreadable
	ServerSuspected
	ServerKept
)

// ServerChanged records a change in what the process knows of a server.
type ServerChanged struct {
	Change       ServerChange
	Server       string
	Service      string
	Software     string // version of the server's software
	Address      string
	Zone         string
	RowVersion   int64         // version of the registration
	ViewAge      time.Duration // since the request that read the registrations
	Remaining    time.Duration // until a draining server is removed; 0 if unknown
	LoadedModels string        // models that it has or had loaded, joined by spaces
	Keep         time.Duration // for how long a server without a registration is kept; 0 if it is not
	Source       string        // SourceStore, or the entry that sent the list of servers; empty if it is not due to a list
	Reason       string
}

// SourceStore is the source of a list of servers that the process read from the store itself.
const SourceStore = "store"

// ModelChanged records that a server loaded or unloaded a model.
type ModelChanged struct {
	Server     string
	Model      string
	Loaded     bool          // true if loaded, false if unloaded
	RowVersion int64         // version of the registration; 0 if learned in another way
	ViewAge    time.Duration // since the request that read the registrations
}

// ServerCrashed records the crash of a server that had requests of this process.
type ServerCrashed struct {
	Server  string
	Service string
	Address string
	Lost    int // requests of this process
}

// ServerLimited records a change of the rate of requests that a server takes from all
// entries together.
type ServerLimited struct {
	Server    string
	Limited   bool
	PerSecond float64
	Source    string // the request whose answer said so, or the entry that told this one
}

// Cause is what requests have in common on which servers crash: a part of their prompts, or
// the digest of one request that is sent again. One field is set.
type Cause struct {
	Part   uint64
	Digest uint64
}

// String names the cause.
func (c Cause) String() string {
	if c.Digest != 0 {
		return "request " + FormatDigest(c.Digest)
	}
	return "prompt part " + FormatPart(c.Part)
}

// CauseQuarantined records that requests with a cause are refused from now on.
type CauseQuarantined struct {
	Cause
	Source    string        // how the process knows
	Crashes   int           // that led to it; 0 if another process found the cause
	Requests  []string      // some of the requests lost with the cause
	Remaining time.Duration // until the quarantine ends
}

// CauseReleased records that requests with a cause are sent again.
type CauseReleased struct {
	Cause
	Source string // how the process knows
}

// StoreLost records that the platform's store does not answer.
type StoreLost struct {
	Call string // the call that failed
	Err  error
}

// StoreRecovered records that the platform's store answers again.
type StoreRecovered struct {
	Call string
	Down time.Duration // length of the outage
}

// StoreOutage records that the process assumes an outage of the platform's store.
type StoreOutage struct {
	Start  time.Duration // since the outage began; 0 if unknown
	End    time.Duration // since it ended
	Source string        // SourceStore, or the entry that told of it
	Reason string
}

// StoreWentBack records that the platform's store answered with a lower version than before.
type StoreWentBack struct {
	Version  int64 // of the list of servers, which is used
	Previous int64 // of the list before
}

// ServersIgnored records that a list of servers was not applied.
type ServersIgnored struct {
	Version  int64 // position in the store
	Previous int64 // position of the list in use
	ViewAge  time.Duration
	Source   string // SourceStore, or the entry that sent the list
	Reason   string
}

// ConfigWaitDoubted records that the call that waits for the next configuration may be
// lost, since another call to the store got no answer meanwhile.
type ConfigWaitDoubted struct {
	Waited time.Duration // since the call began
}

// ConfigWaitRenewed records that the call that waits for the next configuration is given
// up and begun anew.
type ConfigWaitRenewed struct {
	Reason  string
	Waited  time.Duration // since the call began
	Doubted time.Duration // for how long it was in doubt; zero if it was not
	Delay   time.Duration // until it is begun anew
}

// leftOut records how many lines were left out.
type leftOut struct {
	counts map[string]int64 // by event name
}

// truncated records how many decisions of a request exceeded traceCapacity.
type truncated struct {
	count int
}

// Event implements Record.
func (Started) Event() event.Event { return event.ProcessStarted }

// Event implements Record.
func (Stopping) Event() event.Event { return event.ProcessStopping }

// Event implements Record.
func (ShutdownTimedOut) Event() event.Event { return event.ShutdownTimedOut }

// Event implements Record.
func (Stopped) Event() event.Event { return event.ProcessStopped }

// Event implements Record.
func (r Reloaded) Event() event.Event {
	if r.Err != nil {
		return event.SettingsNotReloaded
	}
	return event.SettingsReloaded
}

// Event implements Record.
func (ConfigReplaced) Event() event.Event { return event.ConfigReplaced }

// Event implements Record.
func (r ServerChanged) Event() event.Event {
	return [...]event.Event{
		event.ServerAppeared, event.ServerLeft, event.ServerDraining,
		event.ServerUnreadable, event.ServerSuspected, event.ServerKept,
	}[r.Change]
}

// Event implements Record.
func (r ModelChanged) Event() event.Event {
	if r.Loaded {
		return event.ModelLoaded
	}
	return event.ModelUnloaded
}

// Event implements Record.
func (ServerCrashed) Event() event.Event { return event.ServerCrashed }

// Event implements Record.
func (ServerLimited) Event() event.Event { return event.ServerLimited }

// Event implements Record.
func (r CauseQuarantined) Event() event.Event {
	if r.Digest != 0 {
		return event.RequestQuarantined
	}
	return event.PartQuarantined
}

// Event implements Record.
func (r CauseReleased) Event() event.Event {
	if r.Digest != 0 {
		return event.RequestReleased
	}
	return event.PartReleased
}

// Event implements Record.
func (StoreLost) Event() event.Event { return event.StoreLost }

// Event implements Record.
func (StoreRecovered) Event() event.Event { return event.StoreRecovered }

// Event implements Record.
func (StoreOutage) Event() event.Event { return event.StoreOutage }

// Event implements Record.
func (StoreWentBack) Event() event.Event { return event.StoreWentBack }

// Event implements Record.
func (ServersIgnored) Event() event.Event { return event.ServersIgnored }

// Event implements Record.
func (ConfigWaitDoubted) Event() event.Event { return event.ConfigWaitDoubted }

// Event implements Record.
func (ConfigWaitRenewed) Event() event.Event { return event.ConfigWaitRenewed }

// Event implements Record.
func (leftOut) Event() event.Event { return event.LogLinesLeftOut }

// Event implements Record.
func (truncated) Event() event.Event { return event.TraceTruncated }
