package routing

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// EngineServer is what an entry knows about a model server that it calls
// directly.
type EngineServer struct {
	hash        uint64
	cached      int // cached tokens of the prompt being routed; set only within ChooseEngine
	Name        string
	Usable      bool          // ready and not draining
	RoundTrip   time.Duration // network round trip
	Slots       int           // maximum number of requests in its batch; 0 means no limit
	KVTokens    int           // memory for prompts and answers, in tokens; 0 means no limit
	Batch       Batch
	PrefixCache *PrefixCache // nil if nothing is known about its prefix cache
	Health      Health
}

// NewEngineServer returns a usable server without requests. cache may be nil.
func NewEngineServer(name string, slots, kvTokens int, cache *PrefixCache) *EngineServer {
	s := &EngineServer{Name: name, Usable: true, Slots: slots, KVTokens: kvTokens, PrefixCache: cache, hash: xxhash.Sum64String(name)}
	if cache != nil {
		cache.server = s
	}
	return s
}

// Restarted resets what is known about an earlier incarnation of the server: its
// prefix cache, its health and the loads of other entries.
func (s *EngineServer) Restarted() {
	s.Batch.Restarted()
	s.Health = Health{}
	if s.PrefixCache != nil {
		s.PrefixCache.Clear()
	}
}

// Started records the first event of a request and updates the model's prefill
// time and the server's health. took is the time to the first event, expected
// the Wait of the EngineChoice.
func (s *EngineServer) Started(sent SentRequest, prefillTime *PrefillTime, expected, took time.Duration, now time.Time) {
	s.Batch.Started(sent, now)
	s.Health.prefilled(sent.Work, expected, took, now)
	if !s.Health.Suspect(now) {
		prefillTime.observe(sent.Work, expected, took)
	}
}

// Replica is a server that has loaded the model and adapter of a request, or can
// load them.
type Replica struct {
	Server *EngineServer
	Load   time.Duration // time until they are resident; 0 if they are
	Hold   time.Duration // for which the caller may have to hold the first event back
}

// EngineChoice is the choice of a model server, with its reason.
type EngineChoice struct {
	Server   *EngineServer
	Index    int           // in the replicas
	Wait     time.Duration // expected time to the first event
	Backlog  time.Duration // part of Wait: work before this request
	Cached   int           // tokens of the prompt that the server has cached
	Load     time.Duration // part of Wait: until model and adapter are resident
	Work     time.Duration // prefill time at a server of usual speed
	Step     time.Duration // expected time between two tokens of the answer
	Overflow bool          // the request would exceed the free memory of the server
	Full     bool          // all slots are in use
	TooLarge bool          // the request exceeds the memory of every replica
	Yield    bool          // the request would slow down more urgent answers too much
	Reason   string
	RunnerUp *EngineServer // nil if there was no other candidate
}

const (
	stepTime          = 5 * time.Millisecond  // batch step, which yields one token of every running request
	stepPerRunning    = 20 * time.Microsecond // added to stepTime by each running request
	chunkTokens       = 2048                  // prompt tokens prefilled in one step
	slotTime          = time.Second           // time for which a request uses its slot; matters only if all are in use
	usableMemoryShare = 0.97                  // share of KVTokens; the rest is lost in partly filled blocks

	// utilizationInStep is the part of the current utilization that an answer is
	// expected to experience: most load peaks end before a long answer does.
	utilizationInStep = 0.15

	// maxUtilizationWithUrgent is the utilization above which a server with urgent
	// requests takes no less urgent prompts. Its answers get only one token per
	// chunk of prefill, so that long answers miss their deadlines.
	maxUtilizationWithUrgent = 0.9
)

// Estimate returns the expected time to the first event of a request at a server
// that has its model loaded and the given number of prompt tokens cached.
func Estimate(s *EngineServer, p *Prompt, cached int, now time.Time) time.Duration {
	load := s.Batch.Load(now)
	return s.estimate(&load, s.workAhead(&load, p, now), p, cached, now)
}

// workAhead returns the work of the server before it starts with the prompt.
func (s *EngineServer) workAhead(load *Load, p *Prompt, now time.Time) time.Duration {
	backlog := s.Batch.backlog(load.Work, now)
	if p.Planned {
		backlog += load.reservedAhead(p.Priority)
	}
	return backlog
}

// estimate is Estimate with the server's load and the work ahead given.
func (s *EngineServer) estimate(load *Load, backlog time.Duration, p *Prompt, cached int, now time.Time) time.Duration {
	prefill := backlog + p.Work(cached)
	step := stepTime + time.Duration(load.Running)*stepPerRunning
	wait := prefill + step + time.Duration(float64(prefill)*p.stepsPerWork*float64(step))
	if beyond := load.Waiting + load.Running + 1 - s.Slots; beyond > 0 && s.Slots > 0 {
		wait += time.Duration(beyond) * slotTime / time.Duration(s.Slots)
	}
	if slow := s.Health.Slowness(now); slow != 1 {
		wait = time.Duration(float64(wait) * slow)
	}
	return wait + s.RoundTrip
}

// step returns the expected time between two tokens of an answer. While the
// server prefills, it processes a chunk of prompt tokens between any two.
func (s *EngineServer) step(load *Load, p *Prompt, now time.Time) time.Duration {
	step := stepTime + time.Duration(load.Running)*stepPerRunning
	step += time.Duration(utilizationInStep * s.Batch.utilization * float64(chunkTokens*p.PerToken))
	return time.Duration(float64(step) * s.Health.Slowness(now))
}

// overflows reports whether the server would have to preempt requests for lack
// of memory.
func (s *EngineServer) overflows(load *Load, p *Prompt) bool {
	return s.KVTokens > 0 && load.Tokens+p.Memory() > int(float64(s.KVTokens)*usableMemoryShare)
}
