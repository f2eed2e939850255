package adminapi

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"peridotchute.example/common/event"
	"peridotchute.example/common/fault"
	"peridotchute.example/config"
	"peridotchute.example/config/publish"
	"peridotchute.example/operator/api"
)

// accept makes a plan the active configuration. The digest is also the change id,
// so an accept that is repeated after a lost response takes effect once.
func (a *API) accept(c *call) (any, error) {
	req, err := decodeBody[api.AcceptRequest](c.r)
	if err != nil {
		return nil, err
	}
	plan, err := a.loadPlan(c.ctx(), req.Digest)
	if err != nil {
		return nil, err
	}
	record, err := a.beginAudit(c, "accept", req.Digest, "", plan.Configuration.Version)
	if err != nil {
		return nil, err
	}
	accepted, err := a.opts.Store.Accept(c.ctx(), publish.Change{
		Base:     plan.BaseVersion,
		Declared: &plan.Configuration,
		ChangeID: req.Digest,
		Author:   c.operator,
		At:       record.At,
	})
	a.endAudit(c.ctx(), record, err)
	a.logAccept(c, req.Digest, plan.Configuration.Version, err)
	if err != nil {
		return nil, err
	}
	a.opts.Holder.SetIfNewer(accepted)
	return api.AcceptReply{Version: accepted.Version, Digest: req.Digest, AuditID: record.ID}, nil
}

// loadPlan returns the stored plan with the given digest. It verifies the digest,
// so that only the plan that was shown to the operator can be accepted.
func (a *API) loadPlan(ctx context.Context, digest string) (*api.Plan, error) {
	if sum, err := hex.DecodeString(digest); err != nil || len(sum) != 32 {
		return nil, badRequest("digest must be 64 hexadecimal digits, as printed by plan")
	}
	raw, err := a.opts.Objects.Get(ctx, planPrefix+digest)
	if fault.Is(err, fault.KindNotFound) {
		return nil, fault.Newf(fault.KindNotFound, "plan.get", "", "no plan has the digest %s: plan first", digest)
	}
	if err != nil {
		return nil, err
	}
	var plan api.Plan
	if err := json.Unmarshal(raw, &plan); err != nil {
		return nil, fault.New(fault.KindInternal, "plan.decode", "", err)
	}
	if got := config.Digest(&plan.Configuration); got != digest {
		return nil, fault.Newf(fault.KindInternal, "plan.get", "", "the stored plan has the digest %s", got)
	}
	if want := plan.BaseVersion + 1; plan.Configuration.Version != want {
		return nil, fault.Newf(fault.KindInternal, "plan.get", "", "the stored plan is version %d on base %d", plan.Configuration.Version, plan.BaseVersion)
	}
	return &plan, nil
}

func (a *API) logAccept(c *call, digest string, version uint64, err error) {
	fields := []event.Field{event.Peer(c.operator), event.Subject(digest), event.Count(int64(version))}
	switch fault.KindOf(err) {
	case fault.KindConflict:
		event.Log(a.opts.Log, event.ChangeConflict, fields...)
	case fault.KindUnknown, fault.KindCanceled:
		event.Log(a.opts.Log, event.ChangeUnknown, append(fields, event.Err(err))...)
	}
	if err == nil {
		event.Log(a.opts.Log, event.ChangeAccepted, fields...)
	}
}

// auditResult returns the result of an operation for its audit record.
func auditResult(err error) string {
	if err == nil {
		return "done"
	}
	return fmt.Sprintf("%s: %v", fault.KindOf(err), err)
}
