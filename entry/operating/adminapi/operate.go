package adminapi

import (
	"strings"

	"peridotchute.example/common/event"
	"peridotchute.example/common/wire"
	"peridotchute.example/entry/serving/action"
	"peridotchute.example/idempotency"
	"peridotchute.example/operator/api"
)

func (a *API) unresolved(c *call) (any, error) {
	limit, err := intParam(c.r, "limit", 100, 1000)
	if err != nil {
		return nil, err
	}
	actions, next, err := a.opts.Actions.Unresolved(c.ctx(), c.r.URL.Query().Get("after"), limit)
	if err != nil {
		return nil, err
	}
	out := api.UnresolvedList{Actions: []api.Unresolved{}, Next: next}
	for _, u := range actions {
		out.Actions = append(out.Actions, api.Unresolved(u))
	}
	return out, nil
}

func (a *API) settle(c *call) (any, error) {
	req, err := decodeBody[api.SettleRequest](c.r)
	if err != nil {
		return nil, err
	}
	if req.Team == "" || req.Key == "" || strings.TrimSpace(req.Note) == "" {
		return nil, badRequest("team, key and note are required")
	}
	outcome := wire.OutcomeNotRun
	if req.Ran {
		outcome = wire.OutcomeCompleted
	}
	subject := idempotency.ScopedKey(req.Team, req.Key)
	record, err := a.beginAudit(c, "settle "+string(outcome), subject, req.Note, 0)
	if err != nil {
		return nil, err
	}
	err = a.opts.Actions.Resolve(c.ctx(), action.Verdict{Team: req.Team, Key: req.Key, Ran: req.Ran, Operator: c.operator, Note: req.Note})
	a.endAudit(c.ctx(), record, err)
	if err != nil {
		return nil, err
	}
	event.Log(a.opts.Log, event.OperatorSettled, event.Peer(c.operator), event.Subject(subject), event.Reason(string(outcome)))
	return api.SettleReply{Team: req.Team, Key: req.Key, Outcome: outcome}, nil
}

func (a *API) drain(c *call) (any, error) {
	req, err := decodeBody[api.DrainRequest](c.r)
	if err != nil {
		return nil, err
	}
	if req.Server == "" {
		return nil, badRequest("server is required")
	}
	record, err := a.beginAudit(c, "drain", req.Server, "", 0)
	if err != nil {
		return nil, err
	}
	inFlight, err := a.opts.Drain(c.ctx(), req.Server)
	a.endAudit(c.ctx(), record, err)
	if err != nil {
		return nil, err
	}
	event.Log(a.opts.Log, event.DrainOrdered, event.Peer(c.operator), event.Subject(req.Server))
	return api.DrainReply{Server: req.Server, InFlight: inFlight}, nil
}
