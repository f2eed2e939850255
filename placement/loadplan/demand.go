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

	// Bound are the software versions whose servers alone may get some of the requests
	// that arrived or wait.
	Bound []string `json:",omitempty"`
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
	waiting []waitingRequests
	running []runningRequests
}

// waitingRequests are an entry's requests for a model that no server has loaded.
type waitingRequests struct {
	model   string
	count   int
	urgency int // priority of the most urgent one
}

// runningRequests are an entry's requests for a key that run on a server.
type runningRequests struct {
	server string
	key    Key
	count  int
}

// runningByKey counts the requests of all entries that run on one server.
type runningByKey map[Key]int

// ofModel returns the number of requests for a model and its adapters.
func (r runningByKey) ofModel(model string) int {
	n := 0
	for k, count := range r {
		if k.Model == model {
			n += count
		}
	}
	return n
}

// Demands holds the demand for the models of one service.
type Demands struct {
	models       map[string]*estimate
	entries      map[string]*entryObservation
	running      map[string]runningByKey          // by server; sum over entries
	waitingSum   map[string]int                   // by model; sum over entries
	lastRun      map[string]map[Key]time.Duration // by server: when an entry last reported a running request
	pending      map[string]ModelDemand           // by model; arrivals since the last step
	lastWanted   map[string]time.Duration         // by model; time of the last call of MarkWanted
	bound        boundDemand
	started      time.Duration // time of the first step
	backfilled   time.Duration // longest time covered by an entry's history
	firstArrival time.Duration // time of the first arrival; 0 if there was none
	lastStep     time.Duration
}

func newDemands() Demands {
	return Demands{
		models:     map[string]*estimate{},
		entries:    map[string]*entryObservation{},
		running:    map[string]runningByKey{},
		waitingSum: map[string]int{},
		lastRun:    map[string]map[Key]time.Duration{},
		pending:    map[string]ModelDemand{},
		lastWanted: map[string]time.Duration{},
		bound:      boundDemand{},
	}
}

// MarkWanted records that a caller in this process waits for a model, on a server of the
// software version unless that is empty. The record is valid for maxWantAge, so a caller
// that keeps waiting calls MarkWanted repeatedly.
func (d *Demands) MarkWanted(model, software string, now time.Duration) {
	if software != "" {
		d.bound[boundKey{model, software}] = now
	}
	d.lastWanted[model] = now
	d.estimate(model).requested = now
}

// Observe applies the demand report of an entry.
func (d *Demands) Observe(entry string, demand []ModelDemand, now time.Duration) {
	d.forget(entry)
	o := &entryObservation{at: now}
	d.entries[entry] = o
	for _, m := range demand {
		p := d.pending[m.Model]
		p.Arrivals += m.Arrivals
		p.PrefillTokens += m.PrefillTokens
		d.pending[m.Model] = p
		if n := m.Waiting + m.Refused; n > 0 {
			o.waiting = append(o.waiting, waitingRequests{model: m.Model, count: n, urgency: m.Urgency})
			d.waitingSum[m.Model] += n
		}
		for _, software := range m.Bound {
			d.bound[boundKey{m.Model, software}] = now
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
	k := Key{Model: model, Adapter: r.Adapter}
	o.running = append(o.running, runningRequests{server: r.Server, key: k, count: r.Count})
	if d.running[r.Server] == nil {
		d.running[r.Server] = runningByKey{}
	}
	d.running[r.Server][k] += r.Count
	if d.lastRun[r.Server] == nil {
		d.lastRun[r.Server] = map[Key]time.Duration{}
	}
	d.lastRun[r.Server][k] = o.at
}

// forget discards the last report of an entry.
func (d *Demands) forget(entry string) {
	o := d.entries[entry]
	if o == nil {
		return
	}
	delete(d.entries, entry)
	for _, w := range o.waiting {
		if d.waitingSum[w.model] -= w.count; d.waitingSum[w.model] == 0 {
			delete(d.waitingSum, w.model)
		}
	}
	for _, r := range o.running {
		d.forgetRunning(r)
	}
}

func (d *Demands) forgetRunning(r runningRequests) {
	byKey := d.running[r.server]
	if byKey[r.key] -= r.count; byKey[r.key] == 0 {
		delete(byKey, r.key)
	}
	if len(byKey) == 0 {
		delete(d.running, r.server)
	}
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
	d.bound.expire(now)
	for entry, o := range d.entries {
		if now-o.at > maxObservationAge {
			d.forget(entry)
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
	n := d.waitingSum[model]
	if at, ok := d.lastWanted[model]; ok && d.lastStep-at < maxWantAge {
		n++
	}
	return n
}

// urgencies returns, by model with waiting requests, the priority of the most urgent one.
func (d *Demands) urgencies() map[string]int {
	out := make(map[string]int, len(d.waitingSum))
	for _, o := range d.entries {
		for _, w := range o.waiting {
			if u, ok := out[w.model]; !ok || w.urgency < u {
				out[w.model] = w.urgency
			}
		}
	}
	return out
}

// Running returns the number of requests for a key that run on a server.
func (d *Demands) Running(server string, k Key) int { return d.running[server][k] }

// LastRun returns when an entry last reported a running request for the key on
// the server; 0 if none did.
func (d *Demands) LastRun(server string, k Key) time.Duration { return d.lastRun[server][k] }
