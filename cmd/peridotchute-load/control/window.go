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

// cost is the resource usage of one process in one window.
type cost struct {
	cpuPercent     float64 // of one core
	bytesPerSecond float64 // on control connections, in both directions
	memoryMB       float64 // resident
	heapMB         float64 // in use
}

// window is one measurement of a cluster, with mean costs for each role.
type window struct {
	entry, side   cost
	reads, writes float64 // of the table, per second
	vmListBytes   float64 // read from the VM list, per second and entry
}

const megabyte = 1 << 20

// Delays between the start of a cluster and its first window.
const (
	settleTime      = 3 * time.Second
	modelSettleTime = 20 * time.Second // enough for every model to be loaded
)

type snapshot struct {
	entries, sides []procstat.Sample
	reads, writes  int64
	vmListBytes    int64
	at             time.Time
}

func takeSnapshot(c *cluster.Cluster) (snapshot, error) {
	s := snapshot{at: time.Now()}
	for _, e := range c.Entries() {
		sample, err := procstat.Read(e.PID(), e.AdminURL())
		if err != nil {
			return s, err
		}
		s.entries = append(s.entries, sample)
	}
	for _, side := range c.Sides() {
		sample, err := procstat.Read(side.PID(), side.AdminURL())
		if err != nil {
			return s, err
		}
		s.sides = append(s.sides, sample)
	}
	counts, err := c.TableCounts()
	s.reads, s.writes, s.vmListBytes = counts.Reads, counts.Writes, c.VMListBytes()
	return s, err
}

// measureWindow returns the costs of the cluster while f runs.
func measureWindow(c *cluster.Cluster, f func() error) (window, error) {
	before, err := takeSnapshot(c)
	if err != nil {
		return window{}, err
	}
	if err := f(); err != nil {
		return window{}, err
	}
	after, err := takeSnapshot(c)
	if err != nil {
		return window{}, err
	}
	seconds := after.at.Sub(before.at).Seconds()
	return window{
		entry:       meanCost(before.entries, after.entries),
		side:        meanCost(before.sides, after.sides),
		reads:       float64(after.reads-before.reads) / seconds,
		writes:      float64(after.writes-before.writes) / seconds,
		vmListBytes: float64(after.vmListBytes-before.vmListBytes) / seconds / float64(len(before.entries)),
	}, nil
}

// meanCost returns the mean cost of the processes that ran for the whole window.
func meanCost(before, after []procstat.Sample) cost {
	var out cost
	var n float64
	for i := range before {
		usage := after[i].Since(before[i])
		if usage.CPU < 0 || usage.ControlRead < 0 {
			continue // restarted during the window, so its counters were reset
		}
		n++
		out.cpuPercent += 100 * usage.Cores()
		out.bytesPerSecond += float64(usage.ControlRead+usage.ControlWritten) / usage.Elapsed.Seconds()
		out.memoryMB += float64(after[i].ResidentBytes) / megabyte
		out.heapMB += float64(after[i].Vars.Mem.HeapAlloc) / megabyte
	}
	n = max(n, 1)
	return cost{cpuPercent: out.cpuPercent / n, bytesPerSecond: out.bytesPerSecond / n, memoryMB: out.memoryMB / n, heapMB: out.heapMB / n}
}

// idle returns a function that waits for d.
func idle(ctx context.Context, d time.Duration) func() error {
	return func() error { return clock.Sleep(ctx, d) }
}

// withCluster starts a cluster, waits for the given time and runs f on it.
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
