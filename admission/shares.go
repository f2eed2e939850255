package admission

import (
	"math"
	"time"
)

// One kind of request alone fills the servers: less urgent ones still get a
// share, so that none is served less than a quarter as often as all.

// shares counts how many requests of each kind came and were let through.
type shares struct {
	kinds   map[string]*share
	fadedAt time.Time
}

type share struct {
	came    float64
	through float64
	waiting int
}

const (
	shareFades     = 10 * time.Second       // half-life of the counts
	fadeEvery      = 100 * time.Millisecond // fine against the half-life
	starvesBelow   = 0.35                   // of the part that all kinds get through; above the quarter that is due
	fewestToTell   = 8                      // requests of a kind that tell a share
	starvingInLine = 4                      // requests of a starving kind that wait whatever is expected
)

func (s *shares) of(kind string) *share {
	k := s.kinds[kind]
	if k == nil {
		k = &share{}
		s.kinds[kind] = k
	}
	return k
}

func (s *shares) fade(now time.Time) {
	age := now.Sub(s.fadedAt)
	if age < fadeEvery {
		return
	}
	s.fadedAt = now
	factor := math.Exp2(-float64(age) / float64(shareFades))
	for kind, k := range s.kinds {
		k.came *= factor
		k.through *= factor
		if k.waiting == 0 && k.came < 0.01 {
			delete(s.kinds, kind)
		}
	}
}

// starves reports whether far fewer of a kind get through than of all.
func (s *shares) starves(kind string) bool {
	k := s.of(kind)
	if k.came < fewestToTell {
		return false
	}
	var came, through float64
	for _, other := range s.kinds {
		came += other.came
		through += other.through
	}
	return k.through/k.came < starvesBelow*through/came
}

// mayStarve reports whether a request of a kind should wait whatever is expected.
func (s *shares) mayStarve(kind string) bool {
	return s.of(kind).waiting < starvingInLine && s.starves(kind)
}
