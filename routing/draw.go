package routing

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// class groups candidates by what they must load before the request can run.
type class int

const (
	classResident class = iota // nothing
	classBase                  // an adapter
	classNone                  // a model
	classes
)

const (
	samplesPerClass = 2 // candidates sampled from each class

	// minAvailableDivisor bounds ejection. If less than 1/minAvailableDivisor of
	// the serving servers are not ejected, the failures are more likely a false
	// alarm, and the ejected servers are used as well.
	minAvailableDivisor = 2
)

// sampler collects the candidates to compare in one pass, by reservoir sampling.
type sampler struct {
	req        *Request
	now        time.Time
	state      uint64 // of the random number generator
	useEjected bool

	serving     int // number of serving servers
	ejected     int // how many of them are ejected
	seen        [classes]uint64
	samples     [classes][samplesPerClass]int32 // index+1; 0 means none
	cached      int                             // index+1 of the candidate with the largest cached share
	cachedShare float64                         // share of the prompt that it has cached
	home        int                             // index+1 of the resident candidate with the highest weight; an index after shortlist
	homeWeight  uint64
}

// consider adds one candidate. All usable candidates of a class are equally
// likely to be sampled.
func (d *sampler) consider(candidates []Candidate, i int) {
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
	if d.seen[k] <= samplesPerClass {
		d.samples[k][d.seen[k]-1] = int32(i + 1)
	} else if slot := d.randBelow(d.seen[k]); slot < samplesPerClass {
		d.samples[k][slot] = int32(i + 1)
	}
	if c.Cached > d.cachedShare {
		d.cachedShare, d.cached = c.Cached, i+1
	}
	if d.req.Affinity != 0 && c.Resident {
		if w := rendezvousWeight(d.req.Affinity, c.Server.Name); w > d.homeWeight {
			d.homeWeight, d.home = w, i+1
		}
	}
}

func (d *sampler) considerAll(candidates []Candidate) {
	for i := range candidates {
		d.consider(candidates, i)
	}
}

// tooFewAvailable reports whether ejection leaves too few servers.
func (d *sampler) tooFewAvailable() bool {
	return !d.useEjected && d.ejected > 0 && (d.serving-d.ejected)*minAvailableDivisor < d.serving
}

// randBelow returns a pseudo-random number below n, which is at most 1<<31, from
// a linear congruential generator seeded by the caller's source.
func (d *sampler) randBelow(n uint64) uint64 {
	const multiplier, increment = 6364136223846793005, 1442695040888963407
	d.state = d.state*multiplier + increment
	return (d.state >> 33) * n >> 31
}

// shortlist returns the indexes of the candidates to compare; -1 means none. The
// home of the prompt comes before the samples, so that it wins among equal
// waits.
func (d *sampler) shortlist() [2 + int(classes)*samplesPerClass]int {
	out := [2 + int(classes)*samplesPerClass]int{d.cached - 1, d.home - 1}
	d.home--
	n := 2
	for k := range d.samples {
		for _, i := range d.samples[k] {
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

// rendezvousWeight returns the rendezvous hashing weight of a server for a
// prompt. All entries find the same home by it without communicating.
func rendezvousWeight(affinity uint64, name string) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(affinity)
	_, _ = d.WriteString(name)
	return d.Sum64()
}
