// Package action runs non-idempotent actions at most once. It executes the
// effects of the state machine in package idempotency, settles actions that
// entries left open, and lists actions with an unknown outcome for operators.
package action

import (
	"context"
	"encoding/json"

	"peridotchute.example/common/fault"
	"peridotchute.example/entry/serving/answer"
	"peridotchute.example/entry/serving/scan"
	"peridotchute.example/idempotency"
	"peridotchute.example/store"
)

// shardCount is the number of shards of the rows of actions. The reconcilers
// divide the shards among themselves.
const shardCount = 256

const (
	actionPrefix     = "action/"
	unresolvedPrefix = "unresolved/"
)

func actionKey(team, key string) string {
	scoped := idempotency.ScopedKey(team, key)
	return actionPrefix + scan.ShardOf(scoped, shardCount) + "/" + scoped
}

func unresolvedKey(team, key string) string {
	return unresolvedPrefix + idempotency.ScopedKey(team, key)
}

// rows reads and writes the rows of actions.
type rows struct {
	table   store.Table
	answers *answer.Store
}

// encode returns the value of a row. An answer that is too long for the row is
// written to the object store. If that fails, the row has no answer and only the
// side process has it.
func (r rows) encode(ctx context.Context, rec idempotency.Record) ([]byte, error) {
	stored, err := r.answers.Keep(ctx, actionKey(rec.Team, rec.Key)+"#"+rec.Token, rec.Answer)
	if err != nil {
		stored = answer.Stored{}
	}
	rec.Answer, rec.Object = stored.Answer, stored.Object
	return json.Marshal(rec)
}

func decode(row store.Row) (idempotency.Record, error) {
	var rec idempotency.Record
	if err := json.Unmarshal(row.Value, &rec); err != nil {
		return rec, fault.New(fault.KindInternal, "action.decode", row.Key, err)
	}
	return rec, nil
}

func (r rows) read(ctx context.Context, team, key string) idempotency.Event {
	row, err := r.table.Get(ctx, actionKey(team, key))
	if fault.Is(err, fault.KindNotFound) {
		return idempotency.NoRow{}
	}
	if err != nil {
		return idempotency.StoreFailed{}
	}
	rec, err := decode(row)
	if err != nil {
		return idempotency.StoreFailed{}
	}
	rec.Answer, err = r.answers.Load(ctx, answer.Stored{Answer: rec.Answer, Object: rec.Object})
	if err != nil {
		return idempotency.StoreFailed{}
	}
	return idempotency.Row{Record: rec, Version: row.Version}
}

func (r rows) putIfAbsent(ctx context.Context, rec idempotency.Record) idempotency.Event {
	value, err := r.encode(ctx, rec)
	if err != nil {
		return idempotency.StoreFailed{}
	}
	row, err := r.table.PutIfAbsent(ctx, actionKey(rec.Team, rec.Key), value)
	return writeEvent(row, err)
}

func (r rows) compareAndSet(ctx context.Context, version string, rec idempotency.Record) idempotency.Event {
	value, err := r.encode(ctx, rec)
	if err != nil {
		return idempotency.StoreFailed{}
	}
	row, err := r.table.CompareAndSet(ctx, actionKey(rec.Team, rec.Key), version, value)
	return writeEvent(row, err)
}

func (r rows) listUnresolved(ctx context.Context, rec idempotency.Record) idempotency.Event {
	rec.Answer = nil
	value, err := json.Marshal(rec)
	if err != nil {
		return idempotency.StoreFailed{}
	}
	row, err := r.table.PutIfAbsent(ctx, unresolvedKey(rec.Team, rec.Key), value)
	return writeEvent(row, err)
}

func writeEvent(row store.Row, err error) idempotency.Event {
	switch {
	case err == nil:
		return idempotency.Written{Version: row.Version}
	case fault.Is(err, fault.KindConflict):
		return idempotency.Conflict{}
	case fault.Is(err, fault.KindUnknown) || fault.Is(err, fault.KindCanceled):
		return idempotency.StoreFailed{Unknown: true}
	}
	return idempotency.StoreFailed{}
}
