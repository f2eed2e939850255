package routing

import "time"

// Many replicas, some of which keep parts of the prompt: all that are worth it
// are compared, by their expected waits and by what else speaks against them.

const (
	comparedAll  = 48              // replicas of a model; beyond, a sample is compared
	sampled      = 16              // far above the two that avoid the longest queues
	overflowCost = 4 * time.Second // a preempted request is read anew, and its stream pauses
	probeCost    = 4 * time.Second // a second request at a server that is being probed
	workWeight   = 1.0             // the work that a choice adds delays those who come after
	finishWeight = 0.1             // long answers go where little is prefilled meanwhile
	homeWeight   = 0.5             // the chance that another entry has sent the shared parts home
)

// Reasons of choices.
const (
	reasonHome     = "home of the prompt prefix"
	reasonCached   = "prompt prefix cached"
	reasonLeast    = "least expected wait among residents"
	reasonLoading  = "model or adapter loads there"
	reasonOverfull = "no server has memory left"
	reasonTooLarge = "larger than any server's memory"
)

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
	s.Batch.account(c.now)
	out.Yield = c.p.Priority > 0 && load.Urgent > 0 && s.Batch.duty > dutyBesideUrgent
	out.TooLarge = c.tooLarge(replicas)
	out.Reason = c.reason(r, &out)
	if c.second >= 0 {
		out.RunnerUp = replicas[c.second].Server
	}
	return out
}

// tooLarge reports whether no replica has the memory, even when it runs nothing else.
func (c *comparison) tooLarge(replicas []Replica) bool {
	for i := range replicas {
		s := replicas[i].Server
		if s.KVTokens <= 0 || c.p.Memory() <= s.KVTokens {
			return false
		}
	}
	return true
}

func (c *comparison) reason(r *Replica, out *EngineChoice) string {
	switch {
	case out.TooLarge:
		return reasonTooLarge
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
