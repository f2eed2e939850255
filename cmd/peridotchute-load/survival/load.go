package survival

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"peridotchute.example/cmd/peridotchute-load/caller"
	"peridotchute.example/common/clock"
	"peridotchute.example/common/fault"
	"peridotchute.example/integration/cluster"
)

// ejected is how long the balancer leaves out an entry that refused a connection.
const ejected = time.Second

// balancer stands for the platform's balancer: entries in turn, without those
// that refused a connection a moment ago.
type balancer struct {
	client *caller.Client
	urls   []string
	next   atomic.Uint64
	mu     sync.Mutex
	until  map[string]time.Time // left out until then
}

func newBalancer(c *cluster.Cluster) *balancer {
	b := &balancer{client: caller.New(cluster.SampleKey), until: map[string]time.Time{}}
	for _, e := range c.Entries() {
		b.urls = append(b.urls, e.URL())
	}
	return b
}

func (b *balancer) do(ctx context.Context, r caller.Request) (caller.Answer, error) {
	var a caller.Answer
	var err error
	for range b.urls {
		url := b.pick()
		a, err = b.client.Do(ctx, url, r)
		if fault.OfExchange(err) != fault.KindUnavailable {
			return a, err
		}
		b.mu.Lock()
		b.until[url] = time.Now().Add(ejected)
		b.mu.Unlock()
	}
	return a, err
}

func (b *balancer) pick() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var url string
	for range b.urls {
		url = b.urls[b.next.Add(1)%uint64(len(b.urls))]
		if time.Now().After(b.until[url]) {
			break
		}
	}
	return url
}

// event is the end of one request.
type event struct {
	sent   time.Duration // since the start of the load
	took   time.Duration
	answer caller.Answer
	err    error
}

func (e event) good(target time.Duration) bool {
	return e.err == nil && e.answer.OK() && e.took <= target
}

// answerLimit is when a caller gives up.
const answerLimit = 20 * time.Second

// offer sends requests at an even rate for a duration, whether or not earlier
// ones were answered, and returns what became of each.
func offer(ctx context.Context, b *balancer, r caller.Request, rate float64, d time.Duration) []event {
	n := int(rate * d.Seconds())
	events := make([]event, n)
	start := time.Now()
	var all sync.WaitGroup
	for i := range n {
		at := time.Duration(float64(i) / rate * float64(time.Second))
		if clock.Sleep(ctx, time.Until(start.Add(at))) != nil {
			events = events[:i]
			break
		}
		all.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, answerLimit)
			defer cancel()
			e := event{sent: time.Since(start)}
			e.answer, e.err = b.do(ctx, r)
			e.took = time.Since(start) - e.sent
			events[i] = e
		})
	}
	all.Wait()
	return events
}
