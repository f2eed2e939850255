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

// ejectTime is how long the balancer skips an entry after a refused connection.
const ejectTime = time.Second

// balancer simulates the platform's load balancer. It selects entries round-robin
// and skips those that refused a connection within ejectTime.
type balancer struct {
	client       *caller.Client
	urls         []string
	next         atomic.Uint64
	mu           sync.Mutex
	ejectedUntil map[string]time.Time // by URL
}

func newBalancer(c *cluster.Cluster) *balancer {
	b := &balancer{client: caller.New(cluster.SampleKey), ejectedUntil: map[string]time.Time{}}
	for _, e := range c.Entries() {
		b.urls = append(b.urls, e.URL())
	}
	return b
}

func (b *balancer) do(ctx context.Context, r caller.Request) (caller.Response, error) {
	var resp caller.Response
	var err error
	for range b.urls {
		url := b.pick()
		resp, err = b.client.Do(ctx, url, r)
		if fault.KindOfNetworkError(err) != fault.KindUnavailable {
			return resp, err
		}
		b.mu.Lock()
		b.ejectedUntil[url] = time.Now().Add(ejectTime)
		b.mu.Unlock()
	}
	return resp, err
}

func (b *balancer) pick() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var url string
	for range b.urls {
		url = b.urls[b.next.Add(1)%uint64(len(b.urls))]
		if time.Now().After(b.ejectedUntil[url]) {
			break
		}
	}
	return url
}

// event records the result of one request.
type event struct {
	sent     time.Duration // since the start of the load
	duration time.Duration
	resp     caller.Response
	err      error
}

func (e event) good(target time.Duration) bool {
	return e.err == nil && e.resp.OK() && e.duration <= target
}

// responseTimeout is the timeout of a caller for one request.
const responseTimeout = 20 * time.Second

// offerLoad sends requests at a constant rate for a duration, regardless of
// responses (open loop), and returns the result of each.
func offerLoad(ctx context.Context, b *balancer, r caller.Request, rate float64, d time.Duration) []event {
	n := int(rate * d.Seconds())
	events := make([]event, n)
	start := time.Now()
	var wg sync.WaitGroup
	for i := range n {
		at := time.Duration(float64(i) / rate * float64(time.Second))
		if clock.Sleep(ctx, time.Until(start.Add(at))) != nil {
			events = events[:i]
			break
		}
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, responseTimeout)
			defer cancel()
			e := event{sent: time.Since(start)}
			e.resp, e.err = b.do(ctx, r)
			e.duration = time.Since(start) - e.sent
			events[i] = e
		})
	}
	wg.Wait()
	return events
}
