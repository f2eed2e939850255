package explain

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"peridotchute.example/common/event"
	"peridotchute.example/common/fault"
)

// Window bounds the changes that are told around a request.
type Window struct {
	Before time.Duration // before its first line
	After  time.Duration // after its last line
}

// Moment is one line of a story.
type Moment struct {
	Line *Line
	At   time.Duration // since the request arrived, on the reference's clock
	Own  bool          // about the request itself
	More int           // lines alike that followed and are left out
}

// Story is what happened to a request, in order.
type Story struct {
	Request  string
	Taker    *process // that took the request
	Moments  []Moment
	Aligned  map[*process]alignment
	Involved []*process // that have a line in the story, in order of reading
	arrival  time.Duration
	end      *Line // that ends the request; nil when there is none
}

// Story puts the lines in order.
func (s *Logs) Story(w Window) (*Story, error) {
	taker := s.taker()
	if taker == nil {
		return nil, s.notFound()
	}
	story := &Story{Request: s.request, Taker: taker, Aligned: s.align(taker)}
	story.arrival, story.end = story.span()
	about := subjectOf(story.own())
	for _, p := range s.processes {
		story.addProcess(p, about, w)
	}
	story.Moments = story.withoutRepeats()
	slices.SortStableFunc(story.Moments, func(a, b Moment) int { return cmp.Compare(a.At, b.At) })
	story.Moments = folded(story.Moments)
	return story, nil
}

