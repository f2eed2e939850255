package gate

import (
	"sync"
	"time"
)

// delay estimates how long a new request waits for the first byte of its
// answer: the requests that wait for theirs, times the usual gap between two
// first bytes while the backend server is busy.
type delay struct {
	mu        sync.Mutex
	awaiting  int
	busySince time.Time     // when awaiting rose from zero
	lastFirst time.Time     // when the last first byte came
	gap       time.Duration // smoothed
}

// begin counts a request that is sent to the backend server.
func (d *delay) begin(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.awaiting == 0 {
		d.busySince = now
	}
	d.awaiting++
}

// end counts a request whose first byte has come, or never will.
func (d *delay) end(answered bool, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.awaiting--
	if !answered {
		return
	}
	since := d.busySince
	if d.lastFirst.After(since) {
		since = d.lastFirst
	}
	d.gap += (now.Sub(since) - d.gap) / smoothing
	d.lastFirst = now
}

// expected returns the expected wait of a new request.
func (d *delay) expected() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Duration(d.awaiting) * d.gap
}
