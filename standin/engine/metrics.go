package engine

import (
	"net/http"
	"sync"
	"time"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"

	"peridotchute.example/common/admin"
	api "peridotchute.example/engine"
)

// maxRequestLogEntries limits the number of request IDs in the request log.
const maxRequestLogEntries = 1 << 17

// RequestCount counts the starts and completions of requests with one ID.
type RequestCount struct {
	Started   int `json:"started"`
	Completed int `json:"completed"`
}

// requestLog counts executions by request ID.
type requestLog struct {
	mu     sync.Mutex
	counts map[string]RequestCount
}

func newRequestLog() *requestLog { return &requestLog{counts: map[string]RequestCount{}} }

func (l *requestLog) started(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c, known := l.counts[id]
	if !known && len(l.counts) >= maxRequestLogEntries {
		return
	}
	c.Started++
	l.counts[id] = c
}

func (l *requestLog) completed(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c, known := l.counts[id]; known {
		c.Completed++
		l.counts[id] = c
	}
}

func (e *Engine) requests(w http.ResponseWriter, _ *http.Request) {
	e.requestLog.mu.Lock()
	counts := make(map[string]RequestCount, len(e.requestLog.counts))
	for id, c := range e.requestLog.counts {
		counts[id] = c
	}
	e.requestLog.mu.Unlock()
	admin.WriteJSON(w, http.StatusOK, counts)
}

// loadSnapshot is the load that /metrics reports.
type loadSnapshot struct {
	mu      sync.Mutex
	at      time.Time
	running int
	waiting int
	kvUsed  float64
}

// refresh returns the current snapshot. If it is at least lag old, it also takes
// a new one for the next call.
func (s *loadSnapshot) refresh(e *Engine, lag time.Duration) (running, waiting int, kvUsed float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	running, waiting, kvUsed = s.running, s.waiting, s.kvUsed
	if now := time.Now(); now.Sub(s.at) >= lag {
		s.running, s.waiting = e.sched.load()
		s.kvUsed = e.cache.kvUsed()
		s.at = now
	}
	return running, waiting, kvUsed
}

func (e *Engine) metrics(w http.ResponseWriter, _ *http.Request) {
	running, waiting, kvUsed := e.loadSnapshot.refresh(e, e.scaled(e.opts.Timing.LoadLag))
	format := expfmt.NewFormat(expfmt.TypeTextPlain)
	w.Header().Set("Content-Type", string(format))
	enc := expfmt.NewEncoder(w, format)
	for _, f := range []*dto.MetricFamily{
		gaugeFamily(api.MetricRunning, float64(running)),
		gaugeFamily(api.MetricWaiting, float64(waiting)),
		gaugeFamily(api.MetricKVUsed, kvUsed),
	} {
		if err := enc.Encode(f); err != nil {
			return
		}
	}
}

func gaugeFamily(name string, value float64) *dto.MetricFamily {
	kind := dto.MetricType_GAUGE
	return &dto.MetricFamily{Name: &name, Type: &kind, Metric: []*dto.Metric{{Gauge: &dto.Gauge{Value: &value}}}}
}
