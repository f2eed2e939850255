package survival

import (
	"time"

	"peridotchute.example/cmd/peridotchute-load/measure"
)

const (
	bin       = 250 * time.Millisecond
	recovered = 0.95 // share of the requests of a bin that must be good again
)

// timeline is the share of good requests by the time at which they were sent.
type timeline struct {
	sent, good []float64
}

func newTimeline(events []event, target time.Duration) timeline {
	var t timeline
	for _, e := range events {
		i := int(e.sent / bin)
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
		at := time.Duration(i) * bin
		if at >= from && at < to {
			sent += t.sent[i]
			good += t.good[i]
		}
	}
	return sent, good
}

// share returns the share of good requests sent between two times.
func (t timeline) share(from, to time.Duration) float64 {
	sent, good := t.count(from, to)
	if sent == 0 {
		return 0
	}
	return good / sent
}

// failed returns how many requests sent between two times were not good.
func (t timeline) failed(from, to time.Duration) float64 {
	sent, good := t.count(from, to)
	return sent - good
}

// recovery returns the time from the loss until the end of the last bin before
// to in which too few requests were good; 0 when there was none.
func (t timeline) recovery(loss, to time.Duration) time.Duration {
	var last time.Duration
	for i := range t.sent {
		at := time.Duration(i) * bin
		if at >= loss-bin && at < to && t.sent[i] > 0 && t.good[i]/t.sent[i] < recovered {
			last = at + bin - loss
		}
	}
	return max(last, 0)
}

// points returns goodput a second over time.
func (t timeline) points() []measure.Point {
	out := make([]measure.Point, len(t.good))
	for i, good := range t.good {
		out[i] = measure.Point{X: (time.Duration(i) * bin).Seconds(), Y: good / bin.Seconds()}
	}
	return out
}
