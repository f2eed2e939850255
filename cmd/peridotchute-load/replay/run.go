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

const entries = 2

// Options configure a measurement.
type Options struct {
	Deployment string           // name, or empty for all
	Policies   []routing.Policy // side by side
	Seeds      []uint64
	Length     time.Duration // of one run, before scaling
	Scale      float64       // of all times; smaller is faster
	Load       float64       // multiple of the deployment's requests a second
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
	sequence   uint64 // of the orders given
}

// perform starts the processes, replays the workload and returns the result.
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
	before, err := r.counts()
	if err != nil {
		return res, err
	}
	c := newClient(r.callerAddresses(), r.deployment.Patience, r.opts.Scale)
	failing := r.cluster.Side(1)
	moment := time.Duration(failAt * float64(r.workload.Length))
	samples := c.replay(ctx, r.workload, map[time.Duration]func(){
		moment: func() { _ = failing.Kill() },
	})
	after, err := r.counts()
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
		Entries:     entries,
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

// editEntry sets the policy, and puts the second entry into the second region.
func (r *run) editEntry(i int, s *entry.Settings) {
	zone := r.deployment.Zones[0]
	if i > 1 {
		zone = r.deployment.Zones[len(r.deployment.Zones)-1]
	}
	s.Zone, s.Region = zone, r.deployment.regionOf(zone)
	timing := engine.DefaultTiming
	s.Policy = entry.PolicySetting{
		Routing:          r.policy,
		PerRequestUS:     scaled(perRequest, r.opts.Scale).Microseconds(),
		PrefillNSPerByte: scaled(timing.PrefillPerToken, r.opts.Scale).Nanoseconds() / bytesPerToken,
		ModelLoadMS:      scaled(r.deployment.ModelLoad, r.opts.Scale).Milliseconds(),
		AdapterLoadUS:    scaled(r.deployment.AdapterLoad, r.opts.Scale).Microseconds(),
		MovePriceUS:      scaled(routing.DefaultCosts.Move, r.opts.Scale).Microseconds(),
		PlanIntervalMS:   scaled(planInterval, r.opts.Scale).Milliseconds(),
		DemandScale:      r.opts.Scale,
	}
}

const (
	perRequest    = 20 * time.Millisecond // wait that each request in progress adds
	planInterval  = 2 * time.Second
	bytesPerToken = 4
)

func (r *run) editStandIn(s *server.Settings) {
	d := r.deployment
	s.Weights = server.WeightsSetting{
		LoadsPerSecond:  d.LoadsPerSecond,
		ConcurrentLoads: d.ConcurrentLoads,
		ModelMS:         int(d.ModelLoad.Milliseconds()),
		AdapterLoads:    d.AdapterLoads,
		FreeModels:      placedModels(r.firstPlacement(wire.KindModel)),
		AdapterMS:       int(d.AdapterLoad.Milliseconds()),
		TimeScale:       r.opts.Scale,
	}
}

func placedModels(byWorker map[string][]wire.Artifact) int {
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

// moves are the counts of the engines and entries.
type moves struct {
	models    int
	adapters  int
	breaches  int
	inUse     int
	linkBytes int64
}

// entryVars are the counters of an entry that a run reads.
type entryVars struct {
	LinkBytes int64 `json:"link_bytes"`
}

func (r *run) counts() (moves, error) {
	var m moves
	for _, s := range r.cluster.Sides() {
		b, err := s.Breaches()
		if err != nil {
			return m, err
		}
		m.models += b.Loads - b.AdapterLoads
		m.adapters += b.AdapterLoads
		m.breaches += b.Overcommits
		m.inUse += b.InUseUnloads
	}
	for _, e := range r.cluster.Entries() {
		var v entryVars
		if err := cluster.GetJSON(e.AdminURL()+"/debug/vars", &v); err != nil {
			return m, err
		}
		m.linkBytes += v.LinkBytes
	}
	return m, nil
}
