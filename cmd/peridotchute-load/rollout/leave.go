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
	callers   = 4
	warmUp    = 500 * time.Millisecond // of traffic before the leave
	watchFor  = 4 * time.Second        // of traffic after it
	slotsPath = "/services/" + cluster.SampleService + "/slots"
)

// leaves measures, n times, how long a leaving server still gets new work under
// traffic, by the record of the stand-in behind it.
func (r results) leaves(ctx context.Context, n int) error {
	c, err := cluster.New(cluster.Options{Entries: 2, Plain: 2})
	if c != nil {
		defer c.Close()
	}
	if err != nil {
		return err
	}
	stop := call(ctx, c)
	defer stop()
	for i := range n {
		if err := r.leave(ctx, c, c.Plain(1+i%2)); err != nil {
			return err
		}
	}
	return nil
}

func (r results) leave(ctx context.Context, c *cluster.Cluster, s *cluster.Side) error {
	if err := clock.Sleep(ctx, warmUp); err != nil {
		return err
	}
	at := time.Now()
	if err := c.SetVMState(s.Name, store.VMLeaving); err != nil {
		return err
	}
	if err := clock.Sleep(ctx, watchFor); err != nil {
		return err
	}
	last, err := lastCall(s)
	if err != nil {
		return err
	}
	r.left.Add(max(last.Sub(at), 0))
	return c.SetVMState(s.Name, store.VMLive)
}

// call sends idempotent calls to every entry until the returned function is called.
func call(ctx context.Context, c *cluster.Cluster) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	for i := range callers {
		e := c.Entries()[i%len(c.Entries())]
		wg.Go(func() {
			for ctx.Err() == nil {
				send(ctx, e)
			}
		})
	}
	return func() {
		cancel()
		wg.Wait()
	}
}

// send makes one call; how it ends does not matter here.
func send(ctx context.Context, e *cluster.Entry) {
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

// lastCall returns when the stand-in behind the side process ran its last call.
func lastCall(s *cluster.Side) (time.Time, error) {
	all, err := s.Calls()
	if err != nil {
		return time.Time{}, err
	}
	if len(all) == 0 {
		return time.Time{}, fmt.Errorf("%s ran no call", s.Name)
	}
	return all[len(all)-1].At, nil
}
