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

// planPrefix is the prefix of the object keys of plans.
const planPrefix = "plan/"

// declarationName is used as the file name in errors about a declaration.
const declarationName = "declaration"

func (a *API) validate(c *call) (any, error) {
	if _, err := a.parseDeclaration(c); err != nil {
		return nil, err
	}
	return api.ValidateReply{Valid: true}, nil
}

// parseDeclaration parses and validates the declaration in the body.
func (a *API) parseDeclaration(c *call) (*config.Configuration, error) {
	raw, err := readBody(c.r)
	if err != nil {
		return nil, err
	}
	return config.Parse(declarationName, raw, a.poolSizes(c.ctx()))
}

// poolSizes returns the number of backend servers of each pool, or nil if the VM
// list cannot be read.
func (a *API) poolSizes(ctx context.Context) config.Fleet {
	vms, err := a.opts.VMs.List(ctx)
	if err != nil {
		return nil
	}
	return countServers(vms)
}

func (a *API) plan(c *call) (any, error) {
	next, err := a.parseDeclaration(c)
	if err != nil {
		return nil, err
	}
	head, err := a.head(c.ctx())
	if err != nil {
		return nil, err
	}
	if base := next.Version; base != 0 && base != head.Version {
		return nil, a.newStaleBaseError(c.ctx(), base, head)
	}
	return a.storePlan(c, head, next, 0)
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
	if problems := config.Check(old, a.poolSizes(c.ctx())); len(problems) > 0 {
		return nil, &settings.Error{Problems: setFile(problems, fmt.Sprintf("version %d", req.Version))}
	}
	return a.storePlan(c, head, old, req.Version)
}

func setFile(problems []settings.Problem, file string) []settings.Problem {
	for i := range problems {
		problems[i].File = file
	}
	return problems
}

// head returns the last accepted configuration, or an empty one with version 0 if
// there is none.
func (a *API) head(ctx context.Context) (*config.Configuration, error) {
	head, err := a.opts.Store.Read(ctx)
	if fault.Is(err, fault.KindNotFound) {
		return &config.Configuration{}, nil
	}
	return head, err
}

// newStaleBaseError returns an error with the difference between a base version
// and the head. It has no difference if the base version cannot be read.
func (a *API) newStaleBaseError(ctx context.Context, base uint64, head *config.Configuration) error {
	message := fmt.Sprintf("made from version %d, but version %d was accepted since", base, head.Version)
	old, err := a.opts.Store.Version(ctx, base)
	if err != nil {
		return &staleBaseError{message: message}
	}
	return &staleBaseError{message: message, difference: config.Diff(old, head)}
}

// storePlan creates a plan and stores it under its digest, so that an accept can
// be sent to any entry.
func (a *API) storePlan(c *call, head, declared *config.Configuration, revertOf uint64) (*api.Plan, error) {
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
		Effects:       config.EffectsOf(head, &next, a.poolSizes(c.ctx())),
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
