package origins

import (
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"strings"
	"time"

	"peridotchute.example/common/clock"
	"peridotchute.example/common/event"
	"peridotchute.example/common/fault"
	"peridotchute.example/membership"
	"peridotchute.example/store"
)

const (
	usagePrefix = "versions/" // of the keys of the rows of services
	maxUsages   = 500         // rows read at once

	// usageGatherTime gathers the changes that follow from one list of servers.
	usageGatherTime = 25 * time.Millisecond

	// announceStagger is the delay between the entries that would write the same change: all
	// but the first usually learn of it from the first.
	announceStagger = 500 * time.Millisecond
	maxAnnounceRank = 3
)

// RunUsages reads the rows of the services, and writes the stages of their versions, until
// ctx is done.
func (g *Registry) RunUsages(ctx context.Context) {
	calls := newRetrier(g.opts.Log, event.VersionsNotStored)
	for ctx.Err() == nil {
		if calls.wait(ctx, g.syncUsages(ctx)) {
			continue
		}
		select {
		case <-g.announceWake:
		case <-ctx.Done():
			return
		}
		_ = clock.Sleep(ctx, usageGatherTime)
	}
}

// syncUsages reads the rows if they may have changed unseen, and writes those that have to
// change.
func (g *Registry) syncUsages(ctx context.Context) error {
	g.mu.Lock()
	read, listed := g.usagesRead, !g.list.read.IsZero()
	g.mu.Unlock()
	if !read && listed {
		if err := g.readUsages(ctx); err != nil {
			return err
		}
	}
	for _, service := range g.dueUsages(time.Now()) {
		if err := g.writeUsage(ctx, service); err != nil {
			return err
		}
	}
	return nil
}

// readUsages reads the rows of all services.
func (g *Registry) readUsages(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, rowTimeout)
	defer cancel()
	g.mu.Lock()
	gaps := g.gaps
	g.mu.Unlock()
	rows, err := g.opts.Table.List(ctx, usagePrefix, "", maxUsages)
	if err != nil {
		return err
	}
	now := time.Now()
	for _, row := range rows {
		g.applyRow(row, now)
	}
	g.mu.Lock()
	g.usagesRead = gaps == g.gaps
	g.mu.Unlock()
	g.review(now)
	return nil
}

// applyRow takes over the row of a service as the store has it.
func (g *Registry) applyRow(row store.Row, now time.Time) {
	u, err := decodeUsage(row)
	if err != nil {
		event.Log(g.opts.Log, event.VersionsNotRead, event.Subject(row.Key), event.Err(err))
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.usageOf(u.Service).apply(u.Stages, u.Row, now)
}

func decodeUsage(row store.Row) (Usage, error) {
	var stages map[string]stage
	if err := json.Unmarshal(row.Value, &stages); err != nil {
		return Usage{}, fault.New(fault.KindInvalid, "origins.usage", row.Key, err)
	}
	version, err := strconv.ParseInt(row.Version, 10, 64)
	if err != nil {
		return Usage{}, fault.New(fault.KindInvalid, "origins.usage", row.Key, err)
	}
	return Usage{Service: strings.TrimPrefix(row.Key, usagePrefix), Stages: stages, Row: version}, nil
}

// nextUsage returns the stages that the row of a service should have, and whether they
// differ from those that it has. The caller holds mu.
func (g *Registry) nextUsage(service string, now time.Time) (map[string]stage, bool) {
	registered := g.versions.registered(service)
	u := g.usageOf(service)
	if len(registered) == 0 && len(u.stages) == 0 {
		return nil, false
	}
	return u.next(registered, g.fresh(now), now)
}

// dueUsages returns the services whose rows this entry should write now. The caller does
// not hold mu.
func (g *Registry) dueUsages(now time.Time) []string {
	names := append(slices.Clone(g.opts.Peers.Connected()), g.opts.Self)
	g.mu.Lock()
	defer g.mu.Unlock()
	var due []string
	for service := range g.versions.seen {
		_, change := g.nextUsage(service, now)
		if !change || !g.tracked(service) {
			delete(g.noticed, service)
			continue
		}
		if g.noticed[service].IsZero() {
			g.noticed[service] = now
		}
		rank := slices.Index(membership.Rendezvous(usagePrefix+service, names, maxAnnounceRank), g.opts.Self)
		if rank < 0 {
			rank = maxAnnounceRank
		}
		if now.Sub(g.noticed[service]) >= time.Duration(rank)*announceStagger {
			due = append(due, service)
		}
	}
	return due
}

// writeUsage writes the row of a service unless another entry has changed it; then it takes
// over the other's.
func (g *Registry) writeUsage(ctx context.Context, service string) error {
	ctx, cancel := context.WithTimeout(ctx, rowTimeout)
	defer cancel()
	g.mu.Lock()
	stages, _ := g.nextUsage(service, time.Now())
	known := g.usageOf(service).row
	g.mu.Unlock()
	value, err := json.Marshal(stages)
	if err != nil {
		return fault.New(fault.KindInternal, "origins.usage", service, err)
	}
	key := usagePrefix + service
	var row store.Row
	if known == 0 {
		row, err = g.opts.Table.PutIfAbsent(ctx, key, value)
	} else {
		row, err = g.opts.Table.CompareAndSet(ctx, key, strconv.FormatInt(known, 10), value)
	}
	if fault.Is(err, fault.KindConflict) || fault.Is(err, fault.KindUnknown) {
		return g.rereadUsage(ctx, key)
	}
	if err != nil {
		return err
	}
	g.applyRow(row, time.Now())
	g.announced(service)
	return nil
}

// rereadUsage reads the row of a service after a write that failed or may have failed.
func (g *Registry) rereadUsage(ctx context.Context, key string) error {
	row, err := g.opts.Table.Get(ctx, key)
	if fault.Is(err, fault.KindNotFound) {
		g.mu.Lock()
		g.usageOf(strings.TrimPrefix(key, usagePrefix)).row = 0 // the store came back from a copy without the row
		g.mu.Unlock()
		return nil
	}
	if err != nil {
		return err
	}
	g.applyRow(row, time.Now())
	g.review(time.Now())
	return nil
}

// announced logs a change of a row and tells the other entries.
func (g *Registry) announced(service string) {
	g.mu.Lock()
	u := g.usageOf(service)
	delete(g.noticed, service)
	m := []Usage{{Service: service, Stages: u.stages, Row: u.row}}
	g.mu.Unlock()
	event.Log(g.opts.Log, event.VersionsChanged, event.Subject(service), event.Reason(describe(m[0].Stages)))
	for _, peer := range g.opts.Peers.Connected() {
		g.opts.Peers.SendUsages(peer, m)
	}
	g.review(time.Now())
}

// describe returns the stages in order of the versions' names.
func describe(stages map[string]stage) string {
	var out []string
	for software, s := range stages {
		out = append(out, software+" "+string(s))
	}
	slices.Sort(out)
	return strings.Join(out, ", ")
}

// allUsages returns the rows that this entry knows.
func (g *Registry) allUsages() []Usage {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []Usage
	for service, u := range g.usages {
		if u.row > 0 {
			out = append(out, Usage{Service: service, Stages: u.stages, Row: u.row})
		}
	}
	return out
}

// ReceiveUsages takes over rows that another entry has read or written, unless this entry
// knows newer ones.
func (g *Registry) ReceiveUsages(received []Usage) {
	now := time.Now()
	g.mu.Lock()
	for _, u := range received {
		if known := g.usageOf(u.Service); u.Row > known.row {
			known.apply(u.Stages, u.Row, now)
		}
	}
	g.mu.Unlock()
	g.review(now)
}
