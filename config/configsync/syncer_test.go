package configsync

import (
	"context"
	"errors"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"peridotchute.example/config"
	"peridotchute.example/rpc"
)

const pollTimeout = 30 * time.Second

// node is a process with a control listener.
type node struct {
	name     string
	holder   *config.Holder
	handlers *rpc.Handlers
	syncer   *Syncer
	server   *rpc.Server
}

func newNode(t *testing.T, name string) *node {
	t.Helper()
	n := &node{name: name, holder: config.NewHolder(), handlers: rpc.NewHandlers()}
	log := logrus.New()
	log.SetOutput(io.Discard)
	n.syncer = New(rpc.RoleEntry, n.holder, n.handlers, log)
	n.server = rpc.NewServer(n.local(), n.handlers, n.syncer.Add)
	assert.NilError(t, n.server.Start("127.0.0.1:0"))
	t.Cleanup(func() { _ = n.server.Stop() })
	go n.syncer.Run(t.Context())
	return n
}

func (n *node) local() rpc.Local {
	return rpc.Local{Identity: rpc.Identity{Name: n.name, Role: rpc.RoleEntry}, Key: "k", ConfigVersion: n.holder.Version}
}

func (n *node) connect(t *testing.T, to *node) *rpc.Peer {
	t.Helper()
	p, err := rpc.Dial(t.Context(), to.server.Address(), n.local(), n.handlers)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = p.Close() })
	n.syncer.Add(p)
	return p
}

func (n *node) hasVersion(version uint64) poll.Check {
	return func(poll.LogT) poll.Result {
		if got := n.holder.Version(); got != version {
			return poll.Continue("%s has version %d, want %d", n.name, got, version)
		}
		return poll.Success()
	}
}

func configuration(version uint64) *config.Configuration {
	return &config.Configuration{Version: version, Models: []config.Model{{Name: fmt.Sprint("m", version)}}}
}

func TestVersionReachesEveryProcess(t *testing.T) {
	var nodes []*node
	for i := range 5 {
		n := newNode(t, fmt.Sprint("n", i))
		if i > 0 {
			n.connect(t, nodes[i-1])
		}
		nodes = append(nodes, n)
	}
	for v := range uint64(20) {
		nodes[v%5].holder.SetIfNewer(configuration(v + 1))
		for _, n := range nodes {
			poll.WaitOn(t, n.hasVersion(v+1), poll.WithTimeout(pollTimeout))
		}
	}
}

func TestNewProcessFetchesHighestVersion(t *testing.T) {
	older, newer, newcomer := newNode(t, "older"), newNode(t, "newer"), newNode(t, "newcomer")
	older.holder.SetIfNewer(configuration(3))
	newer.holder.SetIfNewer(configuration(7))
	newcomer.connect(t, older)
	newcomer.connect(t, newer)
	for _, n := range []*node{newcomer, older} {
		poll.WaitOn(t, n.hasVersion(7), poll.WithTimeout(pollTimeout))
	}
}

func TestFetchReturnsDeltas(t *testing.T) {
	a := newNode(t, "a")
	for v := range uint64(4) {
		a.holder.SetIfNewer(configuration(v + 1))
	}
	reply, err := a.syncer.onFetch(t.Context(), nil, rpc.Fetch{Since: 2})
	assert.NilError(t, err)
	assert.Equal(t, len(reply.Deltas), 2)
	assert.Assert(t, reply.Configuration == nil)
	reply, err = a.syncer.onFetch(t.Context(), nil, rpc.Fetch{Since: 0})
	assert.NilError(t, err)
	assert.Equal(t, reply.Configuration.Version, uint64(4))
	reply, err = a.syncer.onFetch(t.Context(), nil, rpc.Fetch{Since: 4})
	assert.NilError(t, err)
	assert.Assert(t, reply.Configuration == nil && reply.Deltas == nil)
}

func TestSilentPeerDoesNotDelayOthers(t *testing.T) {
	silent := &node{name: "silent", holder: config.NewHolder(), handlers: rpc.NewHandlers()}
	rpc.Handle(silent.handlers, rpc.MethodOffer, func(ctx context.Context, _ *rpc.Peer, _ rpc.Offer) (rpc.OfferReply, error) {
		<-t.Context().Done()
		return rpc.OfferReply{}, errors.New("test has ended")
	})
	silent.server = rpc.NewServer(silent.local(), silent.handlers, nil)
	assert.NilError(t, silent.server.Start("127.0.0.1:0"))
	t.Cleanup(func() { _ = silent.server.Stop() })
	a, b := newNode(t, "a"), newNode(t, "b")
	silentPeer := a.connect(t, silent)
	a.connect(t, b)
	a.holder.SetIfNewer(configuration(1))
	poll.WaitOn(t, b.hasVersion(1), poll.WithTimeout(pollTimeout))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		select {
		case <-silentPeer.Done():
			return poll.Success()
		default:
			return poll.Continue("the connection to the silent peer is still open")
		}
	}, poll.WithTimeout(pollTimeout))
}
