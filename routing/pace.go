package routing

import (
	"math"
	"time"
)

// Models differ in size and servers in speed. Prefill times are learned from the
// times to first events instead of being configured.

const (
	initialPerToken  = 26 * time.Microsecond   // a 70B model prefills about 38 tokens per ms
	minMeasuredWork  = 2 * time.Millisecond    // less prefill work gives no usable measurement
	perTokenStep     = 0.2                     // smoothing factor of the prefill time per token
	slownessStep     = 0.2                     // smoothing factor of the slowness
	maxDeviation     = 4.0                     // limits the ratio of measured to expected time, and its inverse
	maxSlowness      = 20.0                    // times the usual time
	minSlowness      = 0.5                     // times the usual time
	slownessHalfLife = 4 * time.Second         // for a server that is not measured again
	firstPenalty     = 20 * time.Millisecond   // small, since services normally fail a few requests
	maxPenalty       = 3200 * time.Millisecond // bounded, so that a failing server gets a probe now and then
	penaltyHalfLife  = time.Second
	suspectPenalty   = 50 * time.Millisecond // a server with a higher penalty is suspect
	suspectSlowness  = 2.5                   // a server with a higher slowness is suspect
)

// Pace is the learned prefill time per token of one model, over all servers. The
// zero value has initialPerToken. It is not safe for concurrent use.
type Pace struct {
	logFactor float64 // natural logarithm of the factor to initialPerToken
}

// PerToken returns the prefill time per token at a server of usual speed.
func (p *Pace) PerToken() time.Duration {
	return time.Duration(float64(initialPerToken) * math.Exp(p.logFactor))
}

// observe updates the prefill time with a measured time to a first event. work
// is the prefill part of the expected time.
func (p *Pace) observe(work, expected, took time.Duration) {
	if d, ok := deviation(work, expected, took); ok {
		p.logFactor += d * perTokenStep
	}
}

// deviation returns the logarithm of the ratio of measured to expected time,
// scaled by the share of prefill in the expected time. It returns false if the
// times give no usable measurement.
func deviation(work, expected, took time.Duration) (float64, bool) {
	if work < minMeasuredWork || expected <= 0 || took <= 0 {
		return 0, false
	}
	share := float64(work) / float64(max(expected, work))
	ratio := min(max(float64(took)/float64(expected), 1/maxDeviation), maxDeviation)
	return math.Log(ratio) * share, true
}

// Health tracks the recent failures and the speed of a server. Both decay, so
// that a bad server is tried again. The zero value is a healthy server of usual
// speed. It is not safe for concurrent use.
type Health struct {
	penalty     time.Duration
	penaltyAt   time.Time
	logSlowness float64 // natural logarithm of the slowness at slownessAt
	slownessAt  time.Time
}

// Failed records a failure of the server: a 5xx status of its own, a reset
// connection or a timeout. The penalty doubles with each further failure.
func (h *Health) Failed(now time.Time) {
	h.penalty = min(h.Penalty(now)*2+firstPenalty, maxPenalty)
	h.penaltyAt = now
}

// Silenced records that requests were withdrawn from a stalled server. A stall is
// noticed much later than a failure, so the penalty is the maximum at once.
func (h *Health) Silenced(now time.Time) {
	h.penalty, h.penaltyAt = maxPenalty, now
}

// succeeded halves the penalty.
func (h *Health) succeeded(now time.Time) {
	h.penalty = h.Penalty(now) / 2
	h.penaltyAt = now
}

// answered updates the slowness with the expected and the measured time of an
// answer.
func (h *Health) answered(expected, took time.Duration, now time.Time) {
	ratio := min(max(float64(took)/float64(expected), 1/maxDeviation), maxDeviation)
	h.adjustSlowness(math.Log(ratio)*slownessStep, now)
}

// prefilled records a first event. It reduces the penalty and updates the
// slowness with the expected and the measured time to the event. work is the
// prefill part of the expected time.
func (h *Health) prefilled(work, expected, took time.Duration, now time.Time) {
	h.succeeded(now)
	if d, ok := deviation(work, expected, took); ok {
		h.adjustSlowness(d*slownessStep, now)
	}
}

func (h *Health) adjustSlowness(change float64, now time.Time) {
	h.logSlowness = min(max(h.decayedLogSlowness(now)+change, math.Log(minSlowness)), math.Log(maxSlowness))
	h.slownessAt = now
}

// Penalty returns the wait to add to estimates for recent failures.
func (h *Health) Penalty(now time.Time) time.Duration {
	if h.penalty == 0 {
		return 0
	}
	return time.Duration(float64(h.penalty) * decay(now.Sub(h.penaltyAt), penaltyHalfLife))
}

// Slowness returns the ratio of the server's times to the usual ones. 1 is the
// usual speed, more is slower.
func (h *Health) Slowness(now time.Time) float64 {
	if h.logSlowness == 0 {
		return 1
	}
	return math.Exp(h.decayedLogSlowness(now))
}

// Suspect reports whether the server should get only one request at a time, as a
// probe.
func (h *Health) Suspect(now time.Time) bool {
	return h.Penalty(now) > suspectPenalty || h.Slowness(now) > suspectSlowness
}

func (h *Health) decayedLogSlowness(now time.Time) float64 {
	if h.logSlowness == 0 {
		return 0
	}
	return h.logSlowness * decay(now.Sub(h.slownessAt), slownessHalfLife)
}

// decay returns the factor by which a value has decayed after age.
func decay(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(max(age, 0)) / float64(halfLife))
}
