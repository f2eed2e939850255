package batch

import (
	"math"
	"math/rand/v2"
	"time"

	"peridotchute.example/routing"
)

// Policy is how entries choose servers.
type Policy int

// The policies.
const (
	Line  Policy = iota // routing.ChooseEngine and admission.PriorityQueue
	Eager               // routing.ChooseEngine, sent at once
	Least               // the holder with the fewest own requests, sent at once
)

// Kind is a kind of request.
type Kind struct {
	Name      string
	Priority  int
	PerS      float64 // requests a second
	Objective time.Duration
	Gap       time.Duration // longest pause between events
	Deadline  time.Duration
	Worth     float64
	LateWorth float64
	Own       Size // tokens of the last part
	System    int  // tokens of the first part, which all requests of the kind share
	Document  int  // tokens of the second part, one of Documents
	Documents int
	Out       Size
	Models    []float64 // share of each model
	Sends     int       // most servers for one request
	Returns   int       // times that a client comes back

	Work   time.Duration // of a request to the plain service; 0 for a generation
	Repeat bool          // idempotent
}

// Size is a log-normal distribution of token counts.
type Size struct {
	Mean   float64
	Spread float64 // of the logarithm
	Max    int
}

func (s Size) draw(rnd *rand.Rand) int {
	x := s.Mean * math.Exp(s.Spread*rnd.NormFloat64()-s.Spread*s.Spread/2)
	if s.Max > 0 {
		x = min(x, float64(s.Max))
	}
	return max(int(x), 1)
}

// Model says where a model is.
type Model struct {
	Pace    float64 // time against the slowest model; 0 means 1
	Servers []int
	Loads   []ModelLoad
}

// ModelLoad makes a model resident at a server in the course of a run. Entries
// know of it from Ordered on.
type ModelLoad struct {
	Server  int
	Ordered time.Duration
	Done    time.Duration
}

// Fault disturbs a run from From until Until.
type Fault struct {
	From, Until time.Duration
	Crash       bool    // of Server
	Dark        bool    // Server is cut off: nothing comes from it, nor does a reset
	Plain       bool    // Server is one of the plain service
	Slow        float64 // times as long at Server; 0 means none
	Server      int
	Burst       float64 // times as many requests of Kind; 0 means none
	Kind        string  // empty means all
}

// Scenario is one run.
type Scenario struct {
	Seed    uint64
	Length  time.Duration // of the arrivals
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
	clientDelay  = time.Millisecond       // one way
	serverDelay  = time.Millisecond       // one way, within a region
	farDelay     = 12 * time.Millisecond  // one way, to the other region
	tellEvery    = 150 * time.Millisecond // entries tell each other
	noticeDelay  = 400 * time.Millisecond // until entries learn that a server has gone or come
	returnJitter = 20 * time.Millisecond
)

// Run plays a scenario.
func Run(s Scenario) *Result {
	s.Engine.fill()
	s.Plain.fill()
	w := newWorld(&s)
	for i := range s.Kinds {
		w.arrivals(&s.Kinds[i], rand.New(rand.NewPCG(s.Seed, uint64(i+1))))
	}
	for i := range s.Faults {
		w.disturb(&s.Faults[i])
	}
	w.tell()
	longest := time.Duration(0)
	for i := range s.Kinds {
		longest = max(longest, s.Kinds[i].Deadline)
	}
	w.clock.run(w.clock.now.Add(s.Length + 2*longest))
	for _, server := range w.servers {
		w.result.Read += server.read
		w.result.Preempted += server.preempted
	}
	return w.result
}

// RunAll plays a scenario with the seeds from 1 on and takes the runs as one.
func RunAll(s Scenario, seeds uint64) *Result {
	var runs []*Result
	for seed := range max(seeds, 1) {
		s.Seed = seed + 1
		runs = append(runs, Run(s))
	}
	return Pool(runs)
}

// world is the state of a run.
type world struct {
	*Scenario
	clock   *clock
	rnd     *rand.Rand
	servers []*server
	plains  []*plainServer
	entries []*entry
	result  *Result
	began   time.Time
	bursts  map[string]float64
}

