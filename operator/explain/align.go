package explain

import (
	"fmt"
	"slices"
	"time"

	"peridotchute.example/common/event"
)

// alignment says how a process's clock was brought to that of another one.
type alignment struct {
	shift time.Duration // added to offsets of the process
	how   string
}

// align returns the alignment of each process that can be compared with the
// reference: by the collector's times, else by facts that both learned, else by
// the VMs' time of day, which may be wrong.
func (s *Logs) align(reference *process) map[*process]alignment {
	known := map[*process]alignment{reference: {how: "reference"}}
	for s.alignFurther(known) {
	}
	for _, p := range s.processes {
		if _, done := known[p]; !done {
			known[p] = alignment{shift: clockShift(reference, p), how: "by the VMs' time of day, which may differ"}
		}
	}
	return known
}

// alignFurther aligns processes with those aligned before, since two processes
// may have learned facts together that the reference missed. It reports whether
// any were added.
func (s *Logs) alignFurther(known map[*process]alignment) bool {
	found := map[*process]alignment{}
	for _, p := range s.processes {
		if _, done := known[p]; done {
			continue
		}
		for _, base := range s.processes { // in order, so that the result is the same each time
			to, done := known[base]
			if !done {
				continue
			}
			if a, ok := alignTo(base, p); ok {
				found[p] = alignment{shift: to.shift + a.shift, how: a.how}
				break
			}
		}
	}
	for p, a := range found {
		known[p] = a
	}
	return len(found) > 0
}

func alignTo(base, p *process) (alignment, bool) {
	if a, ok := alignByCollector(base, p); ok {
		return a, true
	}
	return alignByFacts(base, p)
}

// alignByCollector compares the times that one collector gave to both. A line
// reaches it some time after it was made; the shortest delay counts.
func alignByCollector(base, p *process) (alignment, bool) {
	a, okA := start(base)
	b, okB := start(p)
	return alignment{shift: b - a, how: "by the collector's times"}, okA && okB
}

// start returns the collector's time of the start of a process.
func start(p *process) (time.Duration, bool) {
	var earliest time.Duration
	found := false
	for _, l := range p.lines {
		if !l.HasTime {
			continue
		}
		if at := l.Collected - l.Offset; !found || at < earliest {
			earliest, found = at, true
		}
	}
	return earliest, found
}

// alignByFacts takes the median over the facts that both processes learned.
func alignByFacts(base, p *process) (alignment, bool) {
	facts := factsOf(base)
	var shifts []time.Duration
	for fact, at := range factsOf(p) {
		if other, shared := facts[fact]; shared {
			shifts = append(shifts, other-at)
		}
	}
	if len(shifts) == 0 {
		return alignment{}, false
	}
	slices.Sort(shifts)
	return alignment{
		shift: shifts[len(shifts)/2],
		how:   fmt.Sprintf("by %d facts that both learned, which agree to %v", len(shifts), (shifts[len(shifts)-1] - shifts[0]).Round(time.Millisecond)),
	}, true
}

// factsOf returns when a process first learned what others learn as well.
func factsOf(p *process) map[string]time.Duration {
	facts := map[string]time.Duration{}
	for _, l := range p.lines {
		fact := factOf(l)
		if _, earlier := facts[fact]; fact != "" && !earlier {
			facts[fact] = l.Offset
		}
	}
	return facts
}

// factOf names a fact that each process learns from the store, or returns "".
func factOf(l *Line) string {
	switch l.Event {
	case event.ConfigReplaced.ID:
		return "config " + l.Text("config_version")
	case event.ServerAppeared.ID, event.ServerDraining.ID, event.ServerLeft.ID, event.ModelHeld.ID, event.ModelGone.ID:
		if version := l.Text("row_version"); version != "" {
			return fmt.Sprintf("%s %s %s %s", l.Name, l.Text("server"), version, l.Text("model"))
		}
	}
	return ""
}

// clockShift compares the times of day at which two processes started.
func clockShift(base, p *process) time.Duration {
	started := func(p *process) time.Time { return p.first.Clock.Add(-p.first.Offset) }
	return started(p).Sub(started(base))
}
