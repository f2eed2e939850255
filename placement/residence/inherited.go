package residence

import (
	"time"

	"peridotchute.example/fleet"
)

// The lease of the orders changes hands while servers carry out orders: what
// the holder before knew keeps the next one from ordering the same again.

// Inherited is what the holder before knew of one server.
type Inherited struct {
	Barred time.Duration // the server gets no order before
	Work   *Work         // model order in progress; nil when none is known
	Seq    int64         // orders accepted, that of Work included
}

// Inherit takes in what the holder before knew of a server.
func (b *Book) Inherit(server string, h Inherited) { b.inherited[server] = h }

// fenced reports whether the server gets no order yet, since the holder before
// ordered it something lately.
func (b *Book) fenced(s *State, now time.Duration) bool { return now < b.inherited[s.Server.ID].Barred }

// adoptInheritedWork replaces an order in progress that the server's report does not name
// by the one that the holder before gave, if none was accepted since.
func (b *Book) adoptInheritedWork(s *State, r fleet.Report, now time.Duration) {
	h := b.inherited[s.Server.ID]
	if h.Work == nil {
		return
	}
	if s.work != nil && s.work.Model == "" && r.OrderSeq == h.Seq {
		w := *h.Work
		s.work = &w
		s.nextReport = max(w.Due+maxReportAge, now+reportInterval)
	}
	h.Work = nil
	b.inherited[s.Server.ID] = h
}

// inheritedLoad returns the model that the server loads by an order of the holder
// before, until the server has reported.
func (b *Book) inheritedLoad(s *State) string {
	h := b.inherited[s.Server.ID]
	if h.Work == nil || h.Work.Kind != fleet.OrderLoad {
		return ""
	}
	return h.Work.Model
}

// InProgress returns the model order that the server carries out, and the
// orders that it has accepted. It reports false when that is not certain.
func (s *State) InProgress() (w Work, seq int64, ok bool) {
	if s.work == nil || s.work.Model == "" || s.sent != nil || len(s.lostOrders) > 0 {
		return Work{}, 0, false
	}
	return *s.work, s.seq, true
}