func newWorld(s *Scenario) *world {
	w := &world{Scenario: s, clock: newClock(), rnd: rand.New(rand.NewPCG(s.Seed, 0)), result: newResult(s), bursts: map[string]float64{}}
	w.began = w.clock.now
	for range s.Servers {
		w.servers = append(w.servers, newServer(w.clock, s.Engine))
	}
	for range s.Plain.Servers {
		w.plains = append(w.plains, &plainServer{Plain: s.Plain, clock: w.clock, up: true, slow: 1})
	}
	for i := range max(s.Entries, 1) {
		w.entries = append(w.entries, newEntry(w, i))
	}
	return w
}

// arrivals makes the requests of one kind, as a Poisson process.
func (w *world) arrivals(k *Kind, rnd *rand.Rand) {
	var next func()
	next = func() {
		rate := k.PerS * max(w.bursts[k.Name], 1) * max(w.bursts[""], 1)
		w.clock.after(time.Duration(rnd.ExpFloat64()/rate*float64(time.Second)), func() {
			if w.clock.now.Sub(w.began) < w.Length {
				w.client(w.request(k, rnd))
				next()
			}
		})
	}
	if k.PerS > 0 {
		next()
	}
}

// request draws one request.
func (w *world) request(k *Kind, rnd *rand.Rand) *request {
	if k.Work > 0 {
		return &request{kind: k, came: w.clock.now, due: w.clock.now.Add(k.Deadline), returns: k.Returns}
	}
	model := drawIndex(k.Models, rnd.Float64())
	in, out := k.Own.draw(rnd), k.Out.draw(rnd)
	parts := make([]routing.Part, 0, 3)
	if k.System > 0 {
		parts = append(parts, routing.Part{ID: partID(k.Name, 1, 0), Tokens: k.System})
	}
	if k.Document > 0 {
		parts = append(parts, routing.Part{ID: partID(k.Name, 2, rnd.IntN(max(k.Documents, 1))), Tokens: k.Document})
	}
	w.result.drawn++
	parts = append(parts, routing.Part{ID: partID(k.Name, 3, w.result.drawn), Tokens: in})
	in += k.System + k.Document
	now := w.clock.now
	return &request{kind: k, model: model, parts: parts, in: in, out: out, came: now, due: now.Add(k.Deadline), returns: k.Returns}
}

func partID(kind string, level, number int) uint64 {
	return routing.ArtifactKey(kind) + uint64(level)<<32 + uint64(number)
}

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

// disturb brings a fault about and ends it.
func (w *world) disturb(f *Fault) {
	during := func(begin, end func()) {
		w.clock.after(f.From, begin)
		w.clock.after(f.Until, end)
	}
	switch {
	case f.Burst > 0:
		during(func() { w.bursts[f.Kind] = f.Burst }, func() { w.bursts[f.Kind] = 1 })
	case f.Crash && f.Plain:
		during(w.plains[f.Server].crash, func() { w.plains[f.Server].up = true })
	case f.Dark:
		during(func() { w.servers[f.Server].dark = true }, w.servers[f.Server].lightUp)
	case f.Crash:
		during(func() { w.crash(f.Server) }, func() { w.restart(f.Server) })
	case f.Plain:
		during(func() { w.plains[f.Server].slow = f.Slow }, func() { w.plains[f.Server].slow = 1 })
	default:
		during(func() { w.servers[f.Server].slow = f.Slow }, func() { w.servers[f.Server].slow = 1 })
	}
}

func (w *world) crash(i int) {
	w.servers[i].crash()
	w.clock.after(noticeDelay, func() {
		for _, e := range w.entries {
			e.lost(i)
		}
	})
}

// restart brings a server back with the models of its start; loads made in the
// course of the run are gone.
func (w *world) restart(i int) {
	w.servers[i].up = true
	w.clock.after(noticeDelay, func() {
		for _, e := range w.entries {
			e.back(i)
		}
	})
}

// tell has every entry tell the others what it has under way.
func (w *world) tell() {
	w.clock.after(tellEvery, func() {
		for _, from := range w.entries {
			for _, to := range w.entries {
				if from != to {
					to.hear(from)
				}
			}
		}
		for _, e := range w.entries {
			if w.Policy == Line {
				e.rescue()
			}
			e.decide()
			e.plain.decide()
		}
		if w.clock.now.Sub(w.began) < w.Length*2 {
			w.tell()
		}
	})
}
