package balance

import (
	"time"

	"peridotchute.example/admission"
	"peridotchute.example/routing"
)

// lastResortShare is the share of Options.Drain for which a server that says in its answers
// that it leaves still gets the requests for which there is no other server. The rest is
// left for their answers.
const lastResortShare = 0.5

// isLastResort reports whether a leaving server may get requests that no other server can.
// Once its registration says that it drains it gets none, since it may have done so for a
// while.
func (b *Balancer) isLastResort(s *server, now time.Time) bool {
	share := time.Duration(float64(b.opts.Drain) * lastResortShare)
	return s.Leaving && now.Before(s.LeavingSince.Add(share)) && s.takesRequests(now)
}

// candidate reports whether the server may be offered to the request.
func (b *Balancer) candidate(s *server, w *waiting, now time.Time) bool {
	if !w.mayGet(s) {
		return false
	}
	if w.lastResort {
		return b.isLastResort(s, now)
	}
	return s.usable(now)
}

// offerLeaving returns an offer of a leaving server that has loaded the request's artifact.
func (b *Balancer) offerLeaving(p *pool, w *waiting, now time.Time) (admission.Offer, bool) {
	w.lastResort = true
	defer func() { w.lastResort = false }()
	if b.replicas(p, w, now, false) == 0 {
		return admission.Offer{}, false
	}
	choice, err := routing.ChooseEngine(p.models.replicas, p.models.prefixes, &w.prompt, now)
	if err != nil {
		return admission.Offer{}, false
	}
	return p.acceptChoice(w, &choice), true
}
