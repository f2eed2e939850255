package routing

import (
	"math"
	"time"
)

// Models of different size and servers of different speed: prefill rates are
// learned from the times to first events, never assumed.

const (
	startPerToken  = 26 * time.Microsecond   // a 70B model reads some 38 tokens a ms
	leastTelling   = 2 * time.Millisecond    // shorter work tells no rate
	paceStep       = 0.2                     // share of a deviation that the model's pace takes over
	speedStep      = 0.2                     // share of a deviation that the server's speed takes over
	mostDeviation  = 4.0                     // one measurement counts at most as so many times too long or short
	slowestServer  = 20.0                    // times the usual time
	fastestServer  = 0.5                     // times the usual time
	speedRecovers  = 4 * time.Second         // half-life of a speed that is not measured again
	failurePenalty = 20 * time.Millisecond   // services fail a few requests by their nature
	mostPenalty    = 3200 * time.Millisecond // a server that fails all gets a probe now and then
	penaltyHalves  = time.Second             // half-life
	suspectPenalty = 50 * time.Millisecond   // above it a server gets one request at a time
	suspectSlow    = 2.5                     // times the usual time; above it, too
)

// Pace is the learned prefill time of one model's tokens over all servers. The
// zero value has the start value. It is not safe for concurrent use.
type Pace struct {
	factor float64 // of startPerToken, as a natural logarithm
}

// PerToken returns the prefill time of a token at a server of usual speed.
func (p *Pace) PerToken() time.Duration {
	return time.Duration(float64(startPerToken) * math.Exp(p.factor))
}

// observe learns from a first event that was expected after expected, of which
// work was prefill, and came after took.
func (p *Pace) observe(work, expected, took time.Duration) {
	if d, ok := deviation(work, expected, took); ok {
		p.factor += d * paceStep
	}
}

// deviation is the logarithm of how much longer than expected the prefill took.
func deviation(work, expected, took time.Duration) (float64, bool) {
	if work < leastTelling || expected <= 0 || took <= 0 {
		return 0, false
	}
	share := float64(work) / float64(max(expected, work))
	ratio := min(max(float64(took)/float64(expected), 1/mostDeviation), mostDeviation)
	return math.Log(ratio) * share, true
}

// Health is how a server has lately answered: failures, and its speed against
// the usual one. Both fade, so that a server is tried again. The zero value is
// a sound server of usual speed. It is not safe for concurrent use.
type Health struct {
	penalty   time.Duration
	penaltyAt time.Time
	slow      float64 // logarithm of its time against the usual one
	slowAt    time.Time
}

// Failed counts an answer that speaks against the server: a 5xx of its own, a
// reset, or none in time. The price doubles with each further one.
func (h *Health) Failed(now time.Time) {
	h.penalty = min(h.Penalty(now)*2+failurePenalty, mostPenalty)
	h.penaltyAt = now
}

// Silenced counts that requests were taken back from a server that showed no
// progress. Unlike a failure it is told late, so it weighs as much as many.
func (h *Health) Silenced(now time.Time) {
	h.penalty, h.penaltyAt = mostPenalty, now
}

// succeeded halves the price of earlier failures.
func (h *Health) succeeded(now time.Time) {
	h.penalty = h.Penalty(now) / 2
	h.penaltyAt = now
}

// answered learns from an answer that was expected after expected and came after took.
func (h *Health) answered(expected, took time.Duration, now time.Time) {
	ratio := min(max(float64(took)/float64(expected), 1/mostDeviation), mostDeviation)
	h.learn(math.Log(ratio)*speedStep, now)
}

// prefilled learns from a first event that was expected after expected, of
// which work was prefill, and came after took.
func (h *Health) prefilled(work, expected, took time.Duration, now time.Time) {
	h.succeeded(now)
	if d, ok := deviation(work, expected, took); ok {
		h.learn(d*speedStep, now)
	}
}

func (h *Health) learn(change float64, now time.Time) {
	h.slow = min(max(h.fadedSlow(now)+change, math.Log(fastestServer)), math.Log(slowestServer))
	h.slowAt = now
}

// Penalty returns the wait to add for recent failures.
func (h *Health) Penalty(now time.Time) time.Duration {
	if h.penalty == 0 {
		return 0
	}
	return time.Duration(float64(h.penalty) * halved(now.Sub(h.penaltyAt), penaltyHalves))
}

// Slowness returns the server's time against the usual one; 1 is usual.
func (h *Health) Slowness(now time.Time) float64 {
	if h.slow == 0 {
		return 1
	}
	return math.Exp(h.fadedSlow(now))
}

// Suspect reports whether the server should get a request only as a probe.
func (h *Health) Suspect(now time.Time) bool {
	return h.Penalty(now) > suspectPenalty || h.Slowness(now) > suspectSlow
}

func (h *Health) fadedSlow(now time.Time) float64 {
	if h.slow == 0 {
		return 0
	}
	return h.slow * halved(now.Sub(h.slowAt), speedRecovers)
}

func halved(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(max(age, 0)) / float64(halfLife))
}
