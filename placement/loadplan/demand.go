package loadplan

import (
	"math"
	"time"
)

const (
	fastTimeConstant = time.Second      // of the average that follows a rise
	slowTimeConstant = 15 * time.Second // of the average that outlasts a pause
	// minAverageTime is the minimum period that the slow average is assumed
	// to cover.
	minAverageTime = 5 * time.Second
	// minComparisonTime is how long arrivals must have been observed before a
	// replica of one model replaces one of another.
	minComparisonTime = 4 * time.Second
	// maxObservationAge is how long an entry's last report of waiting and
	// running requests stays valid.
	maxObservationAge = 2 * time.Second
	// maxWantAge is how long a call of MarkWanted stays valid.
	maxWantAge = 500 * time.Millisecond
	// requestOverheadTokens is the work of a request besides its prompt, as
	// the number of prompt tokens that a server processes in the same time.
	requestOverheadTokens = 1500
)

// ModelDemand is the demand for one model that an entry has observed since its
// last report.
type ModelDemand struct {
	Service       string
	Model         string
	Arrivals      int
	PrefillTokens int // prompt tokens of the arrivals that need prefill
	Waiting       int // requests that wait now because no server has loaded the model
	Refused       int // requests rejected because no server has loaded the model
	Urgency       int // priority of the most urgent request; 0 is the most urgent
	Running       []Running
}

// Running is the number of requests of an entry that run on one server.
type Running struct {
	Server  string
	Adapter string // empty for the model itself
	Count   int
}

// estimate is the smoothed demand for one model.
type estimate struct {
	rate      average       // requests per second
	work      average       // tokens per second
	peak      float64       // decaying maximum of the work, in tokens per second
	requested time.Duration // time of the last request
}

// average is a rate as a fast and a slow exponential moving average.
type average struct {
	fast, slow float64
}

func (a *average) add(amount, seconds float64) {
	a.fast = a.fast*math.Exp(-seconds/fastTimeConstant.Seconds()) + amount/fastTimeConstant.Seconds()
	a.slow = a.slow*math.Exp(-seconds/slowTimeConstant.Seconds()) + amount/slowTimeConstant.Seconds()
}

// entryObservation is the last demand report of one entry.
type entryObservation struct {
	at      time.Duration
	waiting map[string]int // by model
	urgency map[string]int // by model, only for models with waiting requests
	running map[string]map[Key]int
}

// Demands holds the demand for the models of one service.
type Demands struct {
	models       map[string]*estimate
	entries      map[string]*entryObservation
	lastRun      map[string]map[Key]time.Duration // by server: when an entry last reported a running request
	pending      map[string]ModelDemand           // by model; arrivals since the last step
	lastWanted   map[string]time.Duration         // by model; time of the last call of MarkWanted
	started      time.Duration                    // time of the first step
	backfilled   time.Duration                    // longest time covered by an entry's history
	firstArrival time.Duration                    // time of the first arrival; 0 if there was none
	lastStep     time.Duration
}

func newDemands() Demands {
	return Demands{
		models:     map[string]*estimate{},
		entries:    map[string]*entryObservation{},
		lastRun:    map[string]map[Key]time.Duration{},
		pending:    map[string]ModelDemand{},
		lastWanted: map[string]time.Duration{},
	}
}

// MarkWanted records that a caller in this process waits for a model. The record is
// valid for maxWantAge, so a caller that keeps waiting calls MarkWanted repeatedly.
func (d *Demands) MarkWanted(model string, now time.Duration) {
	d.lastWanted[model] = now
	d.estimate(model).requested = now
}

// Observe applies the demand report of an entry.
func (d *Demands) Observe(entry string, demand []ModelDemand, now time.Duration) {
	o := &entryObservation{at: now, waiting: map[string]int{}, urgency: map[string]int{}, running: map[string]map[Key]int{}}
	d.entries[entry] = o
	for _, m := range demand {
		p := d.pending[m.Model]
		p.Arrivals += m.Arrivals
		p.PrefillTokens += m.PrefillTokens
		d.pending[m.Model] = p
		if m.Waiting+m.Refused > 0 {
			o.waiting[m.Model] += m.Waiting + m.Refused
			o.urgency[m.Model] = m.Urgency
		}
		for _, r := range m.Running {
			d.observeRunning(o, m.Model, r)
		}
		if m.Arrivals > 0 && d.firstArrival == 0 {
			d.firstArrival = now
		}
		if m.Arrivals+m.Waiting+m.Refused > 0 {
			d.estimate(m.Model).requested = now
		}
	}
}

