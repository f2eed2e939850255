package pool

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"peridotchute.example/common/wire"
	"peridotchute.example/config"
	"peridotchute.example/rpc"
	"peridotchute.example/store"
)

const waitTimeout = 30 * time.Second

// fixedList is a VM list that never changes.
type fixedList []store.VM

func (l fixedList) List(context.Context) ([]store.VM, error) { return l, nil }

// fakeSide is a side process that sends a report on each call of report.
type fakeSide struct {
	vm      store.VM
	entries chan *rpc.Peer
}

// newFakeSide starts a side process that replies to residence queries with answer.
func newFakeSide(t *testing.T, name string, answer func(rpc.ResidenceQuery) rpc.ResidenceReply) *fakeSide {
	t.Helper()
	handlers := rpc.NewHandlers()
	rpc.Handle(handlers, rpc.MethodResidence, func(_ context.Context, _ *rpc.Peer, q rpc.ResidenceQuery) (rpc.ResidenceReply, error) {
		return answer(q), nil
	})
	s := &fakeSide{entries: make(chan *rpc.Peer, 1)}
	local := rpc.Local{Identity: rpc.Identity{Name: name, Incarnation: name, Role: rpc.RoleSide}, Key: "k"}
	server := rpc.NewServer(local, handlers, func(p *rpc.Peer) { s.entries <- p })
	assert.NilError(t, server.Start("127.0.0.1:0"))
	t.Cleanup(func() { _ = server.Stop() })
	s.vm = store.VM{Name: name, Role: roleBackend, Pool: "p", RPCAddress: server.Address(), State: store.VMLive}
	return s
}

func (s *fakeSide) report(t *testing.T, p *rpc.Peer, seq, residence uint64) {
	t.Helper()
	r := rpc.Report{Name: s.vm.Name, Incarnation: s.vm.Name, Seq: seq, State: rpc.StateServing, Residence: residence}
	assert.NilError(t, rpc.Notify(t.Context(), p, rpc.MethodReport, r))
}

func TestSlowServerDoesNotDelayReportsOfOthers(t *testing.T) {
	artifact := wire.Artifact{Kind: wire.KindModel, Name: "m", Version: "1"}
	queried := make(chan struct{}, 1)
	slow := newFakeSide(t, "slow", func(q rpc.ResidenceQuery) rpc.ResidenceReply {
		if q.Known == 0 {
			return rpc.ResidenceReply{Residence: 1}
		}
		queried <- struct{}{}
		<-t.Context().Done()
		return rpc.ResidenceReply{}
	})
	quick := newFakeSide(t, "quick", func(q rpc.ResidenceQuery) rpc.ResidenceReply {
		if q.Known == 0 {
			return rpc.ResidenceReply{Residence: 1}
		}
		return rpc.ResidenceReply{Residence: 2, Since: q.Known, Added: []wire.Artifact{artifact}}
	})
	log := logrus.New()
	log.SetOutput(io.Discard)
	p := New(Options{
		Local:    rpc.Local{Identity: rpc.Identity{Name: "entry", Role: rpc.RoleEntry}, Key: "k"},
		Handlers: rpc.NewHandlers(),
		VMs:      fixedList{slow.vm, quick.vm},
		Holder:   config.NewHolder(),
		Log:      log,
	})
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go p.Run(ctx)
	toSlow, toQuick := <-slow.entries, <-quick.entries
	for _, name := range []string{"slow", "quick"} {
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if s, ok := p.Server(name); !ok || s.knownDigest(name) != 1 {
				return poll.Continue("the residents of %s are not known yet", name)
			}
			return poll.Success()
		}, poll.WithTimeout(waitTimeout))
	}
	slow.report(t, toSlow, 1, 2)
	<-queried
	quick.report(t, toQuick, 1, 2)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		s, _ := p.Server("quick")
		if !s.dump().hasResident(artifact) {
			return poll.Continue("the quick server's report is not applied")
		}
		return poll.Success()
	}, poll.WithTimeout(waitTimeout))
	slowServer, _ := p.Server("slow")
	assert.Assert(t, slowServer.fetching.Load(), "the reply of the slow server is still pending")
}

func (d Dump) hasResident(a wire.Artifact) bool {
	for _, r := range d.Residents {
		if r == a {
			return true
		}
	}
	return false
}
