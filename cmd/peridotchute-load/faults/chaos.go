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
	longestFault = 4 * time.Second
	calmAfter    = 1500 * time.Millisecond // longest time between two faults
)

// fault is one thing that goes wrong for a while at one place.
type fault struct {
	place string
	what  string
	begin func() error
	end   func() error
}

// chaos brings about faults that follow from its seed.
type chaos struct {
	cluster *cluster.Cluster
	proxies *proxy.Server
	rnd     *rand.Rand
	out     io.Writer
	began   time.Time

	mu    sync.Mutex
	busy  map[string]bool // places with a fault in force
	count int
	errs  []error
}

// run brings about faults, at most two at a time, until ctx ends, and then
// waits for their ends.
func (c *chaos) run(ctx context.Context) error {
	var all sync.WaitGroup
	for ctx.Err() == nil {
		f := c.pick()
		lasts := time.Duration(c.rnd.Int64N(int64(longestFault)))
		calm := time.Duration(c.rnd.Int64N(int64(calmAfter)))
		if c.take(f.place) {
			all.Go(func() { c.carryOut(f, lasts) })
		}
		select {
		case <-time.After(calm):
		case <-ctx.Done():
		}
	}
	all.Wait()
	return errors.Join(c.errs...)
}

// take reserves the place of a fault unless two faults are in force.
func (c *chaos) take(place string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy[place] || len(c.busy) >= 2 {
		return false
	}
	c.busy[place] = true
	c.count++
	return true
}

func (c *chaos) carryOut(f fault, lasts time.Duration) {
	fmt.Fprintf(c.out, "%6.1fs %s: %s for %v\n", time.Since(c.began).Seconds(), f.place, f.what, lasts.Round(time.Millisecond))
	err := f.begin()
	time.Sleep(lasts)
	err = errors.Join(err, f.end())
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.busy, f.place)
	if err != nil {
		c.errs = append(c.errs, fmt.Errorf("%s: %s: %w", f.place, f.what, err))
	}
}

// pick chooses the next fault.
func (c *chaos) pick() fault {
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
	return fault{place: p.Name, what: "killed", begin: p.Kill, end: p.Start}
}

func freeze(p *cluster.Process) fault {
	return fault{place: p.Name, what: "frozen", begin: p.Freeze, end: p.Resume}
}

func (c *chaos) store(f faults.Settings) fault {
	at := c.cluster.StandIn.Settings.TableAddress
	return fault{
		place: "table",
		what:  fmt.Sprintf("%+v", f),
		begin: func() error { return c.cluster.Fault(at, f) },
		end:   func() error { return c.cluster.Fault(at, faults.Settings{}) },
	}
}

func (c *chaos) service(s *cluster.Side, b plain.Behaviour) fault {
	return fault{
		place: "service of " + s.Name,
		what:  fmt.Sprintf("%+v", b),
		begin: func() error { return s.SetBehaviour(b) },
		end:   func() error { return s.SetBehaviour(plain.Behaviour{}) },
	}
}

// linkFaults names the faults of a link.
var linkFaults = [...]string{"bytes lost", "answers lost", "answers cut", "slow", "control cut"}

// link breaks the requests or the control calls between an entry and a side process.
func (c *chaos) link(from, to string, kind int) fault {
	data := c.proxies.Channel(from, to, cluster.ChannelData)
	control := c.proxies.Channel(from, to, cluster.ChannelRPC)
	f := fault{place: from + " to " + to, what: linkFaults[kind], end: func() error { return data.Heal(context.Background()) }}
	switch kind {
	case 0:
		f.begin = data.Blackhole
	case 1:
		f.begin = data.LoseAnswers
	case 2:
		f.begin = func() error { return data.CutAnswerAfter(10) }
	case 3:
		f.begin = func() error { return data.Slow(time.Second) }
	default:
		f.begin, f.end = control.Cut, control.Restore
	}
	return f
}
