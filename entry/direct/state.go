package direct

import (
	"peridotchute.example/common/admin"
	"peridotchute.example/entry/direct/balance"
	"peridotchute.example/entry/direct/view"
	"peridotchute.example/fleet"
)

// Sections of the state dump.
type (
	configState struct {
		Version int64 `json:"version"`
		AgeMS   int64 `json:"age_ms"` // since the store last confirmed it

		DoubtedMS int64 `json:"wait_doubted_ms"` // for how long the call that waits for the next one may have been lost
	}

	serversState struct {
		AgeMS   int64         `json:"age_ms"`
		Servers []serverState `json:"servers"`
	}

	serverState struct {
		ID        string           `json:"id"`
		Service   string           `json:"service"`
		Address   string           `json:"address"`
		Zone      string           `json:"zone"`
		Draining  bool             `json:"draining"`
		Leaving   bool             `json:"leaving,omitempty"` // by its own word, which its registration does not repeat
		Residents []fleet.Resident `json:"residents"`
		Fetching  []string         `json:"fetching,omitempty"`
	}

	leaseState struct {
		Holder       string `json:"holder"`
		Mine         bool   `json:"mine"`
		FencingToken int64  `json:"term"`
	}
)

// addSections adds the entry's state to the state dump.
func addSections(server *admin.Server, w *view.Watcher, b *balance.Balancer, c *coordination) {
	server.AddSection("config", admin.DumpFunc(func() any {
		return configState{
			Version:   configVersion(w.Current()),
			AgeMS:     w.ConfigAge().Milliseconds(),
			DoubtedMS: w.ConfigDoubt().Milliseconds(),
		}
	}))
	server.AddSection("servers", admin.DumpFunc(func() any { return dumpServers(w.Current()) }))
	server.AddSection("lease", admin.DumpFunc(func() any {
		holder, mine := c.manager.LeaseHolder()
		return leaseState{Holder: holder, Mine: mine, FencingToken: c.manager.FencingToken()}
	}))
	server.AddSection("requests", b)
	server.AddSection("retry_budget_left", admin.DumpFunc(func() any { return b.BudgetsLeft() }))
	server.AddSection("stream_origins", admin.DumpFunc(func() any { return c.origins.State() }))
	server.AddSection("quarantine", admin.DumpFunc(func() any { return c.guard.State() }))
	server.AddSection("quotas", admin.DumpFunc(func() any { return c.quotas.State() }))
	server.AddSection("mesh", c.mesh)
}

func dumpServers(v *fleet.View) serversState {
	out := serversState{AgeMS: serversAge(v).Milliseconds(), Servers: make([]serverState, len(v.Servers))}
	for i := range v.Servers {
		s := &v.Servers[i]
		out.Servers[i] = serverState{
			ID:        s.ID,
			Service:   s.Service,
			Address:   s.Address,
			Zone:      s.Zone,
			Draining:  s.Draining,
			Leaving:   s.Leaving,
			Residents: s.Residents,
			Fetching:  s.Fetching,
		}
	}
	return out
}
