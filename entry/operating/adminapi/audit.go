package adminapi

import (
	"context"
	"encoding/json"
	"time"

	"github.com/google/uuid"

	"peridotchute.example/common/event"
	"peridotchute.example/common/fault"
	"peridotchute.example/operator/api"
)

const (
	auditPrefix        = "audit/"
	auditAttempts      = 3
	defaultAuditWindow = 24 * time.Hour // listed by default, without the parameter "after"
	resultRequested    = "requested"    // result until the operation has ended
)

// beginAudit writes the audit record of an operation before the operation runs.
// If this fails, the operation must not run.
func (a *API) beginAudit(c *call, action, subject, note string, version uint64) (*api.AuditRecord, error) {
	record := &api.AuditRecord{
		ID:       uuid.Must(uuid.NewV7()).String(),
		At:       a.opts.Now().UTC(),
		Operator: c.operator,
		Entry:    a.opts.Entry,
		Action:   action,
		Subject:  subject,
		Version:  version,
		Note:     note,
		Result:   resultRequested,
	}
	if err := a.writeAudit(c.ctx(), record); err != nil {
		return nil, fault.New(fault.KindUnavailable, "audit.write", "", err)
	}
	return record, nil
}

// endAudit adds the result of an operation to its record.
func (a *API) endAudit(ctx context.Context, record *api.AuditRecord, err error) {
	record.Result = auditResult(err)
	// The operation has ended: write its record even if the operator disconnected.
	_ = a.writeAudit(context.WithoutCancel(ctx), record)
}

// writeAudit stores the record. Its key is unique to the record, so a write that
// is repeated after a lost response is harmless.
func (a *API) writeAudit(ctx context.Context, record *api.AuditRecord) error {
	raw, err := json.Marshal(record)
	if err != nil {
		return err
	}
	for range auditAttempts {
		if _, err = a.opts.Table.Put(ctx, auditPrefix+record.ID, raw); err == nil {
			return nil
		}
	}
	event.Log(a.opts.Log, event.AuditFailed, event.Subject(record.ID), event.Err(err))
	return err
}

// audit returns a page of the records after a given one, by default those of the
// last defaultAuditWindow.
func (a *API) audit(c *call) (any, error) {
	limit, err := intParam(c.r, "limit", 100, 1000)
	if err != nil {
		return nil, err
	}
	after := c.r.URL.Query().Get("after")
	if after == "" {
		after = minID(a.opts.Now().Add(-defaultAuditWindow))
	}
	rows, err := a.opts.Table.List(c.ctx(), auditPrefix, auditPrefix+after, limit)
	if err != nil {
		return nil, err
	}
	out := api.Audit{Records: []api.AuditRecord{}}
	for _, row := range rows {
		var record api.AuditRecord
		if err := json.Unmarshal(row.Value, &record); err != nil {
			return nil, fault.New(fault.KindInternal, "audit.decode", row.Key, err)
		}
		out.Records = append(out.Records, record)
	}
	return out, nil
}

// minID returns the lowest version 7 UUID of a time.
func minID(t time.Time) string {
	var id uuid.UUID
	ms := uint64(t.UnixMilli())
	for i := range 6 {
		id[i] = byte(ms >> (8 * (5 - i)))
	}
	return id.String()
}