func (d *Demands) observeRunning(o *entryObservation, model string, r Running) {
	if r.Count <= 0 {
		return
	}
	if o.running[r.Server] == nil {
		o.running[r.Server] = map[Key]int{}
	}
	o.running[r.Server][Key{Model: model, Adapter: r.Adapter}] += r.Count
	if d.lastRun[r.Server] == nil {
		d.lastRun[r.Server] = map[Key]time.Duration{}
	}
	d.lastRun[r.Server][Key{Model: model, Adapter: r.Adapter}] = o.at
}

func (d *Demands) estimate(model string) *estimate {
	e := d.models[model]
	if e == nil {
		e = &estimate{requested: -never}
		d.models[model] = e
	}
	return e
}

// step updates the averages with the arrivals since the last step.
func (d *Demands) step(now time.Duration) {
	if d.lastStep == 0 {
		d.started, d.lastStep = now, now
	}
	seconds := (now - d.lastStep).Seconds()
	d.lastStep = now
	for model := range d.pending {
		d.estimate(model)
	}
	for model, e := range d.models {
		p := d.pending[model]
		e.rate.add(float64(p.Arrivals), seconds)
		e.work.add(float64(p.PrefillTokens+p.Arrivals*requestOverheadTokens), seconds)
		e.peak = max(d.work(model), e.peak*math.Exp(-seconds/slowTimeConstant.Seconds()))
	}
	d.pending = map[string]ModelDemand{}
	for from, o := range d.entries {
		if now-o.at > maxObservationAge {
			delete(d.entries, from)
		}
	}
}

// observedTime returns how long demand has been observed, by this process or by
// entries that have sent their history.
func (d *Demands) observedTime() time.Duration { return d.lastStep - d.started + d.backfilled }

// settled reports whether arrivals have been observed for long enough to
// compare models by them.
func (d *Demands) settled() bool {
	return d.firstArrival > 0 && d.lastStep-d.firstArrival >= minComparisonTime
}

// work returns the work for a model in tokens per second: the slow average, or
// the fast one reduced by its expected random error if that is higher.
func (d *Demands) work(model string) float64 {
	e := d.models[model]
	if e == nil {
		return 0
	}
	age := max(d.observedTime(), minAverageTime)
	slow := e.work.slow / (1 - math.Exp(-age.Seconds()/slowTimeConstant.Seconds()))
	arrivals := 2 * fastTimeConstant.Seconds() * e.rate.fast // covered by the fast average
	if arrivals <= 1 {
		return slow
	}
	return max(slow, e.work.fast*(1-1/math.Sqrt(arrivals)))
}

// requestRate returns the requests per second for a model, over seconds.
func (d *Demands) requestRate(model string) float64 {
	if e := d.models[model]; e != nil {
		return e.rate.slow
	}
	return 0
}

// peak returns the decaying maximum of the work for a model, so that a short
// pause doesn't cost a replica that was just needed.
func (d *Demands) peak(model string) float64 {
	if e := d.models[model]; e != nil {
		return e.peak
	}
	return 0
}

// waiting returns the number of requests that wait for a model that no server
// has loaded.
func (d *Demands) waiting(model string) int {
	n := 0
	if at, ok := d.lastWanted[model]; ok && d.lastStep-at < maxWantAge {
		n++
	}
	for _, o := range d.entries {
		n += o.waiting[model]
	}
	return n
}

// urgency returns the priority of the most urgent request for a model with
// waiting requests, math.MaxInt if none waits.
func (d *Demands) urgency(model string) int {
	rank := math.MaxInt
	for _, o := range d.entries {
		if u, ok := o.urgency[model]; ok {
			rank = min(rank, u)
		}
	}
	return rank
}

// Running returns the number of requests for a key that run on a server.
func (d *Demands) Running(server string, k Key) int {
	n := 0
	for _, o := range d.entries {
		n += o.running[server][k]
	}
	return n
}

// runningModels returns the number of running requests by server and model.
func (d *Demands) runningModels() map[string]map[string]int {
	out := map[string]map[string]int{}
	for _, o := range d.entries {
		for server, running := range o.running {
			if out[server] == nil {
				out[server] = map[string]int{}
			}
			for k, count := range running {
				out[server][k.Model] += count
			}
		}
	}
	return out
}

// LastRun returns when an entry last reported a running request for the key on
// the server; 0 if none did.
func (d *Demands) LastRun(server string, k Key) time.Duration { return d.lastRun[server][k] }
