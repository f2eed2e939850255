package admission

import (
	"time"

	"peridotchute.example/routing"
)

// Plain and model servers are waited for in the same way: an offer says the
// same of both.

// Offer is the best server for a request just now.
type Offer struct {
	Server    string
	Index     int            // of the server, for the caller
	Batch     *routing.Batch // of the server
	Load      time.Duration  // until model and adapter are resident; 0 when they are
	Backlog   time.Duration  // work before the request
	Wait      time.Duration  // until its first event, with all of this
	Work      time.Duration  // of the server, for the request
	Step      time.Duration  // between two tokens of the answer
	RoundTrip time.Duration  // to the server and back
	Yield     bool           // more urgent answers there would become too slow
	Full      bool           // no slot or memory is free
	Never     bool           // no server can take it
}

// Offers finds the best server for a request; planned means that the work
// reserved on servers goes before it. It reports false when there is none.
type Offers[T any] func(item T, planned bool) (Offer, bool)

// OfferEngine is the offer of a chosen model server.
func OfferEngine(c *routing.EngineChoice) Offer {
	return Offer{
		Server:    c.Server.Name,
		Index:     c.Index,
		Batch:     &c.Server.Batch,
		Load:      c.Load,
		Backlog:   c.Backlog,
		Wait:      c.Wait,
		Work:      c.Work,
		Step:      c.Step,
		RoundTrip: c.Server.RoundTrip,
		Full:      c.Full || c.Overflow,
		Yield:     c.Yield,
		Never:     c.TooLarge,
	}
}

// OfferPlain is the offer of a chosen plain server.
func OfferPlain(c *routing.PlainChoice, usual time.Duration) Offer {
	return Offer{
		Server:  c.Server.Name,
		Index:   c.Index,
		Batch:   &c.Server.Batch,
		Backlog: c.Backlog,
		Wait:    c.Wait,
		Work:    c.Server.Work(usual),
	}
}

// ready reports whether a request should be sent there now: it and the news
// that makes room for the next are on their way for a round trip.
// A kind that starves need not yield.
func (o *Offer) ready(w *Waiter, starves bool) bool {
	if o.Load > 0 || o.Full || (o.Yield && !starves) {
		return false
	}
	return o.Backlog <= backlogBound(w)+o.RoundTrip
}

func backlogBound(w *Waiter) time.Duration {
	bound := time.Duration(float64(w.Objective.Sub(w.Arrived)) * backlogShare)
	return min(max(bound, leastBacklog), mostBacklog)
}
