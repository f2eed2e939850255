package routing

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// A hot model, long prompts among short ones, and shared prefixes over several
// replicas: each request goes where its first token is expected soonest.

// EngineServer is what an entry knows of one model server that it calls directly.
type EngineServer struct {
	hash      uint64
	cached    int // of the prompt that is being routed; scratch of ChooseEngine
	Name      string
	Usable    bool // ready and not leaving
	RoundTrip time.Duration
	Slots     int // requests in its batch
	KVTokens  int // memory of prompts and answers
	Batch     Batch
	Kept      *Kept // nil when nothing is known of its cache
	Health    Health
}

// NewEngineServer returns a server of which nothing else is known.
func NewEngineServer(name string, slots, kvTokens int, kept *Kept) *EngineServer {
	s := &EngineServer{Name: name, Usable: true, Slots: slots, KVTokens: kvTokens, Kept: kept, hash: xxhash.Sum64String(name)}
	if kept != nil {
		kept.server = s
	}
	return s
}

// Restarted forgets what an earlier incarnation of the server kept and what
// other entries had under way there.
func (s *EngineServer) Restarted() {
	s.Batch.Restarted()
	s.Health = Health{}
	if s.Kept != nil {
		s.Kept.Clear()
	}
}

// Replica is a server that holds the model and adapter of a request, or will
// hold them after Load.
type Replica struct {
	Server *EngineServer
	Load   time.Duration // 0 when resident
}

// EngineChoice is the decision with its reason.
type EngineChoice struct {
	Server   *EngineServer
	Index    int           // in the replicas
	Wait     time.Duration // expected until the first event
	Backlog  time.Duration // of it, prefill of the requests before this one
	Cached   int           // tokens of the prompt that the server keeps
	Load     time.Duration // until the model and adapter are resident
	Work     time.Duration // prefill, at a server of usual speed
	Step     time.Duration // expected between two tokens of the answer
	Overflow bool          // the server's memory is too small for what it runs and this
	Full     bool          // all slots are taken
	Reason   string
	RunnerUp *EngineServer // nil when there was no other
}

const (
	stepTime       = 5 * time.Millisecond // one token of every running request
	stepPerRunning = 20 * time.Microsecond
	chunkTokens    = 2048            // prompt tokens prefilled in one step
	usualRun       = time.Second     // how long a request holds its slot; matters beyond all slots only
	overflowCost   = 4 * time.Second // a preempted request is read anew, and its stream pauses
	probeCost      = 4 * time.Second // a second request at a server that is being probed
	memoryInUse    = 0.97            // of KVTokens: blocks are partly filled
	comparedAll    = 48              // replicas of a model; beyond, a sample is compared
	sampled        = 16              // far above the two that avoid the longest queues
	workWeight     = 1.0             // the work that a choice adds delays those who come after
	finishWeight   = 0.1             // long answers go where little is prefilled meanwhile
	homeWeight     = 0.5             // the chance that another entry has sent the shared parts home
	reasonHome     = "home of the prompt prefix"
	reasonCached   = "prompt prefix cached"
	reasonLeast    = "least expected wait among residents"
	reasonLoading  = "model or adapter loads there"
	reasonOverfull = "no server has memory left"
)

// Estimate returns the time until the first event of a request at a server
// that keeps cached tokens of its prompt and holds its model.
func Estimate(s *EngineServer, p *Prompt, cached int, now time.Time) time.Duration {
	load := s.Batch.Load(now)
	return s.estimate(&load, s.before(&load, p, now), p, cached, now)
}

// before returns the work that the server does before it begins with the prompt.
func (s *EngineServer) before(load *Load, p *Prompt, now time.Time) time.Duration {
	backlog := s.Batch.backlog(load.Work, now)
	if p.Planned {
		backlog += load.ahead(p.Priority)
	}
	return backlog
}

func (s *EngineServer) estimate(load *Load, backlog time.Duration, p *Prompt, cached int, now time.Time) time.Duration {
	prefill := backlog + p.Work(cached)
	step := stepTime + time.Duration(load.Running)*stepPerRunning
	wait := prefill + step + time.Duration(float64(prefill)*p.stepsPerWork*float64(step))
	if beyond := load.Waiting + load.Running + 1 - s.Slots; beyond > 0 && s.Slots > 0 {
		wait += time.Duration(beyond) * usualRun / time.Duration(s.Slots)
	}
	if slow := s.Health.Slowness(now); slow != 1 {
		wait = time.Duration(float64(wait) * slow)
	}
	return wait + s.RoundTrip
}

// step returns the expected time between two tokens of an answer. While the
// server prefills, a chunk goes between any two.
func (s *EngineServer) step(load *Load, p *Prompt, now time.Time) time.Duration {
	step := stepTime + time.Duration(load.Running)*stepPerRunning
	step += time.Duration(0.15 * s.Batch.duty * float64(chunkTokens*p.PerToken))
	return time.Duration(float64(step) * s.Health.Slowness(now))
}

// overflows reports whether the server would have to preempt requests.
func (s *EngineServer) overflows(load *Load, p *Prompt) bool {
	return s.KVTokens > 0 && load.Tokens+p.Memory() > int(float64(s.KVTokens)*memoryInUse)
}

