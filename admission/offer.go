package admission

import (
	"time"

	"peridotchute.example/routing"
)

// Offer is the best server for a request at present. It has the same form for
// plain servers and model servers, so that the queue treats both alike.
type Offer struct {
	Server    string
	Index     int            // of the server in the caller's list
	Batch     *routing.Batch // requests in progress at the server
	Load      time.Duration  // time until model and adapter are resident; 0 if they are
	Backlog   time.Duration  // work of the server before it starts the request
	Wait      time.Duration  // expected time to the first event, Load and Backlog included
	Work      time.Duration  // server time that the request takes
	Step      time.Duration  // expected time between two tokens of the answer
	RoundTrip time.Duration  // network round trip to the server
	Yield     bool           // the request would slow down more urgent answers too much
	Full      bool           // no slot or memory is free
	Never     bool           // the request exceeds the memory of every server
}

// Offers finds the best server for a request, or returns false if there is
// none. If planned is true, work reserved at a server counts as backlog.
type Offers[T any] func(item T, planned bool) (Offer, bool)

// OfferEngine returns the offer for a chosen model server.
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

// OfferPlain returns the offer for a chosen plain server. usual is the usual
// time that the service takes for a request.
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

// ready reports whether a request should be sent to the server now. The backlog
// may exceed its bound by the work done during one round trip. Requests of a
// starving class need not yield.
func (o *Offer) ready(w *Waiter, starves bool) bool {
	if o.Load > 0 || o.Full || (o.Yield && !starves) {
		return false
	}
	return o.Backlog <= backlogBound(w)+o.RoundTrip
}

// backlogBound returns the maximum backlog of a server at which a request is
// sent to it.
func backlogBound(w *Waiter) time.Duration {
	bound := time.Duration(float64(w.Objective.Sub(w.Arrived)) * backlogShare)
	return min(max(bound, minBacklog), maxBacklog)
}
