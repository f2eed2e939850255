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

// Started records the first event of a request, which came after took, and
// learns from it the model's pace and the server's speed. expected is the Wait
// of the choice by which it was sent.
func (s *EngineServer) Started(sent Sending, pace *Pace, expected, took time.Duration, now time.Time) {
	s.Batch.Started(sent, now)
	s.Health.prefilled(sent.Work, expected, took, now)
	if !s.Health.Suspect(now) {
		pace.observe(sent.Work, expected, took)
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
	TooLarge bool          // for the memory of any of the replicas
	Yield    bool          // more urgent answers there would become too slow
	Reason   string
	RunnerUp *EngineServer // nil when there was no other
}

const (
	stepTime       = 5 * time.Millisecond // one token of every running request
	stepPerRunning = 20 * time.Microsecond
	chunkTokens    = 2048        // prompt tokens prefilled in one step
	usualRun       = time.Second // how long a request holds its slot; matters beyond all slots only
	memoryInUse    = 0.97        // of KVTokens: blocks are partly filled

	// dutyInStep is the part of the present duty that an answer is expected to
	// see: most loads are over before a long answer is.
	dutyInStep = 0.15

	// dutyBesideUrgent is the duty above which a server takes less urgent
	// prompts only when it runs no urgent requests: answers get a token for each
	// chunk of prefill there, and long ones miss their deadlines.
	dutyBesideUrgent = 0.9
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
	step += time.Duration(dutyInStep * s.Batch.duty * float64(chunkTokens*p.PerToken))
	return time.Duration(float64(step) * s.Health.Slowness(now))
}

// overflows reports whether the server would have to preempt requests.
func (s *EngineServer) overflows(load *Load, p *Prompt) bool {
	return s.KVTokens > 0 && load.Tokens+p.Memory() > int(float64(s.KVTokens)*memoryInUse)
}
