package admission

import (
	"math"
	"time"
)

// Minimum shares keep one kind of request, or the small requests of a kind,
// from taking all servers. The admitted fraction of each kind must be at least
// a quarter of the overall one, and the admitted fraction of its large requests
// at least half of the kind's.

// class is a group of requests with a minimum share.
type class struct {
	kind  string
	large bool // among the largest tenth of the kind
}

// shares counts the arrived and admitted requests of each class.
type shares struct {
	classes   map[class]*share
	large     map[string]float64 // size above which a request of a kind is large
	decayedAt time.Time
}

// share holds the counts of one class; arrived and admitted decay over time.
type share struct {
	arrived  float64
	admitted float64
	waiting  int
}

const (
	shareHalfLife      = 10 * time.Second       // half-life of the counts
	decayInterval      = 100 * time.Millisecond // much shorter than the half-life
	starvingKindRatio  = 0.35                   // a kind starves below this ratio to the overall fraction; 0.25 is guaranteed
	starvingLargeRatio = 0.8                    // large requests starve below this ratio to their kind; 0.5 is guaranteed
	minKindArrivals    = 8                      // fewer requests of a kind give no usable fraction
	minLargeArrivals   = 2                      // as above for large requests, of which each entry sees few
	maxStarvingWaiting = 4                      // requests of a starving class that are queued regardless of estimates
	largeFraction      = 0.1                    // fraction of a kind's requests that counts as large
	largeBoundStep     = 0.05                   // relative change per arrival of the size above which requests of its kind are large
)

func newShares() *shares {
	return &shares{classes: map[class]*share{}, large: map[string]float64{}}
}

// of returns the counts of a class and creates them if necessary.
func (s *shares) of(c class) *share {
	k := s.classes[c]
	if k == nil {
		k = &share{}
		s.classes[c] = k
	}
	return k
}

// countArrival counts a request, returns its class and adjusts the size above
// which a request of its kind is large.
func (s *shares) countArrival(kind string, size float64) class {
	bound := s.large[kind]
	above := size > bound
	c := class{kind, above && bound > 0}
	step := max(bound, size/2) * largeBoundStep
	if above {
		bound += step * (1 - largeFraction)
	} else {
		bound -= step * largeFraction
	}
	s.large[kind] = bound
	s.of(c).arrived++
	return c
}

func (s *shares) countAdmitted(c class) { s.of(c).admitted++ }

// decay reduces the counts with their half-life and deletes unused classes.
func (s *shares) decay(now time.Time) {
	age := now.Sub(s.decayedAt)
	if age < decayInterval {
		return
	}
	s.decayedAt = now
	factor := math.Exp2(-float64(age) / float64(shareHalfLife))
	for c, k := range s.classes {
		k.arrived *= factor
		k.admitted *= factor
		if k.waiting == 0 && k.arrived < 0.01 {
			delete(s.classes, c)
		}
	}
}

// starves reports whether a class is admitted far less often than its kind
// (large requests) or its kind far less often than all requests.
func (s *shares) starves(c class) bool {
	small, large := s.of(class{kind: c.kind}), s.of(class{c.kind, true})
	kind := share{arrived: small.arrived + large.arrived, admitted: small.admitted + large.admitted}
	if c.large && large.arrived >= minLargeArrivals {
		return large.admittedShare() < starvingLargeRatio*kind.admittedShare()
	}
	if c.large || kind.arrived < minKindArrivals {
		return false
	}
	var all share
	for _, other := range s.classes {
		all.arrived += other.arrived
		all.admitted += other.admitted
	}
	return kind.admittedShare() < starvingKindRatio*all.admittedShare()
}

// admittedShare returns the fraction of the arrived requests that were admitted.
func (k *share) admittedShare() float64 { return k.admitted / max(k.arrived, 1) }

// queueRegardless reports whether a request should be queued even if it is
// expected to be late, because its class starves and has few waiting requests.
func (s *shares) queueRegardless(c class) bool {
	return s.of(c).waiting < maxStarvingWaiting && s.starves(c)
}
