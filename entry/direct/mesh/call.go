package mesh

import (
	"context"
	"encoding/json"
	"time"

	"peridotchute.example/common/event"
	"peridotchute.example/common/fault"
	"peridotchute.example/rpc"
)

// CallTimeout is the timeout of calls whose context has no deadline.
const CallTimeout = time.Second

// Handle registers f as the handler of a method for calls from peers. f also gets
// broadcasts of the method, but in no particular order. from is the name of the peer.
func Handle[Req, Resp any](m *Mesh, method string, f func(ctx context.Context, from string, req Req) (Resp, error)) {
	rpc.Handle(m.handlers, method, func(ctx context.Context, p *rpc.Peer, req Req) (Resp, error) {
		return f(ctx, p.Identity.Name, req)
	})
}

// HandleBroadcast registers a method for broadcasts from peers. Messages of one
// peer are handled one at a time in the order in which they were sent, so f must
// not wait for peers. from is the name of the peer.
func HandleBroadcast[Message any](m *Mesh, method string, f func(from string, message Message)) {
	rpc.HandleInOrder(m.handlers, method, func(_ context.Context, p *rpc.Peer, message Message) (struct{}, error) {
		f(p.Identity.Name, message)
		return struct{}{}, nil
	})
}

// Call calls a method of a peer. KindUnavailable means that the call was not
// sent, KindRefused that the peer returned an error, and KindUnknown that the
// peer may have handled the call.
func Call[Req, Resp any](ctx context.Context, m *Mesh, peer, method string, req Req) (Resp, error) {
	l := m.linkTo(peer)
	if l == nil {
		var zero Resp
		return zero, fault.Newf(fault.KindUnavailable, method, peer, "not connected")
	}
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, CallTimeout)
		defer cancel()
	}
	if err := ctx.Err(); err != nil {
		var zero Resp
		return zero, fault.New(fault.KindUnavailable, method, peer, err)
	}
	return rpc.Call[Req, Resp](ctx, l.peer, method, req)
}

// linkTo returns the open connection to a peer, or nil if there is none.
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

// Send queues a message for one peer without waiting for delivery, in the order of
// the broadcasts. It is lost if the peer is not connected, the connection ends first
// or the peer's queue overflows.
func (m *Mesh) Send(peer, method string, message any) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if l := m.links[peer]; l != nil {
		l.broadcasts.Offer(broadcast{method: method, params: message})
		l.wake()
	}
}

// Broadcast queues a message for every connected peer without waiting for
// delivery. Messages are sent in the order of the calls. A message is lost if
// the connection ends first or the peer's queue overflows.
func (m *Mesh) Broadcast(method string, message any) {
	params, err := json.Marshal(message) // once for all peers
	if err != nil {
		event.Log(m.log, event.EntryConnectionError, event.Subject(method), event.Err(err))
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range m.links {
		l.broadcasts.Offer(broadcast{method: method, params: json.RawMessage(params)})
		l.wake()
	}
}
