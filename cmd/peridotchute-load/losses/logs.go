package losses

import (
	"time"

	"peridotchute.example/common/event"
	"peridotchute.example/operator/explain"
)

// logs collects the log lines of all processes.
type logs struct {
	processes map[[2]string]*process // by node and run
	ordered   []*process             // in order of the first line
}

// process is one run of an entry.
type process struct {
	open     map[string]*request      // requests that have not ended, by ID
	ended    []*request               // in log order
	loaded   map[string][]modelLoad   // by model, in log order
	lastLoss map[string]time.Duration // offset of the last lost or late request, by route
}

// modelLoad records when the entry saw a model become resident at a server.
type modelLoad struct {
	server string
	at     time.Duration // offset since the start of the process
}

// request collects the log lines of one request.
type request struct {
	end            *explain.Line
	failedAttempts []*explain.Line
	resumed        bool
	firstOfBurst   bool // no loss of its route at its entry in the burstGap before it
}

func newLogs() *logs { return &logs{processes: map[[2]string]*process{}} }

func (l *logs) process(line *explain.Line) *process {
	key := [2]string{line.Node, line.Run}
	p := l.processes[key]
	if p == nil {
		p = &process{open: map[string]*request{}, loaded: map[string][]modelLoad{}, lastLoss: map[string]time.Duration{}}
		l.processes[key] = p
		l.ordered = append(l.ordered, p)
	}
	return p
}

func (l *logs) add(line *explain.Line) {
	p := l.process(line)
	if line.Event == event.ModelLoaded.ID {
		model := line.Text("model")
		p.loaded[model] = append(p.loaded[model], modelLoad{line.Text("server"), line.Offset})
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
		r.failedAttempts = append(r.failedAttempts, line)
	case event.RequestRetried.ID:
		r.resumed = r.resumed || line.Text("resumed") == "true"
	case event.RequestServed.ID, event.RequestLate.ID, event.RequestFailed.ID,
		event.RequestRefused.ID, event.KeyUnknown.ID, event.OverQuota.ID, event.CallerLeft.ID, event.StreamCut.ID:
		p.finish(r, line)
	}
}

// burstGap separates bursts: a loss is the first of a burst if the previous loss of
// its route is longer ago.
const burstGap = time.Second

func (p *process) finish(r *request, end *explain.Line) {
	r.end = end
	delete(p.open, end.Request)
	p.ended = append(p.ended, r)
	if end.Event == event.RequestServed.ID {
		return
	}
	route := end.Text("route")
	last, ok := p.lastLoss[route]
	r.firstOfBurst = !ok || end.Offset-last > burstGap
	p.lastLoss[route] = end.Offset
}

// registrationDelay is how much later than the lease holder an entry may learn from
// the registrations that a model is resident.
const registrationDelay = 1500 * time.Millisecond

// waitedForLoad reports whether the model became resident at the request's server
// while the request waited.
func (p *process) waitedForLoad(r *request) bool {
	arrived := r.end.Offset - r.end.Duration("total_ms")
	sent := arrived + r.end.Duration("waited_ms")
	for _, load := range p.loaded[r.end.Text("model")] {
		if load.server == r.end.Text("server") && load.at >= arrived && load.at <= sent+registrationDelay {
			return true
		}
	}
	return false
}
