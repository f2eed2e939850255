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
	auditPrefix   = "audit/"
	auditAttempts = 3
	auditWindow   = 24 * time.Hour // listed when no start is given
	requested     = "requested"    // result of a record whose end is not known
)

// begin writes the record of an operation ahead of it. Nothing is changed
// without one.
func (a *API) begin(c *call, action, subject, note string, version uint64) (*api.AuditRecord, error) {
	record := &api.AuditRecord{
		ID:       uuid.Must(uuid.NewV7()).String(),
		At:       a.opts.Now().UTC(),
		Operator: c.operator,
		Entry:    a.opts.Entry,
		Action:   action,
		Subject:  subject,
		Version:  version,
		Note:     note,
		Result:   requested,
	}
	if err := a.write(c.ctx(), record); err != nil {
		return nil, fault.New(fault.KindUnavailable, "audit.write", "", err)
	}
	return record, nil
}

// end writes the result of an operation into its record.
func (a *API) end(ctx context.Context, record *api.AuditRecord, err error) {
	record.Result = resultOf(err)
	// The operation is over; its record is written even when the operator left.
	_ = a.write(context.WithoutCancel(ctx), record)
}

// write puts the record. The key is the record's own, so writing it again after
// a lost answer is harmless.
func (a *API) write(ctx context.Context, record *api.AuditRecord) error {
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

// audit lists records from a time on, a page at a time.
func (a *API) audit(c *call) (any, error) {
	limit, err := number(c.r, "limit", 100, 1000)
	if err != nil {
		return nil, err
	}
	after := c.r.URL.Query().Get("after")
	if after == "" {
		after = idFloor(a.opts.Now().Add(-auditWindow))
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

// idFloor returns the lowest version 7 id of a time.
func idFloor(t time.Time) string {
	var id uuid.UUID
	ms := uint64(t.UnixMilli())
	for i := range 6 {
		id[i] = byte(ms >> (8 * (5 - i)))
	}
	return id.String()
}
