package orders

import (
	"context"
	"errors"
	"time"

	"peridotchute.example/common/fault"
	"peridotchute.example/placement/loadplan"
)

// ensureTimeout bounds the wait for a model: the slowest load of the known
// deployments takes 6 s and may queue behind other loads.
const ensureTimeout = 15 * time.Second

// ErrNoRoom means that no server of the software version has room for the model.
var ErrNoRoom = errors.New("no server of the software version has room for the model")

// choiceRetryInterval is how long Ensure waits before it chooses again although
// nothing has changed: an adapter may have become idle.
const choiceRetryInterval = 100 * time.Millisecond

// flightKey identifies the model or adapter that a flight loads.
type flightKey struct {
	software string // if set, only servers of this software version count
	service  string
	key      loadplan.Key
}

// flight is a load shared by all callers of Ensure that need the same artifact.
type flight struct {
	waiters int
	cancel  context.CancelFunc
	done    chan struct{}
	server  string
	err     error
}

// EnsureRequest names the model or adapter that Ensure makes resident.
type EnsureRequest struct {
	Service  string   `json:"service"`
	Model    string   `json:"model"`
	Adapter  string   `json:"adapter,omitempty"`  // empty for the model itself
	Software string   `json:"software,omitempty"` // if set, only servers of this software version count
	Prefer   []string `json:"prefer,omitempty"`   // server IDs, most preferred first
}

// Ensure makes a model, or one of its adapters, resident on a server and returns
// the ID of that server. On an entry
// that does not hold the lease, Ensure fails at once with KindUnavailable. It fails
// with KindNotFound if the model is not declared, with ErrNoRoom if it cannot be loaded at the
// software version, and with KindCanceled when ctx ends.
func (m *Manager) Ensure(ctx context.Context, q EnsureRequest) (string, error) {
	if _, left := m.lease.held(); left <= 0 {
		holder, _ := m.lease.holder()
		return "", fault.Newf(fault.KindUnavailable, "orders.ensure", holder, "another entry holds the orders lease")
	}
	fk := flightKey{service: q.Service, software: q.Software, key: loadplan.Key{Model: q.Model, Adapter: q.Adapter}}
	f := m.joinFlight(ctx, fk, q.Prefer)
	defer m.leaveFlight(fk, f)
	select {
	case <-f.done:
		return f.server, f.err
	case <-ctx.Done():
		return "", fault.New(fault.KindCanceled, "orders.ensure", q.Model, ctx.Err())
	}
}

func (m *Manager) joinFlight(ctx context.Context, fk flightKey, prefer []string) *flight {
	m.mu.Lock()
	defer m.mu.Unlock()
	if f := m.flights[fk]; f != nil {
		f.waiters++
		return f
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), ensureTimeout)
	f := &flight{waiters: 1, cancel: cancel, done: make(chan struct{})}
	m.flights[fk] = f
	go m.runFlight(ctx, fk, f, prefer)
	return f
}

// leaveFlight removes a caller from the flight and cancels the flight when no
// callers remain.
func (m *Manager) leaveFlight(fk flightKey, f *flight) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f.waiters--
	if f.waiters > 0 {
		return
	}
	f.cancel()
	if m.flights[fk] == f {
		delete(m.flights, fk)
	}
}

func (m *Manager) runFlight(ctx context.Context, fk flightKey, f *flight, prefer []string) {
	defer f.cancel()
	server, err := m.makeResident(ctx, fk, prefer)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.flights[fk] == f {
		delete(m.flights, fk)
	}
	f.server, f.err = server, err
	close(f.done)
}

// makeResident issues the necessary orders one after the other and waits in
// between for changes to the placement state.
func (m *Manager) makeResident(ctx context.Context, fk flightKey, prefer []string) (string, error) {
	for {
		if _, left := m.lease.held(); left <= 0 {
			return "", fault.Newf(fault.KindUnavailable, "orders.ensure", "", "the lease ended")
		}
		c, wait := m.advance(ctx, fk, prefer)
		switch c.Outcome {
		case loadplan.ChoiceLoaded:
			return c.Server, m.awaitReady(ctx, fk, c)
		case loadplan.ChoiceUnknown:
			return "", fault.Newf(fault.KindNotFound, "orders.ensure", fk.service, "model %q is not declared", fk.key.Model)
		case loadplan.ChoiceNoRoom:
			return "", fault.New(fault.KindRefused, "orders.ensure", fk.service, ErrNoRoom)
		}
		select {
		case <-wait:
		case <-time.After(choiceRetryInterval):
		case <-ctx.Done():
			return "", fault.New(fault.KindUnavailable, "orders.ensure", fk.service, ctx.Err())
		}
	}
}

// advance chooses the next order and starts it. The returned channel is closed
// when makeResident should choose again.
func (m *Manager) advance(ctx context.Context, fk flightKey, prefer []string) (loadplan.Choice, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	b := m.placements[fk.service]
	if b == nil || m.stopped {
		return loadplan.Choice{Outcome: loadplan.ChoiceWait}, m.changed
	}
	now := m.opts.Clock()
	c := b.Choose(fk.key, fk.software, prefer, now)
	switch c.Outcome {
	case loadplan.ChoiceOrder:
		return c, m.beginOrderLocked(ctx, fk.service, c.Server, c.Order, "on demand")
	case loadplan.ChoiceNoModel, loadplan.ChoiceNoRoom:
		b.Demand.MarkWanted(fk.key.Model, fk.software, now)
		m.wakePlanner()
	}
	return c, m.changed
}

// awaitReady waits until an adapter that is being loaded is ready.
func (m *Manager) awaitReady(ctx context.Context, fk flightKey, c loadplan.Choice) error {
	left := c.Ready - m.opts.Clock()
	if fk.key.Adapter == "" || left <= 0 {
		return nil
	}
	if !sleep(ctx, left) {
		return fault.New(fault.KindCanceled, "orders.ensure", c.Server, ctx.Err())
	}
	return nil
}
