package faults

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"peridotchute.example/integration/cluster"
	"peridotchute.example/integration/proxy"
	"peridotchute.example/standin/faults"
	"peridotchute.example/standin/plain"
)

const (
	maxFaultDuration = 4 * time.Second
	maxPause         = 1500 * time.Millisecond // between the starts of two faults
)

// fault is a temporary failure of one target: a process, the table, a service or
// a link.
type fault struct {
	target      string
	description string
	inject      func() error
	remove      func() error
}

// injector injects faults chosen by a seeded random source.
type injector struct {
	cluster   *cluster.Cluster
	proxies   *proxy.Server
	rnd       *rand.Rand
	out       io.Writer
	startedAt time.Time

	mu     sync.Mutex
	faulty map[string]bool // targets with an active fault
	count  int
	errs   []error
}

// run injects faults, at most two at a time, until ctx ends, and then waits until
// all of them are removed.
func (c *injector) run(ctx context.Context) error {
	var wg sync.WaitGroup
	for ctx.Err() == nil {
		f := c.pick()
		duration := time.Duration(c.rnd.Int64N(int64(maxFaultDuration)))
		pause := time.Duration(c.rnd.Int64N(int64(maxPause)))
		if c.reserve(f.target) {
			wg.Go(func() { c.apply(f, duration) })
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
	wg.Wait()
	return errors.Join(c.errs...)
}

// reserve marks the target as faulty. It returns false if the target already has a
// fault or if two faults are active.
func (c *injector) reserve(place string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.faulty[place] || len(c.faulty) >= 2 {
		return false
	}
	c.faulty[place] = true
	c.count++
	return true
}

func (c *injector) apply(f fault, duration time.Duration) {
	fmt.Fprintf(c.out, "%6.1fs %s: %s for %v\n", time.Since(c.startedAt).Seconds(), f.target, f.description, duration.Round(time.Millisecond))
	err := f.inject()
	time.Sleep(duration)
	err = errors.Join(err, f.remove())
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.faulty, f.target)
	if err != nil {
		c.errs = append(c.errs, fmt.Errorf("%s: %s: %w", f.target, f.description, err))
	}
}

// pick chooses the next fault.
func (c *injector) pick() fault {
	entries, sides := c.cluster.Entries(), c.cluster.Sides()
	e, s := entries[c.rnd.IntN(len(entries))], sides[c.rnd.IntN(len(sides))]
	kind := c.rnd.IntN(11)
	switch kind {
	case 0:
		return kill(e.Process)
	case 1:
		return kill(s.Process)
	case 2:
		return freeze(e.Process)
	case 3:
		return freeze(s.Process)
	case 4:
		return c.store(faults.Settings{Down: true})
	case 5:
		return c.store(faults.Settings{LoseAnswers: true, Match: "PutItem"})
	case 6:
		return c.store(faults.Settings{SlowMS: 200 + c.rnd.IntN(2500)})
	case 7:
		return c.service(s, plain.Behaviour{BeforeMS: c.rnd.IntN(1500), DelayMS: c.rnd.IntN(1500)})
	case 8:
		return c.service(s, plain.Behaviour{Cut: true})
	}
	return c.link(e.Name, s.Name, c.rnd.IntN(len(linkFaults)))
}

func kill(p *cluster.Process) fault {
	return fault{target: p.Name, description: "killed", inject: p.Kill, remove: p.Start}
}

func freeze(p *cluster.Process) fault {
	return fault{target: p.Name, description: "frozen", inject: p.Freeze, remove: p.Resume}
}

func (c *injector) store(f faults.Settings) fault {
	at := c.cluster.StandIn.Settings.TableAddress
	return fault{
		target:      "table",
		description: fmt.Sprintf("%+v", f),
		inject:      func() error { return c.cluster.Fault(at, f) },
		remove:      func() error { return c.cluster.Fault(at, faults.Settings{}) },
	}
}

func (c *injector) service(s *cluster.Side, b plain.Behaviour) fault {
	return fault{
		target:      "service of " + s.Name,
		description: fmt.Sprintf("%+v", b),
		inject:      func() error { return s.SetBehaviour(b) },
		remove:      func() error { return s.SetBehaviour(plain.Behaviour{}) },
	}
}

// linkFaults names the faults of a link, indexed by the kind given to link.
var linkFaults = [...]string{"bytes lost", "responses lost", "responses cut", "slow", "control cut"}

// link returns a fault of the requests or the control calls from an entry to a side
// process.
func (c *injector) link(from, to string, kind int) fault {
	data := c.proxies.Channel(from, to, cluster.ChannelData)
	control := c.proxies.Channel(from, to, cluster.ChannelRPC)
	f := fault{target: from + " to " + to, description: linkFaults[kind], remove: func() error { return data.Heal(context.Background()) }}
	switch kind {
	case 0:
		f.inject = data.Blackhole
	case 1:
		f.inject = data.LoseAnswers
	case 2:
		f.inject = func() error { return data.CutAnswerAfter(10) }
	case 3:
		f.inject = func() error { return data.Slow(time.Second) }
	default:
		f.inject, f.remove = control.Cut, control.Restore
	}
	return f
}
