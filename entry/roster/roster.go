// Package roster tells operators which processes the deployment has and which
// configuration version each has put in force.
package roster

import (
	"context"
	"sort"
	"sync"
	"time"

	"peridotchute.example/config/spread"
	"peridotchute.example/entry/pool"
	"peridotchute.example/operator/api"
	"peridotchute.example/platform"
	"peridotchute.example/rpc"
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
	VMs      platform.VMs
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
	out := []api.Member{{Name: self.Name, Role: string(rpc.RoleEntry), Zone: self.Zone, State: stateLive, Version: versions[self.Name]}}
	vms, err := r.opts.VMs.List(ctx)
	if err != nil {
		return out
	}
	var wg sync.WaitGroup
	slots := make(chan struct{}, askAtOnce)
	for _, vm := range vms {
		if vm.Role != roleEntry || vm.Name == self.Name || vm.State == platform.VMLeaving {
			continue
		}
		out = append(out, api.Member{Name: vm.Name, Role: string(rpc.RoleEntry), Zone: vm.Zone, State: stateLive, Version: max(versions[vm.Name], r.told(vm.Name))})
	}
	for i, vm := range addresses(out, vms) {
		if out[i].Version >= versions[self.Name] {
			continue
		}
		wg.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			r.ask(ctx, vm.RPCAddress, &out[i])
		})
	}
	wg.Wait()
	return out
}

// addresses returns the VM of each member by the member's index.
func addresses(members []api.Member, vms []platform.VM) map[int]platform.VM {
	byName := make(map[string]platform.VM, len(vms))
	for _, vm := range vms {
		byName[vm.Name] = vm
	}
	out := map[int]platform.VM{}
	for i := 1; i < len(members); i++ { // the first is this entry
		out[i] = byName[members[i].Name]
	}
	return out
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
