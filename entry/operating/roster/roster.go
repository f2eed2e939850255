// Package roster tells operators which processes the deployment has and which
// configuration version each has put in force.
package roster

import (
	"context"
	"slices"
	"sort"
	"sync"
	"time"

	"peridotchute.example/config/spread"
	"peridotchute.example/entry/serving/pool"
	"peridotchute.example/operator/api"
	"peridotchute.example/rpc"
	"peridotchute.example/store"
)

const (
	roleEntry   = "entry" // of a VM in the platform's list
	askAtOnce   = 16      // entries asked for their version at the same time
	askTimeout  = time.Second
	stateLive   = "live"
	stateUnseen = "unseen" // listed, but it did not answer
)

// Options are where a roster looks.
type Options struct {
	Local    rpc.Local
	Handlers *rpc.Handlers
	Pool     *pool.Pool
	Spreader *spread.Spreader
	VMs      store.VMs
}

// Roster lists the members of the deployment.
type Roster struct {
	opts Options

	mu    sync.Mutex
	asked map[string]uint64 // highest version that an entry without a kept connection told
}

// New returns a roster.
func New(opts Options) *Roster { return &Roster{opts: opts, asked: map[string]uint64{}} }

// Members returns every process in order of role and name.
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

// versions returns the version of each connected process by name.
func (r *Roster) versions() map[string]uint64 {
	out := map[string]uint64{}
	for _, p := range r.opts.Spreader.Peers() {
		out[p.Name] = max(out[p.Name], p.Version)
	}
	out[r.opts.Local.Identity.Name] = r.opts.Local.ConfigVersion()
	return out
}

func (r *Roster) servers(versions map[string]uint64) []api.Member {
	var out []api.Member
	for _, s := range r.opts.Pool.Servers() {
		state, told := s.Status()
		vm := s.VM()
		out = append(out, api.Member{
			Name: vm.Name, Role: string(rpc.RoleSide), Zone: vm.Zone, Pool: vm.Pool,
			State: string(state), Version: max(versions[vm.Name], told),
		})
	}
	return out
}

// entries returns this entry and those of the VM list. Entries without a kept
// connection are asked, unless they have told a version as high as this one's.
func (r *Roster) entries(ctx context.Context, versions map[string]uint64) []api.Member {
	self := r.opts.Local.Identity
	own := versions[self.Name]
	others := r.otherEntries(ctx)
	out := make([]api.Member, len(others)+1)
	out[0] = api.Member{Name: self.Name, Role: string(rpc.RoleEntry), Zone: self.Zone, State: stateLive, Version: own}
	var wg sync.WaitGroup
	slots := make(chan struct{}, askAtOnce)
	for i, vm := range others {
		m := &out[i+1]
		*m = api.Member{Name: vm.Name, Role: string(rpc.RoleEntry), Zone: vm.Zone, State: stateLive, Version: max(versions[vm.Name], r.told(vm.Name))}
		if m.Version >= own {
			continue
		}
		wg.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			r.ask(ctx, vm.RPCAddress, m)
		})
	}
	wg.Wait()
	return out
}

// otherEntries returns the entries of the VM list that stay; none when the
// list cannot be read.
func (r *Roster) otherEntries(ctx context.Context) []store.VM {
	vms, err := r.opts.VMs.List(ctx)
	if err != nil {
		return nil
	}
	return slices.DeleteFunc(vms, func(vm store.VM) bool {
		return vm.Role != roleEntry || vm.Name == r.opts.Local.Identity.Name || vm.State == store.VMLeaving
	})
}

func (r *Roster) told(name string) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.asked[name]
}

// ask sets a member's version from the hello of a short connection.
func (r *Roster) ask(ctx context.Context, address string, m *api.Member) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	peer, err := rpc.Dial(ctx, address, r.opts.Local, r.opts.Handlers)
	if err != nil {
		m.State = stateUnseen
		return
	}
	_ = peer.Close()
	m.Version = max(m.Version, peer.Version)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.asked[m.Name] = max(r.asked[m.Name], peer.Version)
}
