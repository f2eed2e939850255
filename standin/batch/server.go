package batch

import (
	"slices"
	"time"

	"peridotchute.example/routing"
)

// Engine is the timing model of a model server at pace 1. The zero value of a
// field means its default.
type Engine struct {
	Slots        int           // requests in the batch
	Queue        int           // requests waiting beside them
	KVTokens     int           // memory of prompts and answers
	Step         time.Duration // one token of every running request
	StepPerSlot  time.Duration // more for each running request
	ChunkTokens  int           // prompt tokens prefilled in one step
	PrefillPerMS float64       // prompt tokens in a ms
	EventTokens  int           // tokens in one event of a stream
}

func (e *Engine) fill() {
	orDefault(&e.Slots, 64)
	orDefault(&e.Queue, 192)
	orDefault(&e.KVTokens, 240_000)
	orDefault(&e.Step, 5*time.Millisecond)
	orDefault(&e.StepPerSlot, 20*time.Microsecond)
	orDefault(&e.ChunkTokens, 2048)
	orDefault(&e.PrefillPerMS, 38)
	orDefault(&e.EventTokens, 5)
}

func orDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// run is one request at a server.
type run struct {
	prompt  *routing.Prompt
	pace    float64 // time against a model of pace 1
	urgency int     // 0 is admitted first
	made    int     // tokens of the answer
	prefill int     // tokens still to be read; -1 while it waits
	seq     int
	event   func(done bool) // a piece of the answer was made
	failed  func()          // the server has gone
}

func (r *run) tokens() int { return r.prompt.In + r.made }

// server is one emulated model server.
type server struct {
	Engine
	clock    *clock
	up       bool
	dark     bool
	slow     float64 // times as long as usual
	cache    *routing.PrefixCache
	waiting  []*run
	running  []*run
	stepping bool
	life     int // counts restarts; steps of an earlier life are void
	seq      int

	read      int // prompt tokens prefilled
	preempted int
}

func newServer(c *clock, e Engine) *server {
	return &server{Engine: e, clock: c, up: true, slow: 1, cache: routing.NewPrefixCaches().NewCache()}
}

// submit takes a request; false means that it was rejected without running.
func (s *server) submit(r *run) bool {
	if len(s.waiting) >= s.Queue || r.prompt.Memory() > s.KVTokens {
		return false
	}
	s.seq++
	r.seq, r.prefill = s.seq, -1
	s.enqueue(r)
	s.wake()
	return true
}

func (s *server) enqueue(r *run) {
	at := 0
	for at < len(s.waiting) && (s.waiting[at].urgency < r.urgency || s.waiting[at].urgency == r.urgency && s.waiting[at].seq < r.seq) {
		at++
	}
	s.waiting = slices.Insert(s.waiting, at, r)
}

// cancel drops a request whose client or entry has left.
func (s *server) cancel(r *run) {
	same := func(other *run) bool { return other == r }
	s.waiting = slices.DeleteFunc(s.waiting, same)
	s.running = slices.DeleteFunc(s.running, same)
}

// crash loses all requests and whatever was kept.
func (s *server) crash() {
	lost := append(s.running, s.waiting...)
	s.up, s.stepping, s.running, s.waiting = false, false, nil, nil
	s.life++
	s.cache.Clear()
	for _, r := range lost {
		r.failed()
	}
}

func (s *server) wake() {
	if !s.stepping && s.up && !s.dark {
		s.stepping = true
		s.step()
	}
}

func (s *server) used() int {
	sum := 0
	for _, r := range s.running {
		sum += r.tokens()
	}
	return sum
}

// admit moves waiting requests into the batch while slots and memory last.
func (s *server) admit() {
	for len(s.waiting) > 0 && len(s.running) < s.Slots {
		r := s.waiting[0]
		if s.used()+r.tokens() > s.KVTokens {
			return
		}
		s.waiting = s.waiting[1:]
		r.prefill = max(r.tokens()-s.cache.Tokens(r.prompt), 1)
		s.running = append(s.running, r)
	}
	s.cache.Trim(s.KVTokens - s.used())
}

// lightUp ends a time in which the server was cut off.
func (s *server) lightUp() {
	s.dark = false
	s.wake()
}

// step prefills one chunk and decodes one token of every request that is read.
func (s *server) step() {
	s.admit()
	if len(s.running) == 0 || s.dark {
		s.stepping = false
		return
	}
	chunk, cost, slowest, decoding := s.ChunkTokens, 0.0, 0.0, 0
	parts := make([]int, len(s.running))
	for i, r := range s.running {
		slowest = max(slowest, r.pace)
		if r.prefill == 0 {
			decoding++
			continue
		}
		parts[i] = min(r.prefill, chunk)
		chunk -= parts[i]
		cost += float64(parts[i]) / s.PrefillPerMS * r.pace
	}
	took := time.Duration(cost*float64(time.Millisecond)) + time.Duration(float64(s.Step+time.Duration(decoding)*s.StepPerSlot)*slowest)
	batch, life := slices.Clone(s.running), s.life
	s.clock.after(time.Duration(float64(took)*s.slow), func() {
		if life == s.life {
			s.finish(batch, parts)
			s.preempt()
			s.step()
		}
	})
}

// finish gives out what a step has made.
func (s *server) finish(batch []*run, parts []int) {
	for i, r := range batch {
		if !slices.Contains(s.running, r) {
			continue
		}
		if r.prefill > 0 {
			r.prefill -= parts[i]
			s.read += parts[i]
			if r.prefill > 0 {
				continue
			}
			s.cache.Add(r.prompt, s.KVTokens-s.used())
		}
		r.made++
		done := r.made >= r.prompt.Out
		if done {
			s.cancel(r)
		}
		if done || r.made%s.EventTokens == 1 {
			r.event(done)
		}
	}
}

// preempt makes room when the batch has outgrown the memory: the newest of the
// least urgent requests are read anew later.
func (s *server) preempt() {
	for s.used() > s.KVTokens {
		last := slices.MaxFunc(s.running, func(a, b *run) int {
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
