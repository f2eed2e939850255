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
func (inj *injector) run(ctx context.Context) error {
	var wg sync.WaitGroup
	for ctx.Err() == nil {
		f := inj.pick()
		duration := time.Duration(inj.rnd.Int64N(int64(maxFaultDuration)))
		pause := time.Duration(inj.rnd.Int64N(int64(maxPause)))
		if inj.reserve(f.target) {
			wg.Go(func() { inj.apply(f, duration) })
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
	wg.Wait()
	return errors.Join(inj.errs...)
}

// reserve marks the target as faulty. It returns false if the target already has a
// fault or if two faults are active.
func (inj *injector) reserve(target string) bool {
	inj.mu.Lock()
	defer inj.mu.Unlock()
	if inj.faulty[target] || len(inj.faulty) >= 2 {
		return false
	}
	inj.faulty[target] = true
	inj.count++
	return true
}

func (inj *injector) apply(f fault, duration time.Duration) {
	fmt.Fprintf(inj.out, "%6.1fs %s: %s for %v\n", time.Since(inj.startedAt).Seconds(), f.target, f.description, duration.Round(time.Millisecond))
	err := f.inject()
	time.Sleep(duration)
	err = errors.Join(err, f.remove())
	inj.mu.Lock()
	defer inj.mu.Unlock()
	delete(inj.faulty, f.target)
	if err != nil {
		inj.errs = append(inj.errs, fmt.Errorf("%s: %s: %w", f.target, f.description, err))
	}
}

// pick chooses the next fault.
func (inj *injector) pick() fault {
	entries, sides := inj.cluster.Entries(), inj.cluster.Sides()
	e, s := entries[inj.rnd.IntN(len(entries))], sides[inj.rnd.IntN(len(sides))]
	kind := inj.rnd.IntN(11)
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
		return inj.store(faults.Settings{Down: true})
	case 5:
		return inj.store(faults.Settings{LoseResponses: true, Match: "PutItem"})
	case 6:
		return inj.store(faults.Settings{SlowMS: 200 + inj.rnd.IntN(2500)})
	case 7:
		return inj.service(s, plain.Behaviour{BeforeMS: inj.rnd.IntN(1500), DelayMS: inj.rnd.IntN(1500)})
	case 8:
		return inj.service(s, plain.Behaviour{Cut: true})
	}
	return inj.link(e.Name, s.Name, inj.rnd.IntN(len(linkFaults)))
}

func kill(p *cluster.Process) fault {
	return fault{target: p.Name, description: "killed", inject: p.Kill, remove: p.Start}
}

func freeze(p *cluster.Process) fault {
	return fault{target: p.Name, description: "frozen", inject: p.Freeze, remove: p.Resume}
}

func (inj *injector) store(f faults.Settings) fault {
	at := inj.cluster.StandIn.Settings.TableAddress
	return fault{
		target:      "table",
		description: fmt.Sprintf("%+v", f),
		inject:      func() error { return inj.cluster.SetFaults(at, f) },
		remove:      func() error { return inj.cluster.SetFaults(at, faults.Settings{}) },
	}
}

func (inj *injector) service(s *cluster.Side, b plain.Behaviour) fault {
	return fault{
		target:      "service of " + s.Name,
		description: fmt.Sprintf("%+v", b),
		inject:      func() error { return s.SetBehaviour(b) },
		remove:      func() error { return s.SetBehaviour(plain.Behaviour{}) },
	}
}

// linkFaults names the faults of a link, indexed by the argument kind of
// injector.link.
var linkFaults = [...]string{"bytes lost", "responses lost", "responses cut", "slow", "control cut"}

// link returns a fault of the data or the control connections from an entry to a
// side process.
func (inj *injector) link(from, to string, kind int) fault {
	data := inj.proxies.Channel(from, to, cluster.ChannelData)
	control := inj.proxies.Channel(from, to, cluster.ChannelRPC)
	f := fault{target: from + " to " + to, description: linkFaults[kind], remove: func() error { return data.Heal(context.Background()) }}
	switch kind {
	case 0:
		f.inject = data.Blackhole
	case 1:
		f.inject = data.DropResponses
	case 2:
		f.inject = func() error { return data.CutResponseAfter(10) }
	case 3:
		f.inject = func() error { return data.Slow(time.Second) }
	default:
		f.inject, f.remove = control.Cut, control.Restore
	}
	return f
}
