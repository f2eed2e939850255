package decisionlog

import (
	"time"

	"peridotchute.example/common/event"
)

// Started tells that the process listens on all of its addresses.
type Started struct {
	Role    string
	Address string
	Zone    string
}

// Stopping tells that a graceful shutdown began.
type Stopping struct {
	InProgress int // requests
}

// StopCut tells which requests a graceful shutdown could not wait for.
type StopCut struct {
	InProgress int
	Oldest     map[string]time.Duration // age by request ID, of some
}

// Stopped tells that the graceful shutdown ended.
type Stopped struct {
	InProgress int // requests that were still in progress
}

// Reloaded tells that the settings file was read again.
type Reloaded struct {
	Changed string // what changed; empty for nothing
	Err     error  // when the file cannot be used
}

// ConfigReplaced tells that another configuration is in force here.
type ConfigReplaced struct {
	Version  int64
	Previous int64
	Routes   int
	Services int
}

// ServerChange says what became of a server.
type ServerChange int

// The changes of a server.
const (
	ServerAppeared ServerChange = iota
	ServerLeft
	ServerDraining
	ServerUnreadable
	ServerSuspected
)

// ServerChanged tells that the process sees a server differently.
type ServerChanged struct {
	Change     ServerChange
	Server     string
	Service    string
	Address    string
	Zone       string
	RowVersion int64         // version of the registration
	ViewAge    time.Duration // since the registrations were asked for
	Remaining  time.Duration // until a draining server is gone; 0 when not told
	Held       string        // models that it holds or held, joined by spaces
	Reason     string
}

// HoldingChanged tells that a server began or ceased to hold a model.
type HoldingChanged struct {
	Server     string
	Model      string
	Gained     bool
	RowVersion int64         // version of the registration; 0 when it was learned otherwise
	ViewAge    time.Duration // since the registrations were asked for
}

// StoreLost tells that the platform's store does not answer.
type StoreLost struct {
	Call string // what was asked
	Err  error
}

// StoreRegained tells that the platform's store answers again.
type StoreRegained struct {
	Call string
	Down time.Duration
}

// leftOut tells how many lines were left out, by event.
type leftOut struct {
	counts map[string]int64
}

// truncated tells how many decisions of a request were not kept.
type truncated struct {
	count int
}

// Event implements Record.
func (Started) Event() event.Event { return event.ProcessStarted }

// Event implements Record.
func (Stopping) Event() event.Event { return event.ProcessStopping }

// Event implements Record.
func (StopCut) Event() event.Event { return event.StopCut }

// Event implements Record.
func (Stopped) Event() event.Event { return event.ProcessStopped }

// Event implements Record.
func (r Reloaded) Event() event.Event {
	if r.Err != nil {
		return event.SettingsKept
	}
	return event.SettingsReloaded
}

// Event implements Record.
func (ConfigReplaced) Event() event.Event { return event.ConfigReplaced }

// Event implements Record.
func (r ServerChanged) Event() event.Event {
	return [...]event.Event{
		event.ServerAppeared, event.ServerLeft, event.ServerDraining,
		event.ServerUnreadable, event.ServerSuspected,
	}[r.Change]
}

// Event implements Record.
func (r HoldingChanged) Event() event.Event {
	if r.Gained {
		return event.ModelHeld
	}
	return event.ModelGone
}

// Event implements Record.
func (StoreLost) Event() event.Event { return event.StoreLost }

// Event implements Record.
func (StoreRegained) Event() event.Event { return event.StoreRegained }

// Event implements Record.
func (leftOut) Event() event.Event { return event.LogLinesLeftOut }

// Event implements Record.
func (truncated) Event() event.Event { return event.TraceTruncated }
