package routing

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// class orders candidates by what must be loaded first.
type class int

const (
	classResident class = iota // nothing
	classBase                  // an adapter
	classNone                  // a model
	classes
)

const (
	drawn = 2 // candidates drawn at random from each class

	// Ejection leaves at least one in floorParts of the serving servers in use:
	// when fewer are left, a false alarm is likelier, and the ejected ones serve too.
	floorParts = 2
)

// draw collects the candidates that are worth a comparison, in one pass.
type draw struct {
	req        *Request
	now        time.Time
	state      uint64 // of the generator that draws
	useEjected bool

	serving int // servers
	ejected int // of them
	seen    [classes]uint64
	picked  [classes][drawn]int32 // index + 1; 0 means none
	cached  int                   // index + 1 of the best cached
	share   float64               // of cached
	home    int                   // index of the resident with the highest weight for the prompt
	weight  uint64
}

// consider takes one candidate into account. Each usable candidate of a class
// is equally likely to be among the drawn.
func (d *draw) consider(candidates []Candidate, i int) {
	c := &candidates[i]
	s := c.Server
	if !s.Serving {
		return
	}
	d.serving++
	if !s.RetryAt.IsZero() && d.now.Before(s.RetryAt) {
		d.ejected++
		if !d.useEjected {
			return
		}
	}
	if d.req.Exclude != "" && s.Name == d.req.Exclude {
		return
	}
	k := classOf(c)
	d.seen[k]++
	if d.seen[k] <= drawn {
		d.picked[k][d.seen[k]-1] = int32(i + 1)
	} else if slot := d.below(d.seen[k]); slot < drawn {
		d.picked[k][slot] = int32(i + 1)
	}
	if c.Cached > d.share {
		d.share, d.cached = c.Cached, i+1
	}
	if d.req.Affinity != 0 && c.Resident {
		if w := mix(d.req.Affinity, c.Server.Name); w > d.weight {
			d.weight, d.home = w, i+1
		}
	}
}

func (d *draw) run(candidates []Candidate) {
	for i := range candidates {
		d.consider(candidates, i)
	}
}

// belowFloor reports whether too few servers are left beside the ejected ones.
func (d *draw) belowFloor() bool {
	return !d.useEjected && d.ejected > 0 && (d.serving-d.ejected)*floorParts < d.serving
}

// below returns a number under n, which is at most 1<<31, from a linear
// congruential generator that the caller's source has seeded.
func (d *draw) below(n uint64) uint64 {
	const multiplier, increment = 6364136223846793005, 1442695040888963407
	d.state = d.state*multiplier + increment
	return (d.state >> 33) * n >> 31
}

// shortlist returns the indexes to compare, -1 for none. The home of the
// prompt comes early, so that equal waits fall to it.
func (d *draw) shortlist() [2 + int(classes)*drawn]int {
	out := [2 + int(classes)*drawn]int{d.cached - 1, d.home - 1}
	d.home--
	n := 2
	for k := range d.picked {
		for _, i := range d.picked[k] {
			out[n] = int(i) - 1
			n++
		}
	}
	return out
}

func classOf(c *Candidate) class {
	switch {
	case c.Resident:
		return classResident
	case c.Base:
		return classBase
	}
	return classNone
}

// mix gives the rendezvous weight of a server for a prompt: every entry finds
// the same home without a message.
func mix(affinity uint64, name string) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(affinity)
	_, _ = d.WriteString(name)
	return d.Sum64()
}
