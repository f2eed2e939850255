package routing

import "time"

// A model may have many replicas, some with a cached prefix of the prompt. The
// promising ones are compared by their expected wait plus other costs.

const (
	maxComparedAll = 48              // with more replicas, only a sample is compared
	sampleSize     = 16              // two would suffice to avoid the longest queues
	overflowCost   = 4 * time.Second // a preempted request is prefilled again, and its stream pauses
	probeCost      = 4 * time.Second // cost of a second request at a server that is being probed
	workWeight     = 1.0             // weight of the added work, which delays later requests
	homeHitChance  = 0.5             // probability that another entry has sent the shared parts to the home
)

// Values of EngineChoice.Reason.
const (
	reasonHome     = "home of the prompt prefix"
	reasonCached   = "prompt prefix cached"
	reasonLeast    = "least expected wait with the artifact resident"
	reasonLoading  = "model or adapter to be loaded"
	reasonNoMemory = "no server has memory left"
	reasonTooLarge = "larger than any server's memory"
)

// ChooseEngine chooses the server with the least cost: the expected time to the
// first event, the work that the request adds there and other costs. If no
// server is known to have the shared parts of the prompt cached, it prefers
// their home, the server with the highest rendezvous weight, which is the same
// for all entries. Of many replicas it compares those with a cached prefix, the
// home and a sample of the rest. It returns ErrNoServer if no replica is usable
// and does not allocate.
func ChooseEngine(replicas []Replica, prefixes *PrefixCaches, p *Prompt, now time.Time) (EngineChoice, error) {
	var m prefixMatch
	if prefixes != nil {
		prefixes.find(p, &m)
		defer m.reset()
	}
	c := comparison{p: p, now: now, best: -1, second: -1, home: -1, uncachedShared: p.sharedTokens - m.maxCached()}
	if len(replicas) <= maxComparedAll {
		for i := range replicas {
			c.consider(&replicas[i], i)
		}
	} else {
		c.sample(replicas)
	}
	if c.best < 0 {
		return EngineChoice{}, ErrNoServer
	}
	if c.home >= 0 && c.home != c.best && c.homeCost-c.homeSaving() <= c.cost {
		c.second, c.best = c.best, c.home
	}
	return c.choice(replicas), nil
}

// comparison is the state of one choice.
type comparison struct {
	p          *Prompt
	now        time.Time
	best       int           // index in the replicas; -1 means none
	second     int           // the runner-up, likewise
	cost       time.Duration // of best
	secondCost time.Duration

	uncachedShared int // shared tokens of the prompt that no server is known to have cached
	home           int // index in the replicas; -1 means none
	homeCost       time.Duration
	homeWeight     uint64
}

// sample considers some of many replicas: those with a cached prefix, the home
// and a pseudo-random sample that differs between requests.
func (c *comparison) sample(replicas []Replica) {
	home := -1
	for i := range replicas {
		s := replicas[i].Server
		if s.cached > 0 {
			c.consider(&replicas[i], i)
		}
		if c.uncachedShared <= 0 || !s.Usable {
			continue
		}
		if w := c.rendezvousWeight(s); home < 0 || w > c.homeWeight {
			home, c.homeWeight = i, w
		}
	}
	c.homeWeight = 0
	if home >= 0 {
		c.consider(&replicas[home], home)
	}
	n := uint64(len(replicas))
	for k := range uint64(sampleSize) {
		i := int(scramble(c.p.sampleSeed+k) % n)
		c.consider(&replicas[i], i)
	}
}

// rendezvousWeight returns the weight of a server for the shared parts of the
// prompt. The usable server with the highest weight is their home.
func (c *comparison) rendezvousWeight(s *EngineServer) uint64 {
	return scramble(c.p.sharedKey ^ s.hash)
}

// consider compares one replica with the best ones so far and with the home.
func (c *comparison) consider(r *Replica, i int) {
	s := r.Server
	if !s.Usable || (c.p.Exclude != "" && s.Name == c.p.Exclude) {
		return
	}
	cost := c.costOf(r)
	switch {
	case i == c.best || i == c.second: // sampled twice
	case c.best < 0 || cost < c.cost:
		c.second, c.secondCost = c.best, c.cost
		c.best, c.cost = i, cost
	case c.second < 0 || cost < c.secondCost:
		c.second, c.secondCost = i, cost
	}
	if c.uncachedShared > 0 && r.Load == 0 {
		if w := c.rendezvousWeight(s); c.home < 0 || w > c.homeWeight {
			c.home, c.homeCost, c.homeWeight = i, cost, w
		}
	}
}

// costOf returns the expected wait at a replica plus other costs: the
// added work, pauses of the streams there, memory overflow and recent failures.
func (c *comparison) costOf(r *Replica) time.Duration {
	s := r.Server
	cached := s.cached
	load := s.Batch.Load(c.now)
	cost := s.estimate(&load, s.workAhead(&load, c.p, c.now), c.p, cached, c.now) + r.Load + r.Hold
	work := c.p.Work(cached)
	cost += time.Duration(float64(work)*workWeight) + s.pauseCost(&load, work, c.now)
	if s.overflows(&load, c.p) {
		cost += overflowCost
	}
	if penalty := s.Health.Penalty(c.now); penalty != 0 || s.Health.logSlowness != 0 {
		cost += penalty
		if s.Batch.own.Waiting > 0 && s.Health.Suspect(c.now) {
			cost += probeCost
		}
	}
	return cost
}

// homeSaving returns the cost that choosing the home is expected to save, since
// it may have the shared parts cached.
func (c *comparison) homeSaving() time.Duration {
	return time.Duration(float64(c.uncachedShared) * float64(c.p.PerToken) * homeHitChance * (1 + workWeight))
}

// choice returns the choice of the best replica, with the expected times there.
func (c *comparison) choice(replicas []Replica) EngineChoice {
	r := &replicas[c.best]
	s := r.Server
	load := s.Batch.Load(c.now)
	alone := s.estimate(&load, 0, c.p, s.cached, c.now)
	wait := s.estimate(&load, s.workAhead(&load, c.p, c.now), c.p, s.cached, c.now)
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
	s.Batch.updateUtilization(c.now)
	out.Yield = c.p.Priority > 0 && load.Urgent > 0 && s.Batch.utilization > maxUtilizationWithUrgent
	out.TooLarge = c.tooLarge(replicas)
	out.Reason = c.reason(r, &out)
	if c.second >= 0 {
		out.RunnerUp = replicas[c.second].Server
	}
	return out
}

// tooLarge reports whether the request exceeds the total memory of every
// replica.
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
		return reasonNoMemory
	case r.Load > 0:
		return reasonLoading
	case out.Cached > 0:
		return reasonCached
	case c.best == c.home:
		return reasonHome
	}
	return reasonLeast
}
