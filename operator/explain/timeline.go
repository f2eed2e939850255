package explain

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"peridotchute.example/common/event"
	"peridotchute.example/common/fault"
)

// Window is the time around a request in which changes are included.
type Window struct {
	Before time.Duration // before the request's arrival
	After  time.Duration // after the last line about the request
}

// Item is one line of a timeline.
type Item struct {
	Line    *Line
	At      time.Duration // relative to the request's arrival, on the clock of the entry that handled it
	Own     bool          // whether the line is about the request itself
	Repeats int           // number of similar lines that followed and were omitted
}

// Timeline lists the log lines that concern a request in order of time.
type Timeline struct {
	Request    string
	Entry      *process // the process that handled the request
	Items      []Item
	Alignments map[*process]alignment
	Involved   []*process // processes with a line in the timeline, in the order in which they were read
	arrival    time.Duration
	end        *Line // last line of the request, nil if its end was not logged
}

// Timeline returns the lines in order of time. The error has KindNotFound if no
// line is about the request.
func (s *Logs) Timeline(w Window) (*Timeline, error) {
	entry := s.handlingEntry()
	if entry == nil {
		return nil, s.notFoundError()
	}
	timeline := &Timeline{Request: s.request, Entry: entry, Alignments: s.align(entry)}
	timeline.arrival, timeline.end = timeline.span()
	subj := subjectOf(timeline.ownLines())
	for _, p := range s.processes {
		timeline.addProcess(p, subj, w)
	}
	timeline.Items = timeline.withoutDuplicates()
	slices.SortStableFunc(timeline.Items, func(a, b Item) int { return cmp.Compare(a.At, b.At) })
	timeline.Items = collapseRepeats(timeline.Items)
	return timeline, nil
}

// handlingEntry returns the process with the most lines about the request, or nil
// if there are none.
func (s *Logs) handlingEntry() *process {
	var best *process
	most := 0
	for _, p := range s.processes {
		n := 0
		for _, l := range p.lines {
			if l.Request != "" {
				n++
			}
		}
		if n > most {
			best, most = p, n
		}
	}
	return best
}

// notFoundError lists the possible reasons why no line is about the request.
func (s *Logs) notFoundError() error {
	leftOut := 0
	for _, p := range s.processes {
		for _, l := range p.lines {
			if l.Event == event.LogLinesLeftOut.ID {
				leftOut++
			}
		}
	}
	return fault.Newf(fault.KindNotFound, "explain", "",
		"no line about request %s among %d lines of %d processes (%d of the lines report omitted lines); "+
			"it may have been served in time while lines were omitted, its process may have been killed first, or a file is missing",
		s.request, s.lineCount, len(s.processes), leftOut)
}

// ownLines returns the lines about the request from the process that handled it.
func (t *Timeline) ownLines() []*Line {
	var own []*Line
	for _, l := range t.Entry.lines {
		if l.Request != "" {
			own = append(own, l)
		}
	}
	return own
}

// span returns the arrival of the request and the line that ended it, or nil. The
// arrival is computed from the durations in the lines.
func (t *Timeline) span() (time.Duration, *Line) {
	own := t.ownLines()
	arrival := own[0].Offset
	for _, l := range own {
		arrival = min(arrival, l.Offset-max(l.Duration("total_ms"), l.Duration("waited_ms")))
		if isTerminal(l.Event) {
			return arrival, l
		}
	}
	return arrival, nil
}

func (t *Timeline) addProcess(p *process, subj subject, w Window) {
	shift := t.Alignments[p].shift - t.arrival
	last := t.ownLines()[len(t.ownLines())-1].Offset - t.arrival
	involved := false
	for _, l := range t.relevantLines(p, subj, w.After+last, shift) {
		at := l.Offset + shift
		own := l.Request != ""
		if !own && at < -w.Before && !t.activeAtArrival(p, l) && !isFinding(l) {
			continue
		}
		t.Items = append(t.Items, Item{Line: l, At: at, Own: own})
		involved = true
	}
	if involved {
		t.Involved = append(t.Involved, p)
	}
}

// isFinding reports whether a line records the finding of a crashing prompt part or request,
// by any entry: its quarantine lasts longer than a window.
func isFinding(l *Line) bool { return isQuarantine(l) && l.Text("crashes") != "" }

func isQuarantine(l *Line) bool {
	return l.Event == event.PartQuarantined.ID || l.Event == event.RequestQuarantined.ID
}

// withoutDuplicates removes lines of other processes about a change that another
// line already shows; lines of the entry that handled the request take precedence.
// Lines about departing or draining servers stay, since it may matter when each
// process noticed.
func (t *Timeline) withoutDuplicates() []Item {
	seen := map[string]bool{}
	for _, item := range t.Items {
		if item.Line.Node == t.Entry.node {
			seen[sharedEventKey(item.Line)] = true
		}
	}
	return slices.DeleteFunc(t.Items, func(item Item) bool {
		key := sharedEventKey(item.Line)
		if key == "" || item.Line.Node == t.Entry.node || item.Line.Event == event.ServerLeft.ID || item.Line.Event == event.ServerDraining.ID {
			return false
		}
		duplicate := seen[key]
		seen[key] = true
		return duplicate
	})
}

