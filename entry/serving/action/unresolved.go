package action

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"peridotchute.example/common/fault"
	"peridotchute.example/idempotency"
)

// Unresolved is an action whose outcome nobody can know.
type Unresolved struct {
	Team      string    `json:"team"`
	Key       string    `json:"key"`
	Entry     string    `json:"entry"`  // that sent it
	Server    string    `json:"server"` // backend server that may have run it
	Attempt   int       `json:"attempt"`
	Reason    string    `json:"reason"`
	ClaimedAt time.Time `json:"claimed_at"`
}

// Verdict is an operator's finding about an unresolved action.
type Verdict struct {
	Team     string `json:"team"`
	Key      string `json:"key"`
	Ran      bool   `json:"ran"` // false allows a repeat under the same key to run
	Operator string `json:"operator"`
	Note     string `json:"note,omitempty"`
}

// Unresolved returns up to limit unresolved actions that sort after the given
// cursor, and the cursor of the next page; "" after the last.
func (r *Runner) Unresolved(ctx context.Context, cursor string, limit int) ([]Unresolved, string, error) {
	after := ""
	if cursor != "" {
		after = unresolvedPrefix + cursor
	}
	page, err := r.rows.table.List(ctx, unresolvedPrefix, after, limit)
	if err != nil {
		return nil, "", storeError("unresolved.list", err)
	}
	out := []Unresolved{}
	for _, row := range page {
		listed, err := decode(row)
		if err != nil {
			return nil, "", err
		}
		if rec, ok := r.isUnresolved(ctx, listed); ok {
			out = append(out, unresolvedOf(rec))
			continue
		}
		if err := r.rows.table.Delete(ctx, row.Key, row.Version); err != nil && !fault.Is(err, fault.KindConflict) {
			return nil, "", storeError("unresolved.clean", err)
		}
	}
	if len(page) < limit {
		return out, "", nil
	}
	return out, strings.TrimPrefix(page[len(page)-1].Key, unresolvedPrefix), nil
}

func unresolvedOf(rec idempotency.Record) Unresolved {
	return Unresolved{
		Team:      rec.Team,
		Key:       rec.Key,
		Entry:     rec.Entry,
		Server:    rec.Server,
		Attempt:   rec.Attempt,
		Reason:    rec.Reason,
		ClaimedAt: rec.ClaimedAt,
	}
}

// isUnresolved reads the action of a listed row. A row that cannot be read
// counts as unresolved, and so does one still claimed, whose entry may have
// died between the two writes.
func (r *Runner) isUnresolved(ctx context.Context, listed idempotency.Record) (idempotency.Record, bool) {
	row, ok := r.rows.read(ctx, listed.Team, listed.Key).(idempotency.Row)
	if !ok {
		return listed, true
	}
	state := row.Record.State
	return listed, state == idempotency.StateUnresolved || state == idempotency.StateClaimed
}

// Resolve records an operator's verdict; its caller keeps the audit record. KindConflict means that the action is
// not unresolved any more, KindNotFound that it is not known.
func (r *Runner) Resolve(ctx context.Context, v Verdict) error {
	row, err := r.rows.table.Get(ctx, actionKey(v.Team, v.Key))
	if err != nil {
		return storeError("unresolved.read", err)
	}
	rec, err := decode(row)
	if err != nil {
		return err
	}
	if rec.State != idempotency.StateUnresolved {
		return fault.Newf(fault.KindConflict, "unresolved.settle", v.Key, "the action is %s", rec.State)
	}
	rec.State = idempotency.StateNotRun
	if v.Ran {
		rec.State = idempotency.StateDone
	}
	rec.SettledBy = v.Operator
	rec.Reason = v.Note
	value, err := json.Marshal(rec)
	if err != nil {
		return fault.New(fault.KindInternal, "unresolved.settle", v.Key, err)
	}
	if _, err := r.rows.table.CompareAndSet(ctx, row.Key, row.Version, value); err != nil {
		return storeError("unresolved.settle", err)
	}
	return r.unlist(ctx, v)
}

func (r *Runner) unlist(ctx context.Context, v Verdict) error {
	row, err := r.rows.table.Get(ctx, unresolvedKey(v.Team, v.Key))
	if fault.Is(err, fault.KindNotFound) {
		return nil
	}
	if err != nil {
		return storeError("unresolved.unlist", err)
	}
	if err := r.rows.table.Delete(ctx, row.Key, row.Version); err != nil {
		return storeError("unresolved.unlist", err)
	}
	return nil
}
