package pool

import (
	"fmt"
	"io"
	"testing"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"peridotchute.example/config"
	"peridotchute.example/entry/serving/link"
	"peridotchute.example/membership"
	"peridotchute.example/rpc"
)

const engines = "engines"

// newTestPool returns a Pool with n live servers, added in mixed order.
func newTestPool(n int) *Pool {
	log := logrus.New()
	log.SetOutput(io.Discard)
	holder := config.NewHolder()
	holder.Offer(&config.Configuration{Version: 1})
	p := New(Options{Handlers: rpc.NewHandlers(), Holder: holder, Link: link.NewMeter(), Log: log})
	for i := range n {
		name := fmt.Sprintf("side-%03d", (i*7)%n)
		p.add(&Server{name: name, stop: func() {}, limit: newLimit()})
		p.servers[name].setMember(membership.Member{Name: name, Pool: engines, State: membership.StateLive})
	}
	return p
}

func TestServersStaySortedByName(t *testing.T) {
	p := newTestPool(10)
	before := p.Servers()
	p.remove("side-004")
	p.remove("side-004")
	after := p.Servers()
	assert.Equal(t, len(before), 10)
	assert.Equal(t, len(after), 9)
	for i := 1; i < len(after); i++ {
		assert.Assert(t, after[i-1].VM().Name < after[i].VM().Name)
	}
	_, known := p.Server("side-004")
	assert.Assert(t, !known)
}

func BenchmarkCandidates(b *testing.B) {
	for _, n := range []int{60, 600} {
		b.Run(fmt.Sprintf("workers=%d", n), func(b *testing.B) {
			p := newTestPool(n)
			b.ReportAllocs()
			for b.Loop() {
				if len(p.Candidates(engines, nil, nil)) != n {
					b.Fatal("candidates are missing")
				}
			}
		})
	}
}

func BenchmarkObserve(b *testing.B) {
	p := newTestPool(600)
	for b.Loop() {
		p.observe(membership.Contact{Name: "side-007", Incarnation: "i", Answered: true})
	}
}
