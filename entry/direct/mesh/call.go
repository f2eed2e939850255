package mesh

import (
	"context"
	"time"

	"peridotchute.example/common/fault"
	"peridotchute.example/rpc"
)

// CallTimeout bounds a call whose context has no deadline.
const CallTimeout = time.Second

// Handle registers a method that peers may call, or broadcast where the order
// does not matter. from is the name of the peer.
func Handle[Req, Resp any](m *Mesh, method string, f func(ctx context.Context, from string, req Req) (Resp, error)) {
	rpc.Handle(m.handlers, method, func(ctx context.Context, p *rpc.Peer, req Req) (Resp, error) {
		return f(ctx, p.Identity.Name, req)
	})
}

// HandleBroadcast registers a method that peers broadcast. The messages of one
// peer are handled in the order in which it sent them, and none while f has not
// returned: f must not wait for peers.
func HandleBroadcast[Message any](m *Mesh, method string, f func(from string, message Message)) {
	rpc.HandleInOrder(m.handlers, method, func(_ context.Context, p *rpc.Peer, message Message) (struct{}, error) {
		f(p.Identity.Name, message)
		return struct{}{}, nil
	})
}

// Call calls a method of a peer. KindUnavailable means that the call was
// certainly not sent, KindRefused that the peer answered with an error, and
// KindUnknown that the peer may have handled it.
func Call[Req, Resp any](ctx context.Context, m *Mesh, peer, method string, req Req) (Resp, error) {
	l := m.linkTo(peer)
	if l == nil {
		var none Resp
		return none, fault.Newf(fault.KindUnavailable, method, peer, "not connected")
	}
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, CallTimeout)
		defer cancel()
	}
	if err := ctx.Err(); err != nil {
		var none Resp
		return none, fault.New(fault.KindUnavailable, method, peer, err)
	}
	return rpc.Call[Req, Resp](ctx, l.peer, method, req)
}

// linkTo returns the connection to a peer, or nil.
func (m *Mesh) linkTo(peer string) *link {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := m.links[peer]
	if l == nil {
		return nil
	}
	select {
	case <-l.peer.Done():
		return nil
	default:
		return l
	}
}

// Broadcast sends a message to every peer that is connected, in the order of the
// calls. It does not wait, and a peer whose connection ends meanwhile, or that
// does not read for long, may not get it.
func (m *Mesh) Broadcast(method string, message any) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range m.links {
		l.out.Offer(notice{method: method, params: message})
		l.wake()
	}
}
