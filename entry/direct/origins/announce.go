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

const stepUsage = "origins.usage"

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
	began := time.Now()
	rows, err := g.opts.Table.List(ctx, usagePrefix, "", maxUsages)
	if err != nil {
		return err
	}
	now := time.Now()
	g.mu.Lock()
	found := map[string]bool{}
	for _, row := range rows {
		found[serviceOf(row.Key)] = true
		g.applyRow(row, now)
	}
	for service, u := range g.usages {
		if !found[service] && u.row != "" {
			u.lost("")
		}
	}
	g.usagesRead = gaps == g.gaps
	g.usagesReadAt = began
	g.mu.Unlock()
	g.review(now)
	return nil
}

func serviceOf(key string) string { return strings.TrimPrefix(key, usagePrefix) }

// applyRow takes over the row of a service as the store has it. The caller holds mu.
func (g *Registry) applyRow(row store.Row, now time.Time) {
	service := serviceOf(row.Key)
	u := g.usageOf(service)
	content, err := decodeUsage(row)
	if err != nil {
		event.Log(g.opts.Log, event.VersionsNotRead, event.Subject(row.Key), event.Err(err))
		u.lost(content.Row)
		return
	}
	u.apply(content, true, now)
}

// decodeUsage decodes the row of a service. The version of the row is set also if the content
// cannot be decoded.
func decodeUsage(row store.Row) (Usage, error) {
	var u Usage
	if err := json.Unmarshal(row.Value, &u); err != nil {
		return Usage{Row: row.Version}, fault.New(fault.KindInvalid, stepUsage, row.Key, err)
	}
	if u.Revision <= 0 {
		return Usage{Row: row.Version}, fault.Newf(fault.KindInvalid, stepUsage, row.Key, "revision %d", u.Revision)
	}
	u.Row = row.Version
	return u, nil
}

// nextUsage returns the content that the row of a service should have, and whether it
// differs from what the row has. The caller holds mu.
func (g *Registry) nextUsage(service string, now time.Time) (Usage, bool) {
	registered, recent := g.versions.registered(service), g.versions.recent(service, now)
	u := g.usageOf(service)
	if len(recent) == 0 && len(u.stages) == 0 {
		return Usage{}, false
	}
	stages, change := u.next(registered, recent, g.fresh(now), now)
	splits, _ := g.nextSplits(service, stages, now)
	return Usage{Stages: stages, Splits: splits, Revision: u.revision + 1}, change || !equalSplits(splits, u.splits)
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
		if !change {
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
	content, _ := g.nextUsage(service, time.Now())
	known := g.usageOf(service).row
	g.mu.Unlock()
	value, err := json.Marshal(content)
	if err != nil {
		return fault.New(fault.KindInternal, stepUsage, service, err)
	}
	key := usagePrefix + service
	var row store.Row
	if known == "" {
		row, err = g.opts.Table.PutIfAbsent(ctx, key, value)
	} else {
		row, err = g.opts.Table.CompareAndSet(ctx, key, known, value)
	}
	if fault.Is(err, fault.KindConflict) || fault.Is(err, fault.KindUnknown) {
		return g.rereadUsage(ctx, key)
	}
	if err != nil {
		return err
	}
	g.mu.Lock()
	g.applyRow(row, time.Now())
	g.mu.Unlock()
	g.announced(service)
	return nil
}

// rereadUsage reads the row of a service after a write that failed or may have failed.
func (g *Registry) rereadUsage(ctx context.Context, key string) error {
	row, err := g.opts.Table.Get(ctx, key)
	missing := fault.Is(err, fault.KindNotFound)
	if err != nil && !missing {
		return err
	}
	g.mu.Lock()
	if missing {
		g.usageOf(serviceOf(key)).lost("") // the store came back from a copy without the row
	} else {
		g.applyRow(row, time.Now())
	}
	g.mu.Unlock()
	g.review(time.Now())
	return nil
}

// announced logs a change of a row and tells the other entries.
func (g *Registry) announced(service string) {
	g.mu.Lock()
	u := g.usageOf(service)
	delete(g.noticed, service)
	m := []Usage{u.message(service)}
	g.mu.Unlock()
	event.Log(g.opts.Log, event.VersionsChanged, event.Subject(service), event.Reason(describe(&m[0])))
	for _, peer := range g.opts.Peers.Connected() {
		g.opts.Peers.SendUsages(peer, m)
	}
	g.review(time.Now())
}

// describe returns the stages in order of the versions' names, and the numbers of the splits.
func describe(u *Usage) string {
	var out []string
	for software, s := range u.Stages {
		out = append(out, software+" "+string(s))
	}
	slices.Sort(out)
	for _, s := range u.Splits {
		out = append(out, "split "+strconv.FormatInt(s.Number, 10))
	}
	return strings.Join(out, ", ")
}

// allUsages returns the rows that this entry knows.
func (g *Registry) allUsages() []Usage {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []Usage
	for service, u := range g.usages {
		if u.row != "" {
			out = append(out, u.message(service))
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
		g.usageOf(u.Service).apply(u, false, now)
	}
	g.mu.Unlock()
	g.review(now)
}
