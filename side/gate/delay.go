package gate

import (
	"sync"
	"time"
)

// delayEstimator estimates how long a new request waits for its first response
// byte: the number of requests awaiting theirs, times the smoothed gap between
// two first bytes while the backend server is busy.
type delayEstimator struct {
	mu            sync.Mutex
	awaiting      int
	busySince     time.Time     // when awaiting rose from zero
	lastFirstByte time.Time     // time of the most recent first byte
	firstByteGap  time.Duration // smoothed
}

// begin records that a request was sent to the backend server.
func (d *delayEstimator) begin(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.awaiting == 0 {
		d.busySince = now
	}
	d.awaiting++
}

// end records that the first response byte of a request has arrived (answered), or
// that the request failed.
func (d *delayEstimator) end(answered bool, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.awaiting--
	if !answered {
		return
	}
	since := d.busySince
	if d.lastFirstByte.After(since) {
		since = d.lastFirstByte
	}
	d.firstByteGap += (now.Sub(since) - d.firstByteGap) / smoothingDivisor
	d.lastFirstByte = now
}

// expected returns the estimate for a new request.
func (d *delayEstimator) expected() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Duration(d.awaiting) * d.firstByteGap
}
