package adminapi

import (
	"peridotchute.example/common/fault"
	"peridotchute.example/config"
	"peridotchute.example/operator/api"
	"peridotchute.example/store"
)

const roleBackend = "backend" // role of backend servers in the VM list

func (a *API) configuration(*call) (any, error) {
	index := a.opts.Holder.Current()
	if index == nil {
		return nil, fault.Newf(fault.KindNotFound, "configuration.get", "", "no configuration is active")
	}
	return index.Configuration, nil
}

func (a *API) status(c *call) (any, error) {
	s := api.Status{Entry: a.opts.Entry, Version: a.opts.Holder.Version(), Members: a.opts.Members(c.ctx())}
	if index := a.opts.Holder.Current(); index != nil {
		s.Digest = config.Digest(index.Configuration)
	}
	s.Head = s.Version
	if head, err := a.head(c.ctx()); err != nil {
		s.StoreErr = err.Error()
	} else {
		s.Head = max(head.Version, s.Version)
	}
	return s, nil
}

func (a *API) history(c *call) (any, error) {
	limit, err := intParam(c.r, "limit", 20, 500)
	if err != nil {
		return nil, err
	}
	entries, err := a.opts.Store.History(c.ctx(), limit)
	if err != nil && !fault.Is(err, fault.KindNotFound) {
		return nil, err
	}
	out := api.History{Versions: []api.HistoryEntry{}}
	for _, e := range entries {
		out.Versions = append(out.Versions, api.HistoryEntry{Version: e.Version, Digest: e.Digest, Operator: e.Author, At: e.AcceptedAt})
	}
	return out, nil
}

func (a *API) dump(*call) (any, error) { return a.opts.Dump(), nil }

// countServers returns the number of backend servers of each pool, without those
// that are leaving.
func countServers(vms []store.VM) config.Fleet {
	fleet := config.Fleet{}
	indexOf := map[string]int{}
	for _, vm := range vms {
		if vm.Role != roleBackend || vm.State == store.VMLeaving {
			continue
		}
		i, ok := indexOf[vm.Pool]
		if !ok {
			i = len(fleet)
			indexOf[vm.Pool] = i
			fleet = append(fleet, config.PoolSize{Pool: vm.Pool})
		}
		fleet[i].Servers++
	}
	return fleet
}
