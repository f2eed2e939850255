package batch

import (
	"math"
	"math/rand/v2"
	"time"

	"peridotchute.example/routing"
)

// Policy is the policy by which entries queue requests and choose servers.
type Policy int

// The emulated policies.
const (
	Line  Policy = iota // wait in an admission.PriorityQueue; servers by routing.ChooseEngine
	Eager               // send immediately; servers by routing.ChooseEngine
	Least               // send immediately to the server with the fewest requests of this entry
)

// Kind describes a kind of request: its arrival rate, objectives, value and sizes.
type Kind struct {
	Name           string
	Priority       int           // 0 is the most urgent
	Rate           float64       // requests per second
	Objective      time.Duration // time to the first event
	MaxGap         time.Duration // longest time between two events
	Deadline       time.Duration // time to the whole answer
	Value          float64       // of a request of mean size answered on time
	LateValue      float64       // the same if an event was late
	Input          Size          // tokens of the last prompt part, which no other request has
	SystemTokens   int           // tokens of the first prompt part, shared by all requests of the kind
	DocumentTokens int           // tokens of the second prompt part, drawn from Documents variants
	Documents      int
	Output         Size      // tokens of the answer
	Models         []float64 // share of requests by model
	MaxSends       int       // sends by an entry for one client attempt; 0 means 1
	MaxRetries     int       // retries by a client after rejections

	MeanServiceTime time.Duration // at the plain service; 0 for a request to a model server
	Idempotent      bool          // may be sent again after a reset; for the plain service only
}

// Size is a log-normal distribution of token counts or times.
type Size struct {
	Mean   float64
	Spread float64 // standard deviation of the logarithm
	Max    int     // 0 means no limit
}

func (s Size) draw(rnd *rand.Rand) int {
	x := s.Mean * math.Exp(s.Spread*rnd.NormFloat64()-s.Spread*s.Spread/2)
	if s.Max > 0 {
		x = min(x, float64(s.Max))
	}
	return max(int(x), 1)
}

// Model describes a model and the servers that have it.
type Model struct {
	TimeFactor float64 // multiplier of the engine's times; 0 means 1
	Servers    []int   // that have the model from the start
	Loads      []ModelLoad
}

// ModelLoad is a load of a model during a run.
type ModelLoad struct {
	Server  int
	Ordered time.Duration // since the start; entries consider the server from then on
	Done    time.Duration // since the start
}

// Fault is a fault or a burst of requests during part of a run. Crash, Silent,
// SlowFactor and BurstFactor are alternatives.
type Fault struct {
	From, Until time.Duration // since the start
	Crash       bool          // Server crashes and restarts at Until
	Silent      bool          // Server makes no progress and sends nothing, not even a reset
	Plain       bool          // Server is an index of plain servers
	SlowFactor  float64       // multiplier of the times at Server
	Server      int
	BurstFactor float64 // multiplier of the request rate of Kind; 0 means no burst
	Kind        string  // empty means all kinds
}

// Scenario configures a run.
type Scenario struct {
	Seed    uint64
	Length  time.Duration // time during which requests arrive
	Servers int
	Entries int
	Engine  Engine
	Plain   Plain
	Kinds   []Kind
	Models  []Model
	Faults  []Fault
	Policy  Policy
}

const (
	clientDelay      = time.Millisecond       // one way
	serverDelay      = time.Millisecond       // one way, within the region
	remoteDelay      = 12 * time.Millisecond  // one way, to the other region
	exchangeInterval = 150 * time.Millisecond // between exchanges of loads by the entries
	detectionDelay   = 400 * time.Millisecond // until entries notice a crash or a restart
	retryJitter      = 20 * time.Millisecond
)

// Run runs a scenario to its end in simulated time.
func Run(s Scenario) *Result {
	s.Engine.setDefaults()
	s.Plain.setDefaults()
	w := newWorld(&s)
	for i := range s.Kinds {
		w.generateArrivals(&s.Kinds[i], rand.New(rand.NewPCG(s.Seed, uint64(i+1))))
	}
	for i := range s.Faults {
		w.scheduleFault(&s.Faults[i])
	}
	w.exchangeLoads()
	longest := time.Duration(0)
	for i := range s.Kinds {
		longest = max(longest, s.Kinds[i].Deadline)
	}
	w.clock.run(w.clock.now.Add(s.Length + 2*longest))
	for _, server := range w.servers {
		w.result.PrefilledTokens += server.prefilledTokens
		w.result.Preempted += server.preempted
	}
	return w.result
}

// RunAll runs a scenario with the seeds 1 to seeds, at least once, and returns the
// merged result.
func RunAll(s Scenario, seeds uint64) *Result {
	var runs []*Result
	for seed := range max(seeds, 1) {
		s.Seed = seed + 1
		runs = append(runs, Run(s))
	}
	return Merge(runs)
}

// world is the state of a run, shared by its clients, entries and servers.
type world struct {
	*Scenario
	clock        *clock
	rnd          *rand.Rand
	servers      []*server
	plainServers []*plainServer
	entries      []*entry
	result       *Result
	start        time.Time
	burstFactors map[string]float64
}

