package admission

import (
	"math"
	"time"
)

// One kind of request, or the small ones of a kind, alone fill the servers: the
// others still get a share. Of each kind at least a quarter as many must be
// served as of all, and of its large requests half as many as of the kind.

// class is the requests that are given a share.
type class struct {
	kind  string
	large bool // among the largest tenth
}

// shares counts how many requests of each class came and were let through.
type shares struct {
	classes map[class]*share
	large   map[string]float64 // size above which a request of a kind is large
	fadedAt time.Time
}

type share struct {
	came    float64
	through float64
	waiting int
}

const (
	shareFades      = 10 * time.Second       // half-life of the counts
	fadeEvery       = 100 * time.Millisecond // fine against the half-life
	kindStarves     = 0.35                   // of the part that all get through; above the quarter that is due
	largeStarves    = 0.8                    // of the part of their kind; above the half that is due
	fewestToTell    = 8                      // requests of a kind that tell a share
	fewestLarge     = 2                      // large requests that do: each entry sees few
	starvingInLine  = 4                      // requests of a starving class that wait whatever is expected
	largestShare    = 0.1                    // of the requests of a kind are large
	largeLearnsStep = 0.05                   // of the bound between large and small, for each request
)

func newShares() *shares {
	return &shares{classes: map[class]*share{}, large: map[string]float64{}}
}

func (s *shares) of(c class) *share {
	k := s.classes[c]
	if k == nil {
		k = &share{}
		s.classes[c] = k
	}
	return k
}

// arrived counts a request and returns its class.
func (s *shares) arrived(kind string, size float64) class {
	bound := s.large[kind]
	above := size > bound
	c := class{kind, above && bound > 0}
	step := max(bound, size/2) * largeLearnsStep
	if above {
		bound += step * (1 - largestShare)
	} else {
		bound -= step * largestShare
	}
	s.large[kind] = bound
	s.of(c).came++
	return c
}

func (s *shares) served(c class) { s.of(c).through++ }

func (s *shares) fade(now time.Time) {
	age := now.Sub(s.fadedAt)
	if age < fadeEvery {
		return
	}
	s.fadedAt = now
	factor := math.Exp2(-float64(age) / float64(shareFades))
	for c, k := range s.classes {
		k.came *= factor
		k.through *= factor
		if k.waiting == 0 && k.came < 0.01 {
			delete(s.classes, c)
		}
	}
}

// starves reports whether far fewer of a class get through than of its kind,
// or of its kind than of all.
func (s *shares) starves(c class) bool {
	small, large := s.of(class{kind: c.kind}), s.of(class{c.kind, true})
	kind := share{came: small.came + large.came, through: small.through + large.through}
	if c.large && large.came >= fewestLarge {
		return large.part() < largeStarves*kind.part()
	}
	if c.large || kind.came < fewestToTell {
		return false
	}
	var all share
	for _, other := range s.classes {
		all.came += other.came
		all.through += other.through
	}
	return kind.part() < kindStarves*all.part()
}

func (k *share) part() float64 { return k.through / max(k.came, 1) }

// mayStarve reports whether a request of a class should wait whatever is expected.
func (s *shares) mayStarve(c class) bool {
	return s.of(c).waiting < starvingInLine && s.starves(c)
}
