package front

import (
	"slices"
	"sync"
	"time"
)

const (
	durationSamples    = 64   // latest durations kept for each kind
	minDurationSamples = 10   // fewer say nothing about a kind
	maxDurationKinds   = 4096 // kinds kept; a configuration has some hundred routes
)

// durations keeps how long requests of each kind have lately taken, from their sending to a
// server to the end of a successful answer. The name of the route is the kind.
type durations struct {
	mu    sync.Mutex
	kinds map[string]*durationRing
}

// durationRing holds the latest durations of one kind.
type durationRing struct {
	samples [durationSamples]time.Duration
	n       int // observed in all
}

// kindDuration is what is known of the durations of one kind. The zero value means that
// nothing is known.
type kindDuration struct {
	usual   time.Duration // longer than nine of ten
	longest time.Duration
}

func newDurations() *durations { return &durations{kinds: map[string]*durationRing{}} }

// observe records the duration of a request.
func (d *durations) observe(kind string, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.kinds[kind]
	if r == nil {
		if len(d.kinds) >= maxDurationKinds {
			clear(d.kinds)
		}
		r = &durationRing{}
		d.kinds[kind] = r
	}
	r.samples[r.n%durationSamples] = took
	r.n++
}

// of returns what is known of a kind.
func (d *durations) of(kind string) kindDuration {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.kinds[kind]
	if r == nil || r.n < minDurationSamples {
		return kindDuration{}
	}
	sorted := slices.Clone(r.samples[:min(r.n, durationSamples)])
	slices.Sort(sorted)
	return kindDuration{usual: sorted[len(sorted)*9/10], longest: sorted[len(sorted)-1]}
}