// taker returns the process with most lines about the request.
func (s *Logs) taker() *process {
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

// notFound tells why a request may have no line.
func (s *Logs) notFound() error {
	leftOut := 0
	for _, p := range s.processes {
		for _, l := range p.lines {
			if l.Event == event.LogLinesLeftOut.ID {
				leftOut++
			}
		}
	}
	return fault.Newf(fault.KindNotFound, "explain", "",
		"no line about request %s among %d lines of %d processes (%d of them tell that lines were left out); "+
			"it may have been served in time while lines were left out, its process may have been killed first, or a file is missing",
		s.request, s.read, len(s.processes), leftOut)
}

// own returns the lines about the request at the process that took it.
func (t *Story) own() []*Line {
	var own []*Line
	for _, l := range t.Taker.lines {
		if l.Request != "" {
			own = append(own, l)
		}
	}
	return own
}

// span returns when the request arrived and the line that ended it. A line that
// ends a request tells how long it took.
func (t *Story) span() (time.Duration, *Line) {
	own := t.own()
	arrival := own[0].Offset
	for _, l := range own {
		arrival = min(arrival, l.Offset-max(l.Duration("total_ms"), l.Duration("waited_ms")))
		if isEnd(l.Event) {
			return arrival, l
		}
	}
	return arrival, nil
}

func (t *Story) addProcess(p *process, about subject, w Window) {
	shift := t.Aligned[p].shift - t.arrival
	last := t.own()[len(t.own())-1].Offset - t.arrival
	involved := false
	for _, l := range t.telling(p, about, w.After+last, shift) {
		at := l.Offset + shift
		own := l.Request != ""
		if !own && at < -w.Before && !t.inForce(p, l) {
			continue
		}
		t.Moments = append(t.Moments, Moment{Line: l, At: at, Own: own})
		involved = true
	}
	if involved {
		t.Involved = append(t.Involved, p)
	}
}

// withoutRepeats leaves out what several processes learned from the store alike,
// but for the one that took the request. When each of them learned that a
// server leaves may matter, so these lines stay.
func (t *Story) withoutRepeats() []Moment {
	known := map[string]bool{}
	for _, m := range t.Moments {
		if m.Line.Node == t.Taker.node {
			known[factOf(m.Line)] = true
		}
	}
	return slices.DeleteFunc(t.Moments, func(m Moment) bool {
		fact := factOf(m.Line)
		if fact == "" || m.Line.Node == t.Taker.node || m.Line.Event == event.ServerLeft.ID || m.Line.Event == event.ServerDraining.ID {
			return false
		}
		repeated := known[fact]
		known[fact] = true
		return repeated
	})
}

// folded counts runs of lines alike that are not about the request, such as
// those of a call that is made again and again, at the first of them.
func folded(moments []Moment) []Moment {
	var out []Moment
	latest := map[string]int{} // index in out of the newest line of each node
	for _, m := range moments {
		if i, ok := latest[m.Line.Node]; ok && !m.Own && alike(out[i].Line, m.Line) {
			out[i].More++
			continue
		}
		latest[m.Line.Node] = len(out)
		out = append(out, m)
	}
	return out
}

// alike compares what two lines are about, and not their causes.
func alike(a, b *Line) bool {
	return a.Event == b.Event && a.Text("peer") == b.Text("peer") && a.Text("subject") == b.Text("subject") && a.Text("server") == b.Text("server") &&
		a.Text("subject") != ""
}

// telling returns the lines of a process that bear on the request and come
// before the end of the window.
func (t *Story) telling(p *process, about subject, until, shift time.Duration) []*Line {
	var lines []*Line
	for _, l := range p.lines {
		if l.Request != "" || l.Offset+shift <= until && about.concerns(l, p.node == t.Taker.node) {
			lines = append(lines, l)
		}
	}
	return lines
}

// inForce reports whether a line from before the window tells what the taker
// still believed when the request arrived: its configuration, or a store that
// did not answer.
func (t *Story) inForce(p *process, l *Line) bool {
	if p != t.Taker || l.Offset > t.arrival {
		return false
	}
	until := 0
	switch l.Event {
	case event.ConfigReplaced.ID:
		until = event.ConfigReplaced.ID
	case event.StoreLost.ID:
		until = event.StoreRegained.ID
	default:
		return false
	}
	return !slices.ContainsFunc(p.lines, func(later *Line) bool {
		return later.Event == until && later.Offset > l.Offset && later.Offset <= t.arrival
	})
}

// subject is what a request was about.
type subject struct {
	servers   map[string]bool // that it was sent to
	models    map[string]bool
	artifacts map[string]bool // models and MODEL/ADAPTER
}

func subjectOf(own []*Line) subject {
	about := subject{servers: map[string]bool{}, models: map[string]bool{}, artifacts: map[string]bool{}}
	for _, l := range own {
		if server := l.Text("server"); server != "" {
			about.servers[server] = true
		}
		if model := l.Text("model"); model != "" {
			about.models[model] = true
			about.artifacts[model] = true
			about.artifacts[model+"/"+l.Text("adapter")] = true
		}
	}
	return about
}

// concerns reports whether a change bears on the request; sameNode says that
// the node told it which took the request.
func (a subject) concerns(l *Line, sameNode bool) bool {
	switch l.Event {
	case event.ServerAppeared.ID, event.ServerLeft.ID, event.ServerDraining.ID,
		event.ServerSuspected.ID, event.ModelHeld.ID, event.ModelGone.ID:
		return a.servers[l.Text("server")] || a.models[l.Text("model")] || a.anyHeld(l)
	case event.OrderGiven.ID, event.OrderDeclined.ID, event.OrderNoAnswer.ID, event.NotMadeResident.ID:
		return a.artifacts[ordered(l)]
	case event.OrdersTaken.ID, event.OrdersLeaseEnded.ID, event.OrdersLeaseError.ID:
		return true
	case event.ConfigReplaced.ID, event.StoreLost.ID, event.StoreRegained.ID,
		event.EntryLinked.ID, event.EntryUnlinked.ID, event.ConfigFailed.ID,
		event.SettingsReloaded.ID, event.SettingsKept.ID,
		event.ProcessStarted.ID, event.ProcessStopping.ID, event.ProcessStopped.ID,
		event.LogLinesLeftOut.ID, event.ListenerFailed.ID:
		return sameNode
	}
	return false
}

// ordered returns what an order was about; its subject is such as "load MODEL/ADAPTER".
func ordered(l *Line) string {
	_, artifact, _ := strings.Cut(l.Text("subject"), " ")
	return artifact
}

func (a subject) anyHeld(l *Line) bool {
	return slices.ContainsFunc(strings.Fields(l.Text("held")), func(model string) bool { return a.models[model] })
}