// comparison is the state of one choice.
type comparison struct {
	p      *Prompt
	now    time.Time
	best   int // index, or -1
	second int
	cost   time.Duration // of best
	next   time.Duration // of second

	missing  int // shared tokens of the prompt that no server is known to keep
	home     int // index, or -1
	homeCost time.Duration
	weight   uint64
}

// ChooseEngine takes the server with the least expected time to the first
// event, weighed with the work that it adds there. Shared parts that no server
// is known to keep draw a request to their home, on which all entries agree.
// Of many replicas it compares those that keep parts of the prompt, its home
// and a sample of the rest. It allocates nothing.
func ChooseEngine(replicas []Replica, prefixes *Prefixes, p *Prompt, now time.Time) (EngineChoice, error) {
	var m match
	if prefixes != nil {
		prefixes.find(p, &m)
		defer m.reset()
	}
	c := comparison{p: p, now: now, best: -1, second: -1, home: -1, missing: p.shared - m.most()}
	if len(replicas) <= comparedAll {
		for i := range replicas {
			c.consider(&replicas[i], i)
		}
	} else {
		c.sample(replicas)
	}
	if c.best < 0 {
		return EngineChoice{}, ErrNoServer
	}
	if c.home >= 0 && c.home != c.best && c.homeCost-c.homeGain() <= c.cost {
		c.second, c.best = c.best, c.home
	}
	return c.choice(replicas), nil
}

// sample considers some of many replicas: the known keepers, the home, and
// sampled others that differ from request to request.
func (c *comparison) sample(replicas []Replica) {
	home := -1
	for i := range replicas {
		s := replicas[i].Server
		if s.cached > 0 {
			c.consider(&replicas[i], i)
		}
		if c.missing <= 0 || !s.Usable {
			continue
		}
		if w := c.homeWeight(s); home < 0 || w > c.weight {
			home, c.weight = i, w
		}
	}
	c.weight = 0
	if home >= 0 {
		c.consider(&replicas[home], home)
	}
	n := uint64(len(replicas))
	for k := range uint64(sampled) {
		i := int(scramble(c.p.draw+k) % n)
		c.consider(&replicas[i], i)
	}
}

func (c *comparison) homeWeight(s *EngineServer) uint64 { return scramble(c.p.sharedKey ^ s.hash) }

func (c *comparison) consider(r *Replica, i int) {
	s := r.Server
	if !s.Usable || (c.p.Exclude != "" && s.Name == c.p.Exclude) {
		return
	}
	cost := c.price(r)
	switch {
	case i == c.best || i == c.second: // sampled twice
	case c.best < 0 || cost < c.cost:
		c.second, c.next = c.best, c.cost
		c.best, c.cost = i, cost
	case c.second < 0 || cost < c.next:
		c.second, c.next = i, cost
	}
	if c.missing > 0 && r.Load == 0 {
		if w := c.homeWeight(s); c.home < 0 || w > c.weight {
			c.home, c.homeCost, c.weight = i, cost, w
		}
	}
}

// price is the expected wait with what else speaks against a server.
func (c *comparison) price(r *Replica) time.Duration {
	s := r.Server
	cached := s.cached
	load := s.Batch.Load(c.now)
	cost := s.estimate(&load, s.before(&load, c.p, c.now), c.p, cached, c.now) + r.Load
	cost += time.Duration(float64(c.p.Work(cached)) * workWeight)
	cost += time.Duration(finishWeight * float64(c.p.Out) * s.Batch.duty * float64(chunkTokens*c.p.PerToken))
	if s.overflows(&load, c.p) {
		cost += overflowCost
	}
	if penalty := s.Health.Penalty(c.now); penalty != 0 || s.Health.slow != 0 {
		cost += penalty
		if s.Batch.own.Waiting > 0 && s.Health.Suspect(c.now) {
			cost += probeCost
		}
	}
	return cost
}

// homeGain is the prefill that the home saves if it has the shared parts.
func (c *comparison) homeGain() time.Duration {
	return time.Duration(float64(c.missing) * float64(c.p.PerToken) * homeWeight * (1 + workWeight))
}

func (c *comparison) choice(replicas []Replica) EngineChoice {
	r := &replicas[c.best]
	s := r.Server
	load := s.Batch.Load(c.now)
	alone := s.estimate(&load, 0, c.p, s.cached, c.now)
	wait := s.estimate(&load, s.before(&load, c.p, c.now), c.p, s.cached, c.now)
	out := EngineChoice{
		Server:   s,
		Index:    c.best,
		Wait:     wait + r.Load,
		Backlog:  wait - alone,
		Cached:   s.cached,
		Load:     r.Load,
		Work:     c.p.Work(s.cached),
		Step:     s.step(&load, c.p, c.now),
		Full:     s.Slots > 0 && load.Waiting+load.Running >= s.Slots,
		Overflow: s.overflows(&load, c.p),
	}
	out.Reason = c.reason(r, &out)
	if c.second >= 0 {
		out.RunnerUp = replicas[c.second].Server
	}
	return out
}

func (c *comparison) reason(r *Replica, out *EngineChoice) string {
	switch {
	case out.Overflow:
		return reasonOverfull
	case r.Load > 0:
		return reasonLoading
	case out.Cached > 0:
		return reasonCached
	case c.best == c.home:
		return reasonHome
	}
	return reasonLeast
}
