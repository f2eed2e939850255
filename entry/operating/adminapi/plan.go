package adminapi

import (
	"context"
	"encoding/json"
	"fmt"

	"peridotchute.example/common/event"
	"peridotchute.example/common/fault"
	"peridotchute.example/common/settings"
	"peridotchute.example/config"
	"peridotchute.example/operator/api"
)

// planPrefix begins the object keys of plans.
const planPrefix = "plan/"

// declarationName stands for the file in messages about a declaration.
const declarationName = "declaration"

func (a *API) validate(c *call) (any, error) {
	if _, err := a.declared(c); err != nil {
		return nil, err
	}
	return api.ValidateReply{Valid: true}, nil
}

// declared reads and checks the declaration in the body.
func (a *API) declared(c *call) (*config.Configuration, error) {
	raw, err := readBody(c.r)
	if err != nil {
		return nil, err
	}
	return config.Parse(declarationName, raw, a.fleet(c.ctx()))
}

// fleet counts the backend servers of each pool; nil when the VM list cannot
// be read.
func (a *API) fleet(ctx context.Context) config.Fleet {
	vms, err := a.opts.VMs.List(ctx)
	if err != nil {
		return nil
	}
	return fleetOf(vms)
}

func (a *API) plan(c *call) (any, error) {
	next, err := a.declared(c)
	if err != nil {
		return nil, err
	}
	head, err := a.head(c.ctx())
	if err != nil {
		return nil, err
	}
	if base := next.Version; base != 0 && base != head.Version {
		return nil, a.staleBase(c.ctx(), base, head)
	}
	return a.keep(c, head, next, 0)
}

func (a *API) revert(c *call) (any, error) {
	req, err := decodeBody[api.RevertRequest](c.r)
	if err != nil {
		return nil, err
	}
	head, err := a.head(c.ctx())
	if err != nil {
		return nil, err
	}
	old, err := a.opts.Store.Version(c.ctx(), req.Version)
	if err != nil {
		return nil, err
	}
	if problems := config.Check(old, a.fleet(c.ctx())); len(problems) > 0 {
		return nil, &settings.Error{Problems: inFile(problems, fmt.Sprintf("version %d", req.Version))}
	}
	return a.keep(c, head, old, req.Version)
}

func inFile(problems []settings.Problem, file string) []settings.Problem {
	for i := range problems {
		problems[i].File = file
	}
	return problems
}

// head returns the configuration accepted last; an empty one of version 0 when
// there is none.
func (a *API) head(ctx context.Context) (*config.Configuration, error) {
	head, err := a.opts.Store.Read(ctx)
	if fault.Is(err, fault.KindNotFound) {
		return &config.Configuration{}, nil
	}
	return head, err
}

// staleBase says what changed between a base version and the head.
func (a *API) staleBase(ctx context.Context, base uint64, head *config.Configuration) error {
	message := fmt.Sprintf("made from version %d, but version %d was accepted since", base, head.Version)
	old, err := a.opts.Store.Version(ctx, base)
	if err != nil {
		return &stale{message: message}
	}
	return &stale{message: message, difference: config.Diff(old, head)}
}

// keep stores the plan under its digest, so that any entry can accept it.
func (a *API) keep(c *call, head, declared *config.Configuration, revertOf uint64) (*api.Plan, error) {
	next := *declared
	next.Version = head.Version + 1
	next.ChangeID = ""
	plan := &api.Plan{
		Digest:        config.Digest(&next),
		BaseVersion:   head.Version,
		RevertOf:      revertOf,
		PlannedBy:     c.operator,
		PlannedAt:     a.opts.Now().UTC(),
		Configuration: next,
		Difference:    config.Diff(head, &next),
		Effects:       config.EffectsOf(head, &next, a.fleet(c.ctx())),
	}
	raw, err := json.Marshal(plan)
	if err != nil {
		return nil, fault.New(fault.KindInternal, "plan.encode", "", err)
	}
	if err := a.opts.Objects.Put(c.ctx(), planPrefix+plan.Digest, raw); err != nil {
		return nil, fault.New(fault.KindUnavailable, "plan.keep", "", err)
	}
	event.Log(a.opts.Log, event.ChangePlanned, event.Peer(c.operator), event.Subject(plan.Digest))
	return plan, nil
}
