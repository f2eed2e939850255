package front

import (
	"context"
	"sync"
	"time"

	"peridotchute.example/entry/direct/balance"
)

const (
	// stallAfter is the silence of a server after which an attempt is given up:
	// clients leave a stream after a gap of 3 s or more, and another server
	// needs about a second to go on.
	stallAfter = 1500 * time.Millisecond
	stallLook  = 250 * time.Millisecond // between two looks
)

// stallWatch gives an attempt up when its server falls silent on every
// connection of this entry, as a VM does that lost power. The nil watch guards
// nothing.
type stallWatch struct {
	mu     sync.Mutex
	timer  *time.Timer
	last   time.Time // of the attempt's newest event, or its start
	ticket *balance.Ticket
	cancel context.CancelFunc
	ended  bool
}

func watchStall(ctx context.Context, cancel context.CancelFunc, t *balance.Ticket) *stallWatch {
	w := &stallWatch{last: time.Now(), ticket: t, cancel: cancel}
	w.timer = time.AfterFunc(stallAfter, func() { w.look(ctx) })
	return w
}

func (w *stallWatch) heard() {
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

func (w *stallWatch) look(ctx context.Context) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended || ctx.Err() != nil {
		return
	}
	if time.Since(w.last) >= stallAfter+w.ticket.Expected && w.ticket.ServerSilent(stallAfter) {
		w.cancel()
		return
	}
	w.timer.Reset(stallLook)
}