// collapseRepeats replaces consecutive similar lines of a node that are not about
// the request, such as those of a repeated call, by the first of them with a count.
func collapseRepeats(items []Item) []Item {
	var out []Item
	latest := map[string]int{} // index in out of the latest line of each node
	for _, item := range items {
		if i, ok := latest[item.Line.Node]; ok && !item.Own && sameSubject(out[i].Line, item.Line) {
			out[i].Repeats++
			continue
		}
		latest[item.Line.Node] = len(out)
		out = append(out, item)
	}
	return out
}

// sameSubject reports whether two lines are the same event about the same subject;
// their reasons may differ.
func sameSubject(a, b *Line) bool {
	return a.Event == b.Event && a.Text("peer") == b.Text("peer") && a.Text("subject") == b.Text("subject") && a.Text("server") == b.Text("server") &&
		a.Text("subject") != ""
}

// relevantLines returns the lines of a process that concern the request. Lines
// about changes are limited to those before until.
func (t *Timeline) relevantLines(p *process, subj subject, until, shift time.Duration) []*Line {
	var lines []*Line
	for _, l := range p.lines {
		if l.Request != "" || l.Offset+shift <= until && subj.concerns(l, p.node == t.Entry.node) {
			lines = append(lines, l)
		}
	}
	return lines
}

// activeAtArrival reports whether a line from before the window describes a state
// that still applied when the request arrived: the active configuration of the
// entry that handled the request, or the unavailability of its store.
func (t *Timeline) activeAtArrival(p *process, l *Line) bool {
	if p != t.Entry || l.Offset > t.arrival {
		return false
	}
	supersededBy := 0
	switch l.Event {
	case event.ConfigReplaced.ID:
		supersededBy = event.ConfigReplaced.ID
	case event.StoreLost.ID:
		supersededBy = event.StoreRecovered.ID
	default:
		return false
	}
	return !slices.ContainsFunc(p.lines, func(later *Line) bool {
		return later.Event == supersededBy && later.Offset > l.Offset && later.Offset <= t.arrival
	})
}

// subject is the set of services, servers, artifacts and prompt parts that a request involved.
type subject struct {
	parts     map[string]bool
	digests   map[string]bool // of the request
	services  map[string]bool
	servers   map[string]bool // named in lines about the request
	models    map[string]bool
	artifacts map[string]bool // models and MODEL/ADAPTER
}

func subjectOf(own []*Line) subject {
	subj := subject{parts: map[string]bool{}, digests: map[string]bool{}, services: map[string]bool{}, servers: map[string]bool{}, models: map[string]bool{}, artifacts: map[string]bool{}}
	for _, l := range own {
		for part := range strings.SplitSeq(l.Text("prompt_parts"), ",") {
			subj.parts[part] = true
		}
		subj.parts[l.Text("part")] = true
		subj.digests[l.Text("digest")] = true
		if service := l.Text("service"); service != "" {
			subj.services[service] = true
		}
		if server := l.Text("server"); server != "" {
			subj.servers[server] = true
		}
		if model := l.Text("model"); model != "" {
			subj.models[model] = true
			subj.artifacts[model] = true
			subj.artifacts[model+"/"+l.Text("adapter")] = true
		}
	}
	return subj
}

// concerns reports whether a change is relevant to the request. sameNode is true
// if the line is from the node that handled the request.
func (a subject) concerns(l *Line, sameNode bool) bool {
	if l.Event == event.ServerDraining.ID && sameNode && a.services[l.Text("service")] {
		return true
	}
	switch l.Event {
	case event.PartQuarantined.ID, event.PartReleased.ID:
		return a.parts[l.Text("part")]
	case event.RequestQuarantined.ID, event.RequestReleased.ID:
		return a.digests[l.Text("digest")]
	case event.ServerCrashed.ID, event.ServerLimited.ID:
		return a.servers[l.Text("server")]
	case event.ServerAppeared.ID, event.ServerLeft.ID, event.ServerDraining.ID,
		event.ServerSuspected.ID, event.ServerKept.ID, event.ModelLoaded.ID, event.ModelUnloaded.ID:
		return a.servers[l.Text("server")] || a.models[l.Text("model")] || a.anyLoaded(l)
	case event.OrderIssued.ID, event.OrderDeclined.ID, event.OrderNoAnswer.ID, event.NotMadeResident.ID:
		return a.artifacts[orderedArtifact(l)]
	case event.OrdersLeaseTaken.ID, event.OrdersLeaseEnded.ID, event.OrdersLeaseError.ID:
		return true
	case event.ConfigReplaced.ID, event.StoreLost.ID, event.StoreRecovered.ID, event.StoreOutage.ID, event.ServersIgnored.ID, event.StoreWentBack.ID,
		event.EntryConnected.ID, event.EntryLost.ID, event.ConfigFailed.ID,
		event.ConfigWaitDoubted.ID, event.ConfigWaitRenewed.ID,
		event.SettingsReloaded.ID, event.SettingsNotReloaded.ID,
		event.ProcessStarted.ID, event.ProcessStopping.ID, event.ProcessStopped.ID,
		event.LogLinesLeftOut.ID, event.ListenerFailed.ID:
		return sameNode
	}
	return false
}

// orderedArtifact returns the artifact of an order, whose subject has a form such
// as "load MODEL/ADAPTER".
func orderedArtifact(l *Line) string {
	_, artifact, _ := strings.Cut(l.Text("subject"), " ")
	return artifact
}

func (a subject) anyLoaded(l *Line) bool {
	return slices.ContainsFunc(strings.Fields(l.Text("held")), func(model string) bool { return a.models[model] })
}
