package residence

import (
	"time"

	"peridotchute.example/fleet"
)

// The lease may change hands while servers carry out orders. The state of the
// previous lease holder keeps the next one from issuing the same orders again.

// Inherited is what the previous lease holder knew of one server.
type Inherited struct {
	Barred time.Duration // no orders to the server before this time
	Work   *Work         // model order in progress; nil if none is known
	Seq    int64         // accepted orders, including Work
}

// Inherit stores what the previous lease holder knew of a server.
func (ps *Book) Inherit(server string, h Inherited) { ps.inherited[server] = h }

// fenced reports whether orders to the server are still blocked because the
// previous lease holder may have issued one recently.
func (ps *Book) fenced(s *State, now time.Duration) bool {
	return now < ps.inherited[s.Server.ID].Barred
}

// adoptInheritedWork identifies an unnamed order in progress on the server as
// the one inherited from the previous lease holder, if no order was accepted
// since.
func (ps *Book) adoptInheritedWork(s *State, r fleet.Report, now time.Duration) {
	h := ps.inherited[s.Server.ID]
	if h.Work == nil {
		return
	}
	if s.work != nil && s.work.Model == "" && r.OrderSeq == h.Seq {
		w := *h.Work
		s.work = &w
		s.nextReport = max(w.Due+maxReportAge, now+reportInterval)
	}
	h.Work = nil
	ps.inherited[s.Server.ID] = h
}

// inheritedLoad returns the model that the server loads by an order of the
// previous lease holder, until the server's first report.
func (ps *Book) inheritedLoad(s *State) string {
	h := ps.inherited[s.Server.ID]
	if h.Work == nil || h.Work.Kind != fleet.OrderLoad {
		return ""
	}
	return h.Work.Model
}

// InProgress returns the model order in progress on the server and the number
// of orders it has accepted. ok is false if either is uncertain.
func (s *State) InProgress() (w Work, seq int64, ok bool) {
	if s.work == nil || s.work.Model == "" || s.sent != nil || len(s.lostOrders) > 0 {
		return Work{}, 0, false
	}
	return *s.work, s.seq, true
}
