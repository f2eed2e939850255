package batch

import (
	"slices"
	"time"

	"peridotchute.example/routing"
)

// Engine is the timing model of a model server, for a model of TimeFactor 1. The zero
// value of a field means its default.
type Engine struct {
	Slots          int           // requests in the batch
	MaxWaiting     int           // requests in the server's queue
	KVTokens       int           // capacity of the KV cache
	Step           time.Duration // to decode one token of every running request
	StepPerRequest time.Duration // added for each decoding request
	ChunkTokens    int           // prompt tokens prefilled in one step
	PrefillPerMS   float64       // prompt tokens prefilled per millisecond
	EventTokens    int           // tokens per event of a stream
}

func (e *Engine) setDefaults() {
	setDefault(&e.Slots, 64)
	setDefault(&e.MaxWaiting, 192)
	setDefault(&e.KVTokens, 240_000)
	setDefault(&e.Step, 5*time.Millisecond)
	setDefault(&e.StepPerRequest, 20*time.Microsecond)
	setDefault(&e.ChunkTokens, 2048)
	setDefault(&e.PrefillPerMS, 38)
	setDefault(&e.EventTokens, 5)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// generation is a request at a model server.
type generation struct {
	prompt      *routing.Prompt
	timeFactor  float64         // of the model
	urgency     int             // 0 is the most urgent
	generated   int             // answer tokens so far, including those of earlier servers
	prefillLeft int             // tokens still to be prefilled; -1 before the first admission
	seq         int             // order of arrival
	onEvent     func(done bool) // an event of the answer is sent
	onFailure   func()          // the server rejects the request or crashes
}

func (g *generation) tokens() int { return g.prompt.In + g.generated }

// server is an emulated model server with continuous batching.
type server struct {
	Engine
	clock       *clock
	up          bool
	silent      bool    // makes no progress
	slowFactor  float64 // multiplier of the step time
	cache       *routing.PrefixCache
	waiting     []*generation
	running     []*generation
	stepping    bool // a step is scheduled
	incarnation int  // counts crashes; a step of an earlier incarnation is ignored
	seq         int

	prefilledTokens int
	preempted       int // number of preemptions
}

func newServer(c *clock, e Engine) *server {
	return &server{Engine: e, clock: c, up: true, slowFactor: 1, cache: routing.NewPrefixCaches().NewCache()}
}

// submit queues a request. It returns false if the server rejects it.
func (s *server) submit(g *generation) bool {
	if len(s.waiting) >= s.MaxWaiting || g.prompt.Memory() > s.KVTokens {
		return false
	}
	s.seq++
	g.seq, g.prefillLeft = s.seq, -1
	s.enqueue(g)
	s.startStepping()
	return true
}

// enqueue inserts a request into the queue by urgency, then by arrival.
func (s *server) enqueue(g *generation) {
	at := 0
	for at < len(s.waiting) && (s.waiting[at].urgency < g.urgency || s.waiting[at].urgency == g.urgency && s.waiting[at].seq < g.seq) {
		at++
	}
	s.waiting = slices.Insert(s.waiting, at, g)
}

// cancel removes a request from the queue or the batch.
func (s *server) cancel(g *generation) {
	same := func(other *generation) bool { return other == g }
	s.waiting = slices.DeleteFunc(s.waiting, same)
	s.running = slices.DeleteFunc(s.running, same)
}

// crash fails all requests and clears the prefix cache.
func (s *server) crash() {
	failed := append(s.running, s.waiting...)
	s.up, s.stepping, s.running, s.waiting = false, false, nil, nil
	s.incarnation++
	s.cache.Clear()
	for _, g := range failed {
		g.onFailure()
	}
}

func (s *server) startStepping() {
	if !s.stepping && s.up && !s.silent {
		s.stepping = true
		s.step()
	}
}

// usedTokens returns the tokens that the batch occupies in the KV cache.
func (s *server) usedTokens() int {
	sum := 0
	for _, g := range s.running {
		sum += g.tokens()
	}
	return sum
}

// admit moves queued requests into the batch while slots and memory suffice.
func (s *server) admit() {
	for len(s.waiting) > 0 && len(s.running) < s.Slots {
		g := s.waiting[0]
		if s.usedTokens()+g.tokens() > s.KVTokens {
			return
		}
		s.waiting = s.waiting[1:]
		g.prefillLeft = max(g.tokens()-s.cache.Tokens(g.prompt), 1)
		s.running = append(s.running, g)
	}
	s.cache.Trim(s.KVTokens - s.usedTokens())
}

// endSilence ends a Silent fault.
func (s *server) endSilence() {
	s.silent = false
	s.startStepping()
}

// step schedules one step of the batch, which prefills one chunk and decodes one token
// of every request whose prefill is complete.
func (s *server) step() {
	s.admit()
	if len(s.running) == 0 || s.silent {
		s.stepping = false
		return
	}
	chunk, cost, slowest, decoding := s.ChunkTokens, 0.0, 0.0, 0
	parts := make([]int, len(s.running))
	for i, g := range s.running {
		slowest = max(slowest, g.timeFactor)
		if g.prefillLeft == 0 {
			decoding++
			continue
		}
		parts[i] = min(g.prefillLeft, chunk)
		chunk -= parts[i]
		cost += float64(parts[i]) / s.PrefillPerMS * g.timeFactor
	}
	duration := time.Duration(cost*float64(time.Millisecond)) + time.Duration(float64(s.Step+time.Duration(decoding)*s.StepPerRequest)*slowest)
	batch, incarnation := slices.Clone(s.running), s.incarnation
	s.clock.after(time.Duration(float64(duration)*s.slowFactor), func() {
		if incarnation == s.incarnation {
			s.emitTokens(batch, parts)
			s.preempt()
			s.step()
		}
	})
}

// emitTokens applies a finished step: it advances the prefill of batch[i] by parts[i]
// tokens, adds a token to the answer of each request whose prefill is complete and
// sends the events that are due.
func (s *server) emitTokens(batch []*generation, parts []int) {
	for i, g := range batch {
		if !slices.Contains(s.running, g) {
			continue
		}
		if g.prefillLeft > 0 {
			g.prefillLeft -= parts[i]
			s.prefilledTokens += parts[i]
			if g.prefillLeft > 0 {
				continue
			}
			s.cache.Add(g.prompt, s.KVTokens-s.usedTokens())
		}
		g.generated++
		done := g.generated >= g.prompt.Out
		if done {
			s.cancel(g)
		}
		if done || g.generated%s.EventTokens == 1 {
			g.onEvent(done)
		}
	}
}

// preempt moves requests back to the queue while the batch exceeds the memory: the
// least urgent first, of these the newest. They are prefilled again later.
func (s *server) preempt() {
	for s.usedTokens() > s.KVTokens {
		last := slices.MaxFunc(s.running, func(a, b *generation) int {
			if a.urgency != b.urgency {
				return a.urgency - b.urgency
			}
			return a.seq - b.seq
		})
		s.cancel(last)
		s.preempted++
		s.enqueue(last)
	}
}
