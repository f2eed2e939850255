package control

import (
	"context"
	"errors"
	"time"

	"peridotchute.example/cmd/peridotchute-load/procstat"
	"peridotchute.example/common/clock"
	"peridotchute.example/entry"
	"peridotchute.example/integration/cluster"
)

// cost is what one process, or the table service, had to do in one window.
type cost struct {
	core   float64 // share of a core, %
	bytes  float64 // of control connections, both ways, a second
	memory float64 // resident, MB
	heap   float64 // in use, MB
}

// window is one measurement of a cluster: means over the processes of a role.
type window struct {
	entry, side   cost
	reads, writes float64 // of the table, a second
	list          float64 // bytes of the VM list, a second and entry
}

const megabyte = 1 << 20

// Time between the start of a cluster and its first window.
const (
	settle       = 3 * time.Second
	settleModels = 20 * time.Second // covers the loads that make every model resident
)

type snapshot struct {
	entries, sides []procstat.Sample
	reads, writes  int64
	list           int64
	at             time.Time
}

func take(c *cluster.Cluster) (snapshot, error) {
	s := snapshot{at: time.Now()}
	for _, e := range c.Entries() {
		one, err := procstat.Read(e.PID(), e.AdminURL())
		if err != nil {
			return s, err
		}
		s.entries = append(s.entries, one)
	}
	for _, side := range c.Sides() {
		one, err := procstat.Read(side.PID(), side.AdminURL())
		if err != nil {
			return s, err
		}
		s.sides = append(s.sides, one)
	}
	counts, err := c.TableCounts()
	s.reads, s.writes, s.list = counts.Reads, counts.Writes, c.VMListBytes()
	return s, err
}

// measureWindow measures the cluster while f runs.
func measureWindow(c *cluster.Cluster, f func() error) (window, error) {
	before, err := take(c)
	if err != nil {
		return window{}, err
	}
	if err := f(); err != nil {
		return window{}, err
	}
	after, err := take(c)
	if err != nil {
		return window{}, err
	}
	seconds := after.at.Sub(before.at).Seconds()
	return window{
		entry:  mean(before.entries, after.entries),
		side:   mean(before.sides, after.sides),
		reads:  float64(after.reads-before.reads) / seconds,
		writes: float64(after.writes-before.writes) / seconds,
		list:   float64(after.list-before.list) / seconds / float64(len(before.entries)),
	}, nil
}

// mean returns the mean cost of the processes that ran through the window.
func mean(before, after []procstat.Sample) cost {
	var out cost
	var n float64
	for i := range before {
		use := after[i].Since(before[i])
		if use.CPU < 0 || use.Read < 0 {
			continue // was replaced meanwhile
		}
		n++
		out.core += 100 * use.Core()
		out.bytes += float64(use.Read+use.Written) / use.Time.Seconds()
		out.memory += float64(after[i].ResidentBytes) / megabyte
		out.heap += float64(after[i].Vars.Mem.HeapAlloc) / megabyte
	}
	n = max(n, 1)
	return cost{core: out.core / n, bytes: out.bytes / n, memory: out.memory / n, heap: out.heap / n}
}

// idle waits for d.
func idle(ctx context.Context, d time.Duration) func() error {
	return func() error { return clock.Sleep(ctx, d) }
}

// withCluster runs f on a cluster that has settled.
func withCluster(ctx context.Context, o cluster.Options, wait time.Duration, f func(*cluster.Cluster) error) (err error) {
	o.EditEntry = func(_ int, s *entry.Settings) { s.VMList.IntervalMS = 0 } // the default
	c, err := cluster.New(o)
	if c != nil {
		defer func() { err = errors.Join(err, c.Close()) }()
	}
	if err != nil {
		return err
	}
	if err := clock.Sleep(ctx, wait); err != nil {
		return err
	}
	return f(c)
}
