package losses

import (
	"time"

	"peridotchute.example/common/event"
	"peridotchute.example/operator/explain"
)

// logs gathers the lines of all processes.
type logs struct {
	processes map[[2]string]*process // by node and run
	order     []*process
}

// process is one run of an entry.
type process struct {
	open  map[string]*request      // requests that have not ended, by ID
	ended []*request               // in the order of the log
	held  map[string][]held        // by model
	last  map[string]time.Duration // when a route last lost a request at this entry
}

// held is a model that the entry saw become resident.
type held struct {
	server string
	at     time.Duration // offset of the process
}

// request is what the log tells of one request.
type request struct {
	end     *explain.Line
	failed  []*explain.Line // attempts
	resumed bool
	quiet   bool // no request of its route was lost at its entry just before
}

func newLogs() *logs { return &logs{processes: map[[2]string]*process{}} }

func (l *logs) process(line *explain.Line) *process {
	key := [2]string{line.Node, line.Run}
	p := l.processes[key]
	if p == nil {
		p = &process{open: map[string]*request{}, held: map[string][]held{}, last: map[string]time.Duration{}}
		l.processes[key] = p
		l.order = append(l.order, p)
	}
	return p
}

func (l *logs) add(line *explain.Line) {
	p := l.process(line)
	if line.Event == event.ModelHeld.ID {
		model := line.Text("model")
		p.held[model] = append(p.held[model], held{line.Text("server"), line.Offset})
		return
	}
	if line.Request == "" {
		return
	}
	r := p.open[line.Request]
	if r == nil {
		r = &request{}
		p.open[line.Request] = r
	}
	switch line.Event {
	case event.AttemptFailed.ID:
		r.failed = append(r.failed, line)
	case event.RequestRetried.ID:
		r.resumed = r.resumed || line.Text("resumed") == "true"
	case event.RequestServed.ID, event.RequestLate.ID, event.RequestFailed.ID,
		event.RequestRefused.ID, event.CallerLeft.ID, event.StreamCut.ID:
		p.finish(r, line)
	}
}

// burstPause is the time without a loss of the same route after which a loss is
// the first of a burst.
const burstPause = time.Second

func (p *process) finish(r *request, end *explain.Line) {
	r.end = end
	delete(p.open, end.Request)
	p.ended = append(p.ended, r)
	if end.Event == event.RequestServed.ID {
		return
	}
	route := end.Text("route")
	last, ok := p.last[route]
	r.quiet = !ok || end.Offset-last > burstPause
	p.last[route] = end.Offset
}

// loadSeen is how much later than the order's giver an entry sees in the
// registrations that a model is resident.
const loadSeen = 1500 * time.Millisecond

// waitedForLoad reports whether the model became resident at the request's
// server while it waited.
func (p *process) waitedForLoad(r *request) bool {
	arrived := r.end.Offset - r.end.Duration("total_ms")
	sent := arrived + r.end.Duration("waited_ms")
	for _, h := range p.held[r.end.Text("model")] {
		if h.server == r.end.Text("server") && h.at >= arrived && h.at <= sent+loadSeen {
			return true
		}
	}
	return false
}
