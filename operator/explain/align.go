package explain

import (
	"fmt"
	"slices"
	"time"

	"peridotchute.example/common/event"
)

// alignment maps the clock of a process to that of a reference process.
type alignment struct {
	shift  time.Duration // added to log offsets of the process
	method string        // how shift was determined, as printed in the explanation
}

// align returns the alignment of each process with the reference. It uses the
// collector's timestamps if available, otherwise events that both processes
// logged, and otherwise the wall clocks of the VMs, which may be wrong.
func (s *Logs) align(reference *process) map[*process]alignment {
	known := map[*process]alignment{reference: {method: "reference"}}
	for s.alignViaKnown(known) {
	}
	for _, p := range s.processes {
		if _, aligned := known[p]; !aligned {
			known[p] = alignment{shift: wallClockShift(reference, p), method: "by the VMs' wall clocks, which may differ"}
		}
	}
	return known
}

// alignViaKnown aligns further processes with those that are already aligned,
// since a process may share events with one of these but not with the reference.
// It reports whether it aligned any.
func (s *Logs) alignViaKnown(known map[*process]alignment) bool {
	added := map[*process]alignment{}
	for _, p := range s.processes {
		if _, aligned := known[p]; aligned {
			continue
		}
		for _, base := range s.processes { // in a fixed order, for a deterministic result
			baseAlignment, aligned := known[base]
			if !aligned {
				continue
			}
			if a, ok := alignTo(base, p); ok {
				added[p] = alignment{shift: baseAlignment.shift + a.shift, method: a.method}
				break
			}
		}
	}
	for p, a := range added {
		known[p] = a
	}
	return len(added) > 0
}

func alignTo(base, p *process) (alignment, bool) {
	if a, ok := alignByCollector(base, p); ok {
		return a, true
	}
	return alignBySharedEvents(base, p)
}

// alignByCollector compares the start times of both processes on the collector's
// clock. It fails if the lines of either process have no collector timestamps.
func alignByCollector(base, p *process) (alignment, bool) {
	a, okA := collectorStart(base)
	b, okB := collectorStart(p)
	return alignment{shift: b - a, method: "by the collector's timestamps"}, okA && okB
}

// collectorStart estimates when a process started on the collector's clock. Each
// line reaches the collector with some delay; the estimate with the shortest
// delay, which is the earliest, is used.
func collectorStart(p *process) (time.Duration, bool) {
	var earliest time.Duration
	found := false
	for _, l := range p.lines {
		if !l.HasCollected {
			continue
		}
		if at := l.Collected - l.Offset; !found || at < earliest {
			earliest, found = at, true
		}
	}
	return earliest, found
}

// alignBySharedEvents aligns a process by the median time difference of the
// changes that both processes logged. It fails if there are none.
func alignBySharedEvents(base, p *process) (alignment, bool) {
	baseTimes := sharedEventTimes(base)
	var shifts []time.Duration
	for key, at := range sharedEventTimes(p) {
		if baseTime, shared := baseTimes[key]; shared {
			shifts = append(shifts, baseTime-at)
		}
	}
	if len(shifts) == 0 {
		return alignment{}, false
	}
	slices.Sort(shifts)
	return alignment{
		shift:  shifts[len(shifts)/2],
		method: fmt.Sprintf("by %d shared events, which agree within %v", len(shifts), (shifts[len(shifts)-1] - shifts[0]).Round(time.Millisecond)),
	}, true
}

// sharedEventTimes returns the offset of the first occurrence of each event that
// other processes log as well.
func sharedEventTimes(p *process) map[string]time.Duration {
	times := map[string]time.Duration{}
	for _, l := range p.lines {
		key := sharedEventKey(l)
		if _, seen := times[key]; key != "" && !seen {
			times[key] = l.Offset
		}
	}
	return times
}

// sharedEventKey identifies a change that every process reads from the store and
// logs. It returns "" for other lines.
func sharedEventKey(l *Line) string {
	switch l.Event {
	case event.ConfigReplaced.ID:
		return "config " + l.Text("config_version")
	case event.ServerAppeared.ID, event.ServerDraining.ID, event.ServerLeft.ID, event.ModelLoaded.ID, event.ModelUnloaded.ID:
		if version := l.Text("row_version"); version != "" {
			return fmt.Sprintf("%s %s %s %s", l.Name, l.Text("server"), version, l.Text("model"))
		}
	}
	return ""
}

// wallClockShift returns the difference of the two processes' start times by the
// wall clocks of their VMs.
func wallClockShift(base, p *process) time.Duration {
	startTime := func(p *process) time.Time { return p.first.Clock.Add(-p.first.Offset) }
	return startTime(p).Sub(startTime(base))
}
