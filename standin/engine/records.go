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

// maxRequestsLogged bounds the request log.
const maxRequestsLogged = 1 << 17

// RequestCount is how often one request id was started and completed.
type RequestCount struct {
	Started   int `json:"started"`
	Completed int `json:"completed"`
}

// requestLog counts runs by request id.
type requestLog struct {
	mu     sync.Mutex
	counts map[string]RequestCount
}

func newRequestLog() *requestLog { return &requestLog{counts: map[string]RequestCount{}} }

func (l *requestLog) started(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c, known := l.counts[id]
	if !known && len(l.counts) >= maxRequestsLogged {
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
	e.log.mu.Lock()
	counts := make(map[string]RequestCount, len(e.log.counts))
	for id, c := range e.log.counts {
		counts[id] = c
	}
	e.log.mu.Unlock()
	admin.WriteJSON(w, http.StatusOK, counts)
}

// published is the load as callers of /metrics see it.
type published struct {
	mu      sync.Mutex
	at      time.Time
	running int
	waiting int
	used    float64
}

// refresh takes the engine's load when the published one is older than lag.
func (p *published) refresh(e *Engine, lag time.Duration) (running, waiting int, used float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	running, waiting, used = p.running, p.waiting, p.used
	if now := time.Now(); now.Sub(p.at) >= lag {
		p.running, p.waiting = e.sched.load()
		p.used = e.cache.used()
		p.at = now
	}
	return running, waiting, used
}

func (e *Engine) metrics(w http.ResponseWriter, _ *http.Request) {
	running, waiting, used := e.published.refresh(e, e.scaled(e.opts.Timing.LoadLag))
	format := expfmt.NewFormat(expfmt.TypeTextPlain)
	w.Header().Set("Content-Type", string(format))
	enc := expfmt.NewEncoder(w, format)
	for _, f := range []*dto.MetricFamily{
		gaugeFamily(api.MetricRunning, float64(running)),
		gaugeFamily(api.MetricWaiting, float64(waiting)),
		gaugeFamily(api.MetricKVUsed, used),
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
