package membership

import (
	"fmt"
	"testing"
	"time"
)

func BenchmarkMerge(b *testing.B) {
	const workers = 600
	now := time.Unix(1000, 0)
	var listed VMList
	for i := range workers {
		listed.Rows = append(listed.Rows, Row{Name: fmt.Sprintf("side-%d", i), Zone: fmt.Sprintf("zone-%d", i%4)})
	}
	members := Members{}
	members.Apply(Merge(members, listed, now))
	cases := []struct {
		name string
		o    Observation
	}{
		{"heartbeat", Contact{Name: "side-7", Incarnation: "i"}},
		{"list of 600", listed},
		{"tick of 600", Tick{}},
	}
	for _, c := range cases {
		b.Run(c.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				_ = Merge(members, c.o, now)
			}
		})
	}
}
