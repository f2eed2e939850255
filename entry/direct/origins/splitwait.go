package origins

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"peridotchute.example/common/event"
	"peridotchute.example/membership"
)

const (
	// splitWaitLogAfter is how long a change of the splits has to be held up to be logged.
	splitWaitLogAfter = time.Second
	// splitWaitLogInterval is the least time between two log lines about the splits of a service.
	splitWaitLogInterval = 5 * time.Second
	// maxLoggedHoldups bounds the entries that one log line names.
	maxLoggedHoldups = 8
)

// waitFor is what a change of the splits waits for.
type waitFor string

const (
	waitReadiness waitFor = "split wanted"       // all entries have to be able to adopt one that is added
	waitAdoption  waitFor = "earlier split kept" // all entries have to adopt the later one
)

// holdup is why an entry holds a change of the splits up.
type holdup string

const (
	holdupNotConnected holdup = "not connected"
	holdupNotTold      holdup = "has not told its progress"
	holdupRestarted    holdup = "restarted lately, or not known whether"
	holdupNotAdopted   holdup = "has not adopted the later split"
	holdupOldList      holdup = "its list of entries is older than the split"
)

// thisEntry stands for the deciding entry among those that hold a change up.
const thisEntry = "this entry"

// splitWait says what holds a change of the splits of a service up.
type splitWait struct {
	For     waitFor  `json:"for,omitempty"`
	Holdups []string `json:"holdups,omitempty"` // entries, each with its reason
}

func (w *splitWait) add(entry string, why holdup) {
	w.Holdups = append(w.Holdups, entry+" "+string(why))
}

// over reports whether nothing holds the change up.
func (w *splitWait) over() bool { return len(w.Holdups) == 0 }

// String returns what is waited for and the first entries that hold it up.
func (w *splitWait) String() string {
	named := w.Holdups[:min(len(w.Holdups), maxLoggedHoldups)]
	text := string(w.For) + ": " + strings.Join(named, ", ")
	if left := len(w.Holdups) - len(named); left > 0 {
		text += fmt.Sprintf(", and %d more", left)
	}
	return text
}

// waitState is what this entry knows of a change that is held up.
type waitState struct {
	wait   splitWait
	since  time.Time // of the present state of For
	logged time.Time
	text   string // as last logged
}

// waitedForReadiness returns for how long a split of a service has been wanted. The caller holds mu.
func (g *Registry) waitedForReadiness(service string, now time.Time) time.Duration {
	if state := g.splitWaits[service]; state != nil && state.wait.For == waitReadiness {
		return now.Sub(state.since)
	}
	return 0
}

// reviewSplitWaits notes what holds up the splits of the services, and logs it if this entry writes
// their rows.
func (g *Registry) reviewSplitWaits(now time.Time) {
	names := append(slices.Clone(g.opts.Peers.Connected()), g.opts.Self)
	g.mu.Lock()
	defer g.mu.Unlock()
	for service := range g.versions.seen {
		_, wait := g.nextSplits(service, g.usageOf(service).stages, now)
		g.noteSplitWait(service, wait, now)
		if slices.Contains(membership.Rendezvous(usagePrefix+service, names, maxAnnounceRank), g.opts.Self) {
			g.logSplitWait(service, now)
		}
	}
}

// noteSplitWait notes what holds up the splits of a service. The caller holds mu.
func (g *Registry) noteSplitWait(service string, wait splitWait, now time.Time) {
	if wait.over() {
		delete(g.splitWaits, service)
		return
	}
	state := g.splitWaits[service]
	if state == nil || state.wait.For != wait.For {
		state = &waitState{since: now}
		g.splitWaits[service] = state
	}
	state.wait = wait
}

// logSplitWait logs what holds up the splits of a service, unless it is logged already. The caller
// holds mu.
func (g *Registry) logSplitWait(service string, now time.Time) {
	state := g.splitWaits[service]
	if state == nil || now.Sub(state.since) < splitWaitLogAfter || now.Sub(state.logged) < splitWaitLogInterval {
		return
	}
	text := state.wait.String()
	if text == state.text {
		return
	}
	state.text, state.logged = text, now
	event.Log(g.opts.Log, event.SplitHeldUp, event.Subject(service), event.Reason(text), event.Count(int64(len(state.wait.Holdups))))
}
