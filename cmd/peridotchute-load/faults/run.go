package faults

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"peridotchute.example/common/wire"
	"peridotchute.example/integration/cluster"
	"peridotchute.example/integration/proxy"
)

// Run brings about the faults and returns the tally.
func Run(ctx context.Context, o Options, out io.Writer) (Tally, error) {
	proxies := proxy.NewServer()
	defer proxies.Close()
	c, err := cluster.New(cluster.Options{Entries: o.Entries, Plain: o.Plain, Proxies: proxies})
	if c != nil {
		defer func() { _ = c.Close() }()
	}
	if err != nil {
		return Tally{}, err
	}
	calls := newCaller(c, o.Seed)
	if err := calls.awaitFirst(); err != nil {
		return Tally{}, err
	}
	if err := suffer(ctx, o, c, proxies, calls, out); err != nil {
		return Tally{}, err
	}
	h, err := calls.history(ctx)
	if err != nil {
		return Tally{}, err
	}
	return Check(h), nil
}

// suffer runs traffic and faults for the given time.
func suffer(ctx context.Context, o Options, c *cluster.Cluster, proxies *proxy.Server, calls *caller, out io.Writer) error {
	if o.Quiet {
		out = io.Discard
	}
	ctx, cancel := context.WithTimeout(ctx, o.For)
	defer cancel()
	var workers sync.WaitGroup
	for i := range o.Workers {
		workers.Go(func() { calls.work(ctx, i) })
	}
	bad := &chaos{
		cluster: c, proxies: proxies, out: out, began: time.Now(), busy: map[string]bool{},
		rnd: rand.New(rand.NewPCG(o.Seed, o.Seed)),
	}
	err := bad.run(ctx)
	workers.Wait()
	fmt.Fprintf(out, "%d faults\n", bad.count)
	return err
}

// awaitFirst waits until every entry completes an action.
func (c *caller) awaitFirst() error {
	for i, e := range c.cluster.Entries() {
		n := 0
		err := cluster.Await(func() error {
			n++
			outcome, _ := c.exchange(e, fmt.Sprintf("first-%d-%d", i, n), "first")
			if outcome != wire.OutcomeCompleted {
				return fmt.Errorf("%s told %q\n%s", e.Name, outcome, c.cluster.Output())
			}
			return nil
		})
		if err != nil {
			return err
		}
	}
	return nil
}
