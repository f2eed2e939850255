package replay

import (
	"context"
	"fmt"
	"time"

	"peridotchute.example/common/wire"
	"peridotchute.example/config"
	"peridotchute.example/entry"
	"peridotchute.example/integration/cluster"
	"peridotchute.example/routing"
	"peridotchute.example/side"
	"peridotchute.example/standin/engine"
	"peridotchute.example/standin/server"
)

const entryCount = 2

// Options configures a measurement.
type Options struct {
	Deployment string           // name; empty for all
	Policies   []routing.Policy // to compare
	Seeds      []uint64
	Length     time.Duration // of one run, before scaling
	Scale      float64       // of all times; smaller is faster
	Load       float64       // multiple of the deployment's request rate
	Output     string        // Markdown file whose newest section is replaced; empty for none
}

// run is one replay under one policy.
type run struct {
	deployment Deployment
	policy     routing.Policy
	opts       Options
	workload   Workload
	declared   *config.Configuration
	cluster    *cluster.Cluster
	sequence   uint64 // of the last issued order
}

// perform starts the processes, replays the workload and returns the result. One server
// is killed during the replay.
func (r *run) perform(ctx context.Context) (res Result, err error) {
	r.cluster, err = cluster.New(r.clusterOptions())
	if r.cluster != nil {
		defer func() { _ = r.cluster.Close() }()
	}
	if err != nil {
		return res, err
	}
	if err := r.place(ctx); err != nil {
		return res, fmt.Errorf("initial placement: %w", err)
	}
	before, err := r.readCounters()
	if err != nil {
		return res, err
	}
	c := newClient(r.callerAddresses(), r.deployment.CallerTimeout, r.opts.Scale)
	sideToKill := r.cluster.Side(1)
	killTime := time.Duration(killAt * float64(r.workload.Length))
	samples := c.replay(ctx, r.workload, map[time.Duration]func(){
		killTime: func() { _ = sideToKill.Kill() },
	})
	after, err := r.readCounters()
	if err != nil {
		return res, err
	}
	return r.result(samples, before, after), nil
}

func (r *run) clusterOptions() cluster.Options {
	d := r.deployment
	var zones []cluster.Zone
	for _, z := range d.Zones {
		zones = append(zones, cluster.Zone{Region: d.regionOf(z), Name: z})
	}
	return cluster.Options{
		Entries:     entryCount,
		Sides:       d.Workers,
		Zones:       zones,
		MemoryBytes: d.WorkerBytes,
		TimeScale:   r.opts.Scale,
		Config:      r.declared,
		Env:         []string{"GOMAXPROCS=4"},
		EditEntry:   r.editEntry,
		EditSide:    func(_ int, s *side.Settings) { s.Pool = d.Pool },
		EditStandIn: r.editStandIn,
	}
}

// editEntry sets the policy and the zone of an entry: the first entry is in the first
// zone, the second one in the last zone, which is in the other region.
func (r *run) editEntry(i int, s *entry.Settings) {
	zone := r.deployment.Zones[0]
	if i > 1 {
		zone = r.deployment.Zones[len(r.deployment.Zones)-1]
	}
	s.Zone, s.Region = zone, r.deployment.regionOf(zone)
	timing := engine.DefaultTiming
	s.Policy = entry.PolicySetting{
		Routing:          r.policy,
		PerRequestUS:     scaled(waitPerRequest, r.opts.Scale).Microseconds(),
		PrefillNSPerByte: scaled(timing.PrefillPerToken, r.opts.Scale).Nanoseconds() / bytesPerToken,
		ModelLoadMS:      scaled(r.deployment.ModelLoad, r.opts.Scale).Milliseconds(),
		AdapterLoadUS:    scaled(r.deployment.AdapterLoad, r.opts.Scale).Microseconds(),
		MovePriceUS:      scaled(routing.DefaultCosts.Move, r.opts.Scale).Microseconds(),
		PlanIntervalMS:   scaled(planInterval, r.opts.Scale).Milliseconds(),
		DemandScale:      r.opts.Scale,
	}
}

const (
	waitPerRequest = 20 * time.Millisecond // expected wait per request in progress
	planInterval   = 2 * time.Second
	bytesPerToken  = 4
)

func (r *run) editStandIn(s *server.Settings) {
	d := r.deployment
	s.Weights = server.WeightsSetting{
		LoadsPerSecond:  d.LoadsPerSecond,
		ConcurrentLoads: d.ConcurrentLoads,
		ModelMS:         int(d.ModelLoad.Milliseconds()),
		AdapterLoads:    d.AdapterLoads,
		FreeModels:      countModels(r.initialPlacement(wire.KindModel)),
		AdapterMS:       int(d.AdapterLoad.Milliseconds()),
		TimeScale:       r.opts.Scale,
	}
}

// countModels returns the number of model replicas placed on all workers.
func countModels(byWorker map[string][]wire.Artifact) int {
	n := 0
	for _, list := range byWorker {
		n += len(list)
	}
	return n
}

func (r *run) callerAddresses() []string {
	var out []string
	for _, e := range r.cluster.Entries() {
		out = append(out, e.Settings.CallerAddress)
	}
	return out
}

// counters holds the counters of a run, summed over all engines and entries.
type counters struct {
	models    int // loads
	adapters  int // loads
	breaches  int // loads beyond the memory
	inUse     int // requests completed on artifacts unloaded meanwhile
	linkBytes int64
}

// entryVars decodes the counters of an entry from /debug/vars.
type entryVars struct {
	LinkBytes int64 `json:"link_bytes"`
}

func (r *run) readCounters() (counters, error) {
	var c counters
	for _, s := range r.cluster.Sides() {
		b, err := s.Breaches()
		if err != nil {
			return c, err
		}
		c.models += b.Loads - b.AdapterLoads
		c.adapters += b.AdapterLoads
		c.breaches += b.Overcommits
		c.inUse += b.InUseUnloads
	}
	for _, e := range r.cluster.Entries() {
		var v entryVars
		if err := cluster.GetJSON(e.AdminURL()+"/debug/vars", &v); err != nil {
			return c, err
		}
		c.linkBytes += v.LinkBytes
	}
	return c, nil
}
