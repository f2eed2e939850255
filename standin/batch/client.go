package batch

import (
	"time"

	"peridotchute.example/routing"
)

// request is one request of a client, over all its attempts.
type request struct {
	kind    *Kind
	model   int
	parts   []routing.Part
	in, out int
	came    time.Time
	due     time.Time
	returns int // times that the client will still come back

	first    bool // an event was received
	lastAt   time.Time
	late     bool // the first event or a later one came too late
	made     int  // tokens received
	refusals int
	over     bool
	served   bool
}

// client sends a request to some entry.
func (w *world) client(r *request) {
	t := w.result.Kinds[r.kind.Name]
	if r.refusals == 0 {
		t.Came++
		t.Owed += r.kind.Worth * r.size()
		t.sizes = append(t.sizes, sized{r.size(), &r.served})
	}
	e := w.entries[w.rnd.IntN(len(w.entries))]
	w.clock.after(clientDelay, func() { e.arrive(r) })
}

const (
	leastWorth     = 0.3 // of a request's worth, whatever its size
	mostWorth      = 4   // times the mean
	outTokensWorth = 10  // one token out counts as so many in
)

// size is a request's worth against the mean of its kind.
func (r *request) size() float64 {
	k := r.kind
	if k.Work > 0 {
		return 1
	}
	mean := k.Own.Mean + float64(k.System+k.Document) + outTokensWorth*k.Out.Mean
	return min(leastWorth+(1-leastWorth)*float64(r.in+outTokensWorth*r.out)/mean, mostWorth)
}

// receive notes an event at the client.
func (r *request) receive(at time.Time) {
	if r.first && at.Sub(r.lastAt) > r.kind.Gap || !r.first && at.Sub(r.came) > r.kind.Objective {
		r.late = true
	}
	r.first, r.lastAt = true, at
}

func (w *world) finished(r *request) {
	t := w.result.Kinds[r.kind.Name]
	if r.over {
		return
	}
	r.over, r.served = true, true
	if r.late {
		t.Late++
		t.Worth += r.kind.LateWorth * r.size()
		return
	}
	t.OnTime++
	t.Worth += r.kind.Worth * r.size()
}

func (w *world) failed(r *request) {
	if !r.over {
		r.over = true
		w.result.Kinds[r.kind.Name].Failed++
	}
}

func (w *world) refused(r *request) {
	t := w.result.Kinds[r.kind.Name]
	if r.over {
		return
	}
	r.over = true
	t.Refused++
	if r.refusals > 1 {
		t.Twice++
	}
}

// turnAway tells a client to come back, which it does so often and no more.
func (w *world) turnAway(r *request, after time.Duration) {
	r.refusals++
	if r.returns == 0 {
		w.refused(r)
		return
	}
	r.returns--
	jitter := time.Duration(w.rnd.Int64N(int64(returnJitter)))
	w.clock.after(after+2*clientDelay+jitter, func() { w.client(r) })
}
