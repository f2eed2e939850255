package entry

import (
	"time"

	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"peridotchute.example/common/admin"
	"peridotchute.example/common/daemon"
	"peridotchute.example/config"
	"peridotchute.example/config/spread"
	"peridotchute.example/entry/planner"
	"peridotchute.example/entry/serving/pool"
	"peridotchute.example/membership"
	"peridotchute.example/routing"
	"peridotchute.example/rpc"
	"peridotchute.example/store"
)

// planModule wires the placement planner.
func planModule() fx.Option {
	return fx.Options(fx.Provide(newPlanner), fx.Invoke(startPlanner))
}

// plannerParams are the dependencies of the planner.
type plannerParams struct {
	fx.In
	Settings Settings
	Local    rpc.Local
	Table    store.Table
	Holder   *config.Holder
	Pool     *pool.Pool
	Spreader *spread.Spreader
	Log      logrus.FieldLogger
}

func newPlanner(p plannerParams) *planner.Planner {
	policy := p.Settings.Policy
	costs := policy.Costs()
	return planner.New(planner.Options{
		Name:        p.Local.Identity.Name,
		Incarnation: p.Local.Identity.Incarnation,
		Table:       p.Table,
		Holder:      p.Holder,
		Servers:     func() []planner.Server { return planServers(p.Pool) },
		Entries:     func() []string { return connectedEntries(p.Local.Identity.Name, p.Spreader) },
		Interval:    time.Duration(policy.PlanIntervalMS) * time.Millisecond,
		ModelLoad:   costs.ModelLoad,
		AdapterLoad: costs.AdapterLoad,
		Scale:       policy.DemandScale,
		Log:         p.Log,
	})
}

// planServers returns the servers of the pool as the planner needs them.
func planServers(p *pool.Pool) []planner.Server {
	var out []planner.Server
	for _, s := range p.Servers() {
		vm := s.VM()
		state, _ := s.Status()
		out = append(out, planner.Server{
			Name:    vm.Name,
			Zone:    vm.Zone,
			Pool:    vm.Pool,
			Serving: state == membership.StateLive,
			Peer:    s.Peer(),
		})
	}
	return out
}

// connectedEntries returns the names of this entry and of the entries connected
// to it.
func connectedEntries(self string, spreader *spread.Spreader) []string {
	out := []string{self}
	for _, p := range spreader.Peers() {
		if p.Role == rpc.RoleEntry {
			out = append(out, p.Name)
		}
	}
	return out
}

// startPlanner runs the planner's goroutines. With a baseline routing policy the
// planner doesn't run, so the initial placement stays.
func startPlanner(lc fx.Lifecycle, s Settings, p *planner.Planner, a *admin.Server) {
	a.AddSection("planner", p)
	if s.Policy.Routing != "" && s.Policy.Routing != routing.Adaptive {
		return
	}
	daemon.Go(lc, p.RunLeases)
	daemon.Go(lc, p.RunPlans)
}
