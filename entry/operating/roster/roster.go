// Package roster lists the processes of the deployment for operators, with the
// configuration version that is active in each.
package roster

import (
	"context"
	"slices"
	"sort"
	"sync"
	"time"

	"peridotchute.example/config/configsync"
	"peridotchute.example/entry/serving/pool"
	"peridotchute.example/operator/api"
	"peridotchute.example/rpc"
	"peridotchute.example/store"
)

const (
	roleEntry            = "entry" // role of entries in the VM list
	maxConcurrentQueries = 16      // concurrent queries of entries for their version
	queryTimeout         = time.Second
	stateLive            = "live"
	stateUnseen          = "unseen" // in the VM list, but not reachable
)

// Options configures a Roster.
type Options struct {
	Local    rpc.Local
	Handlers *rpc.Handlers
	Pool     *pool.Pool
	Syncer   *configsync.Syncer
	VMs      store.VMs
}

// Roster lists the members of the deployment.
type Roster struct {
	opts Options

	mu              sync.Mutex
	queriedVersions map[string]uint64 // by entry name; highest version from a short connection
}

// New returns a roster.
func New(opts Options) *Roster { return &Roster{opts: opts, queriedVersions: map[string]uint64{}} }

// Members returns all processes, sorted by role and name.
func (r *Roster) Members(ctx context.Context) []api.Member {
	versions := r.versions()
	out := append(r.entries(ctx, versions), r.servers(versions)...)
	sort.Slice(out, func(i, j int) bool {
		if out[i].Role != out[j].Role {
			return out[i].Role < out[j].Role
		}
		return out[i].Name < out[j].Name
	})
	return out
}

// versions returns the active version of each connected process, by name.
func (r *Roster) versions() map[string]uint64 {
	out := map[string]uint64{}
	for _, p := range r.opts.Syncer.Peers() {
		out[p.Name] = max(out[p.Name], p.Version)
	}
	out[r.opts.Local.Identity.Name] = r.opts.Local.ConfigVersion()
	return out
}

func (r *Roster) servers(versions map[string]uint64) []api.Member {
	var out []api.Member
	for _, s := range r.opts.Pool.Servers() {
		state, reported := s.Status()
		vm := s.VM()
		out = append(out, api.Member{
			Name: vm.Name, Role: string(rpc.RoleSide), Zone: vm.Zone, Pool: vm.Pool,
			State: string(state), Version: max(versions[vm.Name], reported),
		})
	}
	return out
}

// entries returns this entry and those of the VM list. It queries each entry whose
// last known version is lower than that of this entry.
func (r *Roster) entries(ctx context.Context, versions map[string]uint64) []api.Member {
	self := r.opts.Local.Identity
	own := versions[self.Name]
	others := r.otherEntries(ctx)
	out := make([]api.Member, len(others)+1)
	out[0] = api.Member{Name: self.Name, Role: string(rpc.RoleEntry), Zone: self.Zone, State: stateLive, Version: own}
	var wg sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentQueries)
	for i, vm := range others {
		m := &out[i+1]
		*m = api.Member{Name: vm.Name, Role: string(rpc.RoleEntry), Zone: vm.Zone, State: stateLive, Version: max(versions[vm.Name], r.queriedVersion(vm.Name))}
		if m.Version >= own {
			continue
		}
		wg.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			r.queryVersion(ctx, vm.RPCAddress, m)
		})
	}
	wg.Wait()
	return out
}

// otherEntries returns the other entries of the VM list that are not leaving, or
// nil if the list cannot be read.
func (r *Roster) otherEntries(ctx context.Context) []store.VM {
	vms, err := r.opts.VMs.List(ctx)
	if err != nil {
		return nil
	}
	return slices.DeleteFunc(vms, func(vm store.VM) bool {
		return vm.Role != roleEntry || vm.Name == r.opts.Local.Identity.Name || vm.State == store.VMLeaving
	})
}

func (r *Roster) queriedVersion(name string) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.queriedVersions[name]
}

// queryVersion opens a short connection to an entry and sets the member's version
// from its hello message, or its state if the entry is not reachable.
func (r *Roster) queryVersion(ctx context.Context, address string, m *api.Member) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	peer, err := rpc.Dial(ctx, address, r.opts.Local, r.opts.Handlers)
	if err != nil {
		m.State = stateUnseen
		return
	}
	_ = peer.Close()
	m.Version = max(m.Version, peer.ConfigVersion)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.queriedVersions[m.Name] = max(r.queriedVersions[m.Name], peer.ConfigVersion)
}
