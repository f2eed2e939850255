package job

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"peridotchute.example/common/clock"
	"peridotchute.example/common/event"
	"peridotchute.example/common/fault"
	"peridotchute.example/common/wire"
	"peridotchute.example/idempotency"
	"peridotchute.example/store"
)

// lease is this entry's lease of a job.
type lease struct {
	server *Server

	mu      sync.Mutex
	rec     Record
	version string
	lost    bool // another entry has taken over the row
}

func (l *lease) record() Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rec
}

// write applies a change to the row if this entry still holds the lease. When
// the response of the table is lost, it reads the row to determine the outcome.
func (l *lease) write(ctx context.Context, change func(*Record)) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lost {
		return fault.Newf(fault.KindConflict, "job.write", l.rec.ID, "the lease is lost")
	}
	next := l.rec
	change(&next)
	next.Heartbeat++
	stored, err := l.server.opts.Answers.Save(ctx, rowKey(next.Team, next.ID), next.Answer)
	if err != nil {
		return err
	}
	next.Answer, next.Object = stored.Answer, stored.Object
	value, err := json.Marshal(next)
	if err != nil {
		return fault.New(fault.KindInternal, "job.write", l.rec.ID, err)
	}
	row, err := l.server.opts.Table.CompareAndSet(ctx, rowKey(next.Team, next.ID), l.version, value)
	if err != nil {
		row, err = l.readBack(ctx, next, err)
	}
	switch {
	case err == nil:
		l.rec, l.version = next, row.Version
	case fault.Is(err, fault.KindConflict):
		l.lost = true
	}
	return err
}

// readBack reads the row after a failed write and returns nil if the write took
// effect after all. If only an earlier renewal did, it adopts that row's version
// and returns KindUnavailable for a retry; otherwise it returns cause.
func (l *lease) readBack(ctx context.Context, next Record, cause error) (store.Row, error) {
	if !fault.Is(cause, fault.KindUnknown) && !fault.Is(cause, fault.KindConflict) {
		return store.Row{}, cause
	}
	stored, row, err := l.server.read(ctx, next.Team, next.ID)
	if err != nil {
		return row, cause
	}
	if stored.Holder == next.Holder && stored.Heartbeat == next.Heartbeat && stored.State == next.State {
		return row, nil
	}
	if stored.Holder == next.Holder && stored.Tries == next.Tries && stored.State == StateRunning {
		l.rec.Heartbeat, l.version = stored.Heartbeat, row.Version // an earlier renewal took effect
		return row, fault.New(fault.KindUnavailable, "job.write", next.ID, cause)
	}
	return row, cause
}

// startRenewal renews the lease in the background until stop is called.
func (l *lease) startRenewal(ctx context.Context) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		ticker := time.NewTicker(renewInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				_ = l.write(ctx, func(*Record) {})
			case <-ctx.Done():
				return
			}
		}
	}()
	return func() {
		cancel()
		<-done
	}
}

// finish writes the result of an attempt. It retries while the table is
// unavailable until processCtx ends; another entry then runs the job again.
func (l *lease) finish(processCtx context.Context, answer *wire.Answer, f *wire.Failure) {
	if f != nil {
		event.Log(l.server.opts.Log, event.JobRetried, event.Subject(l.record().ID), event.Reason(f.Error()))
	}
	ctx := context.WithoutCancel(processCtx)
	delay := 100 * time.Millisecond
	for {
		err := l.write(ctx, func(rec *Record) { applyResult(rec, answer, f) })
		if err == nil || fault.Is(err, fault.KindConflict) || processCtx.Err() != nil {
			return
		}
		event.Log(l.server.opts.Log, event.JobStateNotWritten, event.Subject(l.record().ID), event.Err(err))
		_ = clock.Sleep(processCtx, delay)
		delay = min(2*delay, maxRetryDelay)
	}
}

// applyResult updates the record with the result of an attempt.
func applyResult(rec *Record, answer *wire.Answer, f *wire.Failure) {
	rec.State = StateAccepted
	switch {
	case f == nil:
		rec.State = StateDone
		rec.Answer = answer
	case f.Detail.Code == string(idempotency.CodeUnresolved):
		rec.State = StateUnresolved
	case f.Outcome == wire.OutcomeCompleted:
		rec.State = StateDone
	}
}
