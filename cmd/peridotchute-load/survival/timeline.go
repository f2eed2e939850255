package survival

import (
	"time"

	"peridotchute.example/cmd/peridotchute-load/measure"
)

const (
	binWidth       = 250 * time.Millisecond
	recoveredShare = 0.95 // share of good requests in a bin that counts as recovered
)

// timeline counts requests and good requests in bins of their send time.
type timeline struct {
	sent, good []float64
}

func newTimeline(events []event, target time.Duration) timeline {
	var t timeline
	for _, e := range events {
		i := int(e.sent / binWidth)
		for len(t.sent) <= i {
			t.sent = append(t.sent, 0)
			t.good = append(t.good, 0)
		}
		t.sent[i]++
		if e.good(target) {
			t.good[i]++
		}
	}
	return t
}

// count returns the requests sent between two times, and the good ones.
func (t timeline) count(from, to time.Duration) (sent, good float64) {
	for i := range t.sent {
		at := time.Duration(i) * binWidth
		if at >= from && at < to {
			sent += t.sent[i]
			good += t.good[i]
		}
	}
	return sent, good
}

// goodShare returns the share of good requests among those sent between two times.
func (t timeline) goodShare(from, to time.Duration) float64 {
	sent, good := t.count(from, to)
	if sent == 0 {
		return 0
	}
	return good / sent
}

// failed returns the number of requests sent between two times that were not good.
func (t timeline) failed(from, to time.Duration) float64 {
	sent, good := t.count(from, to)
	return sent - good
}

// recoveryTime returns the time from the loss to the end of the last bin in which the
// share of good requests is below recoveredShare. It ignores bins that start at the
// time to or later, and returns 0 if there is no such bin.
func (t timeline) recoveryTime(loss, to time.Duration) time.Duration {
	var last time.Duration
	for i := range t.sent {
		at := time.Duration(i) * binWidth
		if at >= loss-binWidth && at < to && t.sent[i] > 0 && t.good[i]/t.sent[i] < recoveredShare {
			last = at + binWidth - loss
		}
	}
	return max(last, 0)
}

// goodputPoints returns the good requests per second over time.
func (t timeline) goodputPoints() []measure.Point {
	out := make([]measure.Point, len(t.good))
	for i, good := range t.good {
		out[i] = measure.Point{X: (time.Duration(i) * binWidth).Seconds(), Y: good / binWidth.Seconds()}
	}
	return out
}
