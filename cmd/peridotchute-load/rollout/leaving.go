package rollout

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"peridotchute.example/common/clock"
	"peridotchute.example/integration/cluster"
	"peridotchute.example/store"
)

const (
	callers     = 4
	warmUpTime  = 500 * time.Millisecond // traffic before the server leaves
	observeTime = 4 * time.Second        // traffic after the server leaves
	slotsPath   = "/services/" + cluster.SampleService + "/slots"
)

// measureLeaves measures n times, under traffic, how long a leaving server still
// receives new work. The times come from the call log of its backend stand-in.
func (r results) measureLeaves(ctx context.Context, n int) error {
	c, err := cluster.New(cluster.Options{Entries: 2, Plain: 2})
	if c != nil {
		defer c.Close()
	}
	if err != nil {
		return err
	}
	stop := startTraffic(ctx, c)
	defer stop()
	for i := range n {
		if err := r.measureLeave(ctx, c, c.Plain(1+i%2)); err != nil {
			return err
		}
	}
	return nil
}

func (r results) measureLeave(ctx context.Context, c *cluster.Cluster, s *cluster.Side) error {
	if err := clock.Sleep(ctx, warmUpTime); err != nil {
		return err
	}
	at := time.Now()
	if err := c.SetVMState(s.Name, store.VMLeaving); err != nil {
		return err
	}
	if err := clock.Sleep(ctx, observeTime); err != nil {
		return err
	}
	last, err := lastCall(s)
	if err != nil {
		return err
	}
	r.leaving.Add(max(last.Sub(at), 0))
	return c.SetVMState(s.Name, store.VMLive)
}

// startTraffic sends idempotent calls to every entry until the returned function is called.
func startTraffic(ctx context.Context, c *cluster.Cluster) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	for i := range callers {
		e := c.Entries()[i%len(c.Entries())]
		wg.Go(func() {
			for ctx.Err() == nil {
				sendRequest(ctx, e)
			}
		})
	}
	return func() {
		cancel()
		wg.Wait()
	}
}

// sendRequest makes one call and ignores its result.
func sendRequest(ctx context.Context, e *cluster.Entry) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, e.URL()+slotsPath, strings.NewReader("{}"))
	if err != nil {
		return
	}
	req.Header.Set("Authorization", "Bearer "+cluster.SampleKey)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
}

// lastCall returns the time of the last call at the backend stand-in of the side
// process.
func lastCall(s *cluster.Side) (time.Time, error) {
	calls, err := s.Calls()
	if err != nil {
		return time.Time{}, err
	}
	if len(calls) == 0 {
		return time.Time{}, fmt.Errorf("%s has received no calls", s.Name)
	}
	return calls[len(calls)-1].At, nil
}
