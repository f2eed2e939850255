package rpc

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"peridotchute.example/common/fault"
)

func startServer(t *testing.T, key string) string {
	t.Helper()
	h := NewHandlers()
	Handle(h, MethodOffer, func(_ context.Context, p *Peer, o Offer) (OfferReply, error) {
		if p.Identity.Name == "refused" {
			return OfferReply{}, fault.Newf(fault.KindRefused, "test", "", "no")
		}
		return OfferReply{Version: o.Version + 1}, nil
	})
	s := NewServer(Local{Identity: Identity{Name: "server"}, Key: key}, h, nil)
	assert.NilError(t, s.Start("127.0.0.1:0"))
	t.Cleanup(func() { _ = s.Stop() })
	return s.Address()
}

func TestCallAfterHello(t *testing.T) {
	address := startServer(t, "k")
	p, err := Dial(context.Background(), address, Local{Identity: Identity{Name: "client"}, Key: "k"}, NewHandlers())
	assert.NilError(t, err)
	reply, err := Call[Offer, OfferReply](context.Background(), p, MethodOffer, Offer{Version: 4})
	assert.NilError(t, err)
	assert.Equal(t, reply.Version, uint64(5))
	assert.Equal(t, p.Identity.Name, "server")
}

func TestWrongKeyIsRefused(t *testing.T) {
	address := startServer(t, "k")
	_, err := Dial(context.Background(), address, Local{Identity: Identity{Name: "client"}, Key: "other"}, NewHandlers())
	assert.ErrorContains(t, err, "wrong deployment key")
}

func TestPeerErrorIsKindRefused(t *testing.T) {
	address := startServer(t, "k")
	p, err := Dial(context.Background(), address, Local{Identity: Identity{Name: "refused"}, Key: "k"}, NewHandlers())
	assert.NilError(t, err)
	_, err = Call[Offer, OfferReply](context.Background(), p, MethodOffer, Offer{})
	assert.Equal(t, fault.KindOf(err), fault.KindRefused)
}

func TestByteMetrics(t *testing.T) {
	address := startServer(t, "k")
	read, written := bytesRead.Value(), bytesWritten.Value()
	_, err := Dial(context.Background(), address, Local{Identity: Identity{Name: "counted"}, Key: "k"}, NewHandlers())
	assert.NilError(t, err)
	assert.Assert(t, bytesRead.Value() > read)
	assert.Assert(t, bytesWritten.Value() > written)
}
