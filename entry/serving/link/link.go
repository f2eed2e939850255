// Package link meters the traffic of an entry with backend servers of other
// regions and reports when its share of the deployment's bandwidth cap is used up.
package link

import (
	"expvar"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// exchangedBytes counts the bytes that this process exchanged with other regions.
var exchangedBytes = expvar.NewInt("link_bytes")

// Meter counts bytes against a rate limit. It is safe for concurrent use.
type Meter struct {
	mu      sync.Mutex
	limiter *rate.Limiter // nil without a cap
	share   int64         // bytes per second
	total   atomic.Int64
}

// NewMeter returns a meter without a cap.
func NewMeter() *Meter { return &Meter{} }

// SetCap sets the deployment's cap in bytes per second, which is divided equally
// among the entries. Zero removes the cap.
func (m *Meter) SetCap(bytesPerSecond int64, entries int) {
	share := bytesPerSecond / int64(max(entries, 1))
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case bytesPerSecond <= 0:
		m.limiter, m.share = nil, 0
	case share != m.share:
		m.share = max(share, 1)
		m.limiter = rate.NewLimiter(rate.Limit(m.share), int(m.share))
	}
}

// Open reports whether the cap permits another request to another region.
func (m *Meter) Open(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.limiter == nil || m.limiter.TokensAt(now) > 0
}

// Account counts n bytes against the cap. The balance may become negative:
// requests in progress are never interrupted because of the cap.
func (m *Meter) Account(n int, now time.Time) {
	exchangedBytes.Add(int64(n))
	m.total.Add(int64(n))
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.limiter == nil {
		return
	}
	for burst := m.limiter.Burst(); n > 0; n -= burst {
		m.limiter.ReserveN(now, min(n, burst))
	}
}

// Body returns a reader of source that counts each byte read.
func (m *Meter) Body(source io.ReadCloser) io.ReadCloser {
	return &body{ReadCloser: source, meter: m}
}

type body struct {
	io.ReadCloser
	meter *Meter
}

// Read reads from the source and counts the bytes.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.meter.Account(n, time.Now())
	return n, err
}

// Dump is the meter's section of the state dump.
type Dump struct {
	Bytes          int64 `json:"bytes"`                  // since the process started
	ShareBytesPerS int64 `json:"share_bytes_per_second"` // 0 means no cap
	Open           bool  `json:"open"`
}

// DumpState returns the meter's section of the state dump.
func (m *Meter) DumpState() any {
	m.mu.Lock()
	share := m.share
	m.mu.Unlock()
	return Dump{Bytes: m.total.Load(), ShareBytesPerS: share, Open: m.Open(time.Now())}
}
