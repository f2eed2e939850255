package idempotency

import (
	"testing"
	"time"
)

// BenchmarkStep measures an action from Begin to Send.
func BenchmarkStep(b *testing.B) {
	now := time.Unix(1000, 0)
	action := Action{Team: "t", Key: "k", Entry: "entry-1", Token: "token", Retention: time.Hour, Deadline: now.Add(time.Minute)}
	events := []Event{Begin{}, Chosen{Server: "side-1", Incarnation: "i"}, Written{Version: "1"}}
	b.ReportAllocs()
	for b.Loop() {
		a := action
		var effect Effect
		for _, e := range events {
			a, effect = Step(a, e, now)
		}
		if _, ok := effect.(Send); !ok {
			b.Fatalf("the last effect is %T", effect)
		}
	}
}
