package main

import (
	"peridotchute.example/platform/platformtest"
)

// Names of the deployment.
const (
	host          = "guides.example"
	plainService  = "booking-desk"
	engineService = "brief-writer"
	safePrefix    = "/slots/"
	unsafePrefix  = "/holds/"
	streamPrefix  = "/briefs/"
	model         = "m1"
)

// configuration is that of a small deployment: a plain service with a safe and an unsafe route,
// and model servers with streams that may be resumed.
func configuration() platformtest.Config {
	route := func(name, prefix, kind, service string, timeoutMS, targetMS, attempts int) platformtest.Route {
		return platformtest.Route{Name: name, Host: host, Prefix: prefix, Type: kind, TimeoutMS: timeoutMS, TargetMS: targetMS, Priority: 1, Service: service, MaxAttempts: attempts}
	}
	briefs := route("briefs", streamPrefix, platformtest.TypeStreaming, engineService, 15000, 1500, 2)
	briefs.Sticky, briefs.Resumable, briefs.GapAimMS = true, true, 400
	return platformtest.Config{
		Version: 1,
		Routes: []platformtest.Route{
			route("slots", safePrefix, platformtest.TypeSafe, plainService, 2000, 150, 2),
			route("holds", unsafePrefix, platformtest.TypeUnsafe, plainService, 2000, 150, 1),
			briefs,
		},
		Services: []platformtest.Service{
			{Name: plainService, HealthPath: "/healthz", MaxConns: 110, Protocol: "h1"},
			{Name: engineService, HealthPath: "/healthz", MaxConns: 370, Protocol: "h1", Engine: &platformtest.EngineSpec{
				Slots: 64, KVTokens: 239984, Stride: 5, WeightsMB: 220000, AdapterSlots: 5, LoadsPerS: 2.1,
				Models: []platformtest.Model{{Name: model, WeightsMB: 72700, LoadS: 1.2, WarmS: 0.4, DiskS: 0.52}},
			}},
		},
		Limits: platformtest.Limits{MaxHeaderBytes: 16384, MaxBodyBytes: 4194304, HeaderTimeoutMS: 3000, IdleTimeoutMS: 15000},
	}
}

// deployment is a store and its servers.
type deployment struct {
	store   *platformtest.Store
	plain   []*platformtest.Plain
	engines []*platformtest.Engine
}

func (r *run) deploy(plain, engines int) *deployment {
	c := configuration()
	d := &deployment{store: platformtest.NewStore(tb{r: r})}
	d.store.SetConfig(c)
	for range plain {
		p := platformtest.NewPlain(tb{r: r}, platformtest.PlainSpec{Service: plainService, Zone: zone, Slots: 6, Queue: 24})
		p.Attach(d.store)
		d.plain = append(d.plain, p)
	}
	for range engines {
		e := platformtest.NewEngine(tb{r: r}, platformtest.EngineWorkerSpec{Service: engineService, Zone: zone, Engine: *c.Services[1].Engine, Loaded: []string{model}})
		e.Attach(d.store)
		d.engines = append(d.engines, e)
	}
	return d
}

// startEntries starts entries of the deployment, each with the others as seeds, and waits until
// they are ready.
func (r *run) startEntries(d *deployment, names ...string) []*entry {
	var all []*entry
	var seeds []string
	for _, name := range names {
		e := r.newEntry(name, d.store.Address, seeds...)
		seeds = append(seeds, e.control)
		all = append(all, e)
	}
	for _, e := range all {
		e.start()
	}
	return all
}