// newWorld returns the state of a run at its start.
func newWorld(s *Scenario) *world {
	w := &world{Scenario: s, clock: newClock(), rnd: rand.New(rand.NewPCG(s.Seed, 0)), result: newResult(s), burstFactors: map[string]float64{}}
	w.start = w.clock.now
	for range s.Servers {
		w.servers = append(w.servers, newServer(w.clock, s.Engine))
	}
	for range s.Plain.Servers {
		w.plainServers = append(w.plainServers, &plainServer{Plain: s.Plain, clock: w.clock, up: true, slowFactor: 1})
	}
	for i := range max(s.Entries, 1) {
		w.entries = append(w.entries, newEntry(w, i))
	}
	return w
}

// generateArrivals schedules the requests of one kind as a Poisson process.
func (w *world) generateArrivals(k *Kind, rnd *rand.Rand) {
	var next func()
	next = func() {
		rate := k.Rate * max(w.burstFactors[k.Name], 1) * max(w.burstFactors[""], 1)
		w.clock.after(time.Duration(rnd.ExpFloat64()/rate*float64(time.Second)), func() {
			if w.clock.now.Sub(w.start) < w.Length {
				w.sendToEntry(w.newRequest(k, rnd))
				next()
			}
		})
	}
	if k.Rate > 0 {
		next()
	}
}

// newRequest returns a request of a kind, with random sizes and model.
func (w *world) newRequest(k *Kind, rnd *rand.Rand) *request {
	if k.MeanServiceTime > 0 {
		return &request{kind: k, created: w.clock.now, deadline: w.clock.now.Add(k.Deadline), retriesLeft: k.MaxRetries}
	}
	model := drawIndex(k.Models, rnd.Float64())
	inputTokens, outputTokens := k.Input.draw(rnd), k.Output.draw(rnd)
	parts := make([]routing.Part, 0, 3)
	if k.SystemTokens > 0 {
		parts = append(parts, routing.Part{ID: partID(k.Name, 1, 0), Tokens: k.SystemTokens})
	}
	if k.DocumentTokens > 0 {
		parts = append(parts, routing.Part{ID: partID(k.Name, 2, rnd.IntN(max(k.Documents, 1))), Tokens: k.DocumentTokens})
	}
	w.result.drawn++
	parts = append(parts, routing.Part{ID: partID(k.Name, 3, w.result.drawn), Tokens: inputTokens})
	inputTokens += k.SystemTokens + k.DocumentTokens
	now := w.clock.now
	return &request{kind: k, model: model, parts: parts, inputTokens: inputTokens, outputTokens: outputTokens, created: now, deadline: now.Add(k.Deadline), retriesLeft: k.MaxRetries}
}

// partID returns the identity of a prompt part; equal parts of several requests
// have equal identities.
func partID(kind string, level, number int) uint64 {
	return routing.ArtifactKey(kind) + uint64(level)<<32 + uint64(number)
}

// drawIndex maps x, uniform in [0,1), to an index with probabilities in proportion
// to shares.
func drawIndex(shares []float64, x float64) int {
	var sum float64
	for _, s := range shares {
		sum += s
	}
	for i, s := range shares {
		if x -= s / sum; x < 0 {
			return i
		}
	}
	return max(len(shares)-1, 0)
}

// scheduleFault schedules the start and the end of a fault.
func (w *world) scheduleFault(f *Fault) {
	during := func(begin, end func()) {
		w.clock.after(f.From, begin)
		w.clock.after(f.Until, end)
	}
	switch {
	case f.BurstFactor > 0:
		during(func() { w.burstFactors[f.Kind] = f.BurstFactor }, func() { w.burstFactors[f.Kind] = 1 })
	case f.Crash && f.Plain:
		during(w.plainServers[f.Server].crash, func() { w.plainServers[f.Server].up = true })
	case f.Silent:
		during(func() { w.servers[f.Server].silent = true }, w.servers[f.Server].endSilence)
	case f.Crash:
		during(func() { w.crash(f.Server) }, func() { w.restart(f.Server) })
	case f.Plain:
		during(func() { w.plainServers[f.Server].slowFactor = f.SlowFactor }, func() { w.plainServers[f.Server].slowFactor = 1 })
	default:
		during(func() { w.servers[f.Server].slowFactor = f.SlowFactor }, func() { w.servers[f.Server].slowFactor = 1 })
	}
}

// crash crashes a server; entries notice it after detectionDelay.
func (w *world) crash(i int) {
	w.servers[i].crash()
	w.clock.after(detectionDelay, func() {
		for _, e := range w.entries {
			e.serverLost(i)
		}
	})
}

// restart restarts a crashed server; entries notice it after detectionDelay. The
// server has all its models again, those loaded during the run included.
func (w *world) restart(i int) {
	w.servers[i].up = true
	w.clock.after(detectionDelay, func() {
		for _, e := range w.entries {
			e.serverRestored(i)
		}
	})
}

// exchangeLoads periodically sends the loads caused by each entry to all others,
// withdraws requests from stalled servers and processes the queues.
func (w *world) exchangeLoads() {
	w.clock.after(exchangeInterval, func() {
		for _, from := range w.entries {
			for _, to := range w.entries {
				if from != to {
					to.setPeerLoads(from)
				}
			}
		}
		for _, e := range w.entries {
			if w.Policy == Line {
				e.withdrawStalled()
			}
			e.processQueue()
			e.plain.processQueue()
		}
		if w.clock.now.Sub(w.start) < w.Length*2 {
			w.exchangeLoads()
		}
	})
}
