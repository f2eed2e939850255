package front

import (
	"context"
	"sync"
	"time"

	"peridotchute.example/entry/direct/balance"
)

const (
	// stallAfter is the silence of a server after which an attempt is canceled:
	// clients abandon a stream after a gap of 3 s or more, and another server
	// needs about 1 s to continue it.
	stallAfter         = 1500 * time.Millisecond
	stallCheckInterval = 250 * time.Millisecond // interval between checks
)

// stallWatch cancels an attempt when its server is silent on all connections of
// this entry, as after a power loss of its VM. The methods of a nil stallWatch
// do nothing.
type stallWatch struct {
	mu     sync.Mutex
	timer  *time.Timer
	last   time.Time // time of the attempt's latest event, or its start
	ticket *balance.Ticket
	cancel context.CancelFunc
	silent func(time.Duration) // called when the server is found silent, with the time since it sent anything
	ended  bool
}

func watchStall(ctx context.Context, cancel context.CancelFunc, t *balance.Ticket, silent func(time.Duration)) *stallWatch {
	w := &stallWatch{last: time.Now(), ticket: t, cancel: cancel, silent: silent}
	w.timer = time.AfterFunc(stallAfter, func() { w.check(ctx) })
	return w
}

func (w *stallWatch) recordEvent() {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.last = time.Now()
}

func (w *stallWatch) stop() {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	w.timer.Stop()
}

func (w *stallWatch) check(ctx context.Context) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended || ctx.Err() != nil {
		return
	}
	if time.Since(w.last) >= stallAfter+w.ticket.Expected {
		if silent, exceeded := w.ticket.ServerSilent(stallAfter); exceeded {
			w.silent(silent)
			w.cancel()
			return
		}
	}
	w.timer.Reset(stallCheckInterval)
}
