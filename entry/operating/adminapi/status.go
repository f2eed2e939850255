package adminapi

import (
	"peridotchute.example/common/fault"
	"peridotchute.example/config"
	"peridotchute.example/operator/api"
	"peridotchute.example/store"
)

const roleBackend = "backend" // of a VM in the platform's list

func (a *API) configuration(*call) (any, error) {
	x := a.opts.Holder.Current()
	if x == nil {
		return nil, fault.Newf(fault.KindNotFound, "configuration.get", "", "no configuration is in force")
	}
	return x.Configuration, nil
}

func (a *API) status(c *call) (any, error) {
	s := api.Status{Entry: a.opts.Entry, Version: a.opts.Holder.Version(), Members: a.opts.Members(c.ctx())}
	if x := a.opts.Holder.Current(); x != nil {
		s.Digest = config.Digest(x.Configuration)
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
	limit, err := number(c.r, "limit", 20, 500)
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

// fleetOf counts the backend servers of each pool that are not leaving.
func fleetOf(vms []store.VM) config.Fleet {
	fleet := config.Fleet{}
	at := map[string]int{}
	for _, vm := range vms {
		if vm.Role != roleBackend || vm.State == store.VMLeaving {
			continue
		}
		i, ok := at[vm.Pool]
		if !ok {
			i = len(fleet)
			at[vm.Pool] = i
			fleet = append(fleet, config.PoolSize{Pool: vm.Pool})
		}
		fleet[i].Servers++
	}
	return fleet
}
