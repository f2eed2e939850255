package adminapi

import (
	"strings"

	"peridotchute.example/common/event"
	"peridotchute.example/common/wire"
	"peridotchute.example/operator/api"
)

func (a *API) unresolved(c *call) (any, error) {
	limit, err := number(c.r, "limit", 100, 1000)
	if err != nil {
		return nil, err
	}
	actions, err := a.opts.Actions.Unresolved(c.ctx(), c.r.URL.Query().Get("after"), limit)
	if err != nil {
		return nil, err
	}
	out := api.UnresolvedList{Actions: actions}
	if out.Actions == nil {
		out.Actions = []api.Unresolved{}
	}
	if len(actions) == limit {
		out.Next = actions[limit-1].Key
	}
	return out, nil
}

func (a *API) settle(c *call) (any, error) {
	req, err := decodeBody[api.SettleRequest](c.r)
	if err != nil {
		return nil, err
	}
	if req.Key == "" || strings.TrimSpace(req.Note) == "" {
		return nil, badRequest("key and note are required")
	}
	outcome := wire.OutcomeNotRun
	if req.Ran {
		outcome = wire.OutcomeCompleted
	}
	record, err := a.begin(c, "settle "+string(outcome), req.Key, req.Note, 0)
	if err != nil {
		return nil, err
	}
	err = a.opts.Actions.Settle(c.ctx(), req.Key, req.Ran, req.Note)
	a.end(c.ctx(), record, err)
	if err != nil {
		return nil, err
	}
	event.Log(a.opts.Log, event.OperatorSettled, event.Peer(c.operator), event.Subject(req.Key), event.Reason(string(outcome)))
	return api.SettleReply{Key: req.Key, Outcome: outcome}, nil
}

func (a *API) drain(c *call) (any, error) {
	req, err := decodeBody[api.DrainRequest](c.r)
	if err != nil {
		return nil, err
	}
	if req.Server == "" {
		return nil, badRequest("server is required")
	}
	record, err := a.begin(c, "drain", req.Server, "", 0)
	if err != nil {
		return nil, err
	}
	inFlight, err := a.opts.Drain(c.ctx(), req.Server)
	a.end(c.ctx(), record, err)
	if err != nil {
		return nil, err
	}
	event.Log(a.opts.Log, event.DrainOrdered, event.Peer(c.operator), event.Subject(req.Server))
	return api.DrainReply{Server: req.Server, InFlight: inFlight}, nil
}
