package action

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"peridotchute.example/common/fault"
	"peridotchute.example/idempotency"
)

// Unresolved is an action whose outcome cannot be determined.
type Unresolved struct {
	Team      string    `json:"team"`
	Key       string    `json:"key"`
	Entry     string    `json:"entry"`  // entry that sent it
	Server    string    `json:"server"` // backend server that may have run it
	Attempt   int       `json:"attempt"`
	Reason    string    `json:"reason"`
	ClaimedAt time.Time `json:"claimed_at"`
}

// Verdict is an operator's decision about an unresolved action.
type Verdict struct {
	Team     string `json:"team"`
	Key      string `json:"key"`
	Ran      bool   `json:"ran"` // false allows a repeat with the same key to run
	Operator string `json:"operator"`
	Note     string `json:"note,omitempty"`
}

// Unresolved returns a page of unresolved actions after the given cursor, and the
// cursor of the next page, "" after the last page. It reads up to limit rows of
// the list and deletes those of actions that are no longer unresolved.
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

// isUnresolved reports whether the action of a list row is unresolved. An action
// whose row cannot be read counts as unresolved. So does one that is still
// claimed: its entry may have died between writing the list and the row.
func (r *Runner) isUnresolved(ctx context.Context, listed idempotency.Record) (idempotency.Record, bool) {
	row, ok := r.rows.read(ctx, listed.Team, listed.Key).(idempotency.Row)
	if !ok {
		return listed, true
	}
	state := row.Record.State
	return listed, state == idempotency.StateUnresolved || state == idempotency.StateClaimed
}

// Resolve records an operator's verdict. The caller writes the audit record. The
// error has KindConflict if the action is not unresolved, and KindNotFound if it
// does not exist.
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
	return r.removeFromList(ctx, v)
}

func (r *Runner) removeFromList(ctx context.Context, v Verdict) error {
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
