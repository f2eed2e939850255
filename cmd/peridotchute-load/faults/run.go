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

// Run starts a deployment, sends actions under faults and returns the tally.
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
	client := newActionClient(c, o.Seed)
	if err := client.awaitReady(); err != nil {
		return Tally{}, err
	}
	if err := runUnderFaults(ctx, o, c, proxies, client, out); err != nil {
		return Tally{}, err
	}
	h, err := client.history(ctx)
	if err != nil {
		return Tally{}, err
	}
	return Check(h), nil
}

// runUnderFaults sends actions and injects faults for o.For.
func runUnderFaults(ctx context.Context, o Options, c *cluster.Cluster, proxies *proxy.Server, client *actionClient, out io.Writer) error {
	if o.Quiet {
		out = io.Discard
	}
	ctx, cancel := context.WithTimeout(ctx, o.For)
	defer cancel()
	var workers sync.WaitGroup
	for i := range o.Workers {
		workers.Go(func() { client.work(ctx, i) })
	}
	inj := &injector{
		cluster: c, proxies: proxies, out: out, startedAt: time.Now(), faulty: map[string]bool{},
		rnd: rand.New(rand.NewPCG(o.Seed, o.Seed)),
	}
	err := inj.run(ctx)
	workers.Wait()
	fmt.Fprintf(out, "%d faults\n", inj.count)
	return err
}

// awaitReady waits until every entry completes an action.
func (c *actionClient) awaitReady() error {
	for i, e := range c.cluster.Entries() {
		n := 0
		err := cluster.Await(func() error {
			n++
			outcome, _ := c.exchange(e, fmt.Sprintf("first-%d-%d", i, n), "first")
			if outcome != wire.OutcomeCompleted {
				return fmt.Errorf("%s reported outcome %q\n%s", e.Name, outcome, c.cluster.Output())
			}
			return nil
		})
		if err != nil {
			return err
		}
	}
	return nil
}
