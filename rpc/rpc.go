// Package rpc implements control calls between the system's own processes with
// JSON-RPC 2.0 over TCP. A connection starts with a hello, in which both ends prove
// that they know the deployment key. Afterwards either end may call the other.
package rpc

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"peridotchute.example/common/fault"
)

// CallTimeout is the timeout of a control call whose context has no deadline.
const CallTimeout = 5 * time.Second

// helloTimeout is the timeout for connecting and exchanging hellos.
const helloTimeout = 3 * time.Second

// Handler handles requests for one method. The returned value is sent as the result.
type Handler func(ctx context.Context, p *Peer, params json.RawMessage) (any, error)

// Handlers is the set of methods that a process handles. All of them must be
// registered before the first connection.
type Handlers struct {
	byMethod map[string]Handler
	inOrder  map[string]bool
}

// NewHandlers returns an empty set of handlers.
func NewHandlers() *Handlers {
	return &Handlers{byMethod: map[string]Handler{}, inOrder: map[string]bool{}}
}

// Handle registers a typed handler for a method. Requests are handled concurrently.
func Handle[Req, Resp any](h *Handlers, method string, f func(context.Context, *Peer, Req) (Resp, error)) {
	h.byMethod[method] = func(ctx context.Context, p *Peer, params json.RawMessage) (any, error) {
		var req Req
		if err := json.Unmarshal(params, &req); err != nil {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
		}
		return f(ctx, p, req)
	}
}

// HandleInOrder registers a typed handler that handles the messages of a connection
// one at a time, in the order in which they were sent. The handler must not wait for
// other messages on the same connection. The end that dialed must send the first
// message: messages of the other end may arrive before its reply to the hello, and
// until then the order is not kept.
func HandleInOrder[Req, Resp any](h *Handlers, method string, f func(context.Context, *Peer, Req) (Resp, error)) {
	Handle(h, method, f)
	h.inOrder[method] = true
}

// Peer is an authenticated connection to another process.
type Peer struct {
	Identity      Identity
	ConfigVersion uint64 // configuration version in the peer's hello
	Servers       int    // number of backend servers in the peer's hello
	conn          *jsonrpc2.Conn
}

// Done returns a channel that is closed when the connection has ended.
func (p *Peer) Done() <-chan struct{} { return p.conn.DisconnectNotify() }

// Close ends the connection.
func (p *Peer) Close() error { return p.conn.Close() }

// Call sends a request and decodes its result. KindRefused means that the peer
// replied with an error, KindUnknown that the request may have been handled.
func Call[Req, Resp any](ctx context.Context, p *Peer, method string, req Req) (Resp, error) {
	var resp Resp
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, CallTimeout)
		defer cancel()
	}
	callsSent.Add(method, 1)
	err := p.conn.Call(ctx, method, req, &resp)
	if err == nil {
		return resp, nil
	}
	var rpcErr *jsonrpc2.Error
	if errors.As(err, &rpcErr) {
		return resp, fault.New(fault.KindRefused, method, p.Identity.Name, err)
	}
	return resp, fault.New(fault.KindUnknown, method, p.Identity.Name, err)
}

// Notify sends a message without waiting for a reply. Errors are KindUnavailable.
func Notify[Req any](ctx context.Context, p *Peer, method string, req Req) error {
	callsSent.Add(method, 1)
	if err := p.conn.Notify(ctx, method, req); err != nil {
		return fault.New(fault.KindUnavailable, method, p.Identity.Name, err)
	}
	return nil
}

// Dial connects to address and exchanges hellos. KindUnavailable means that one of
// them failed, KindRefused that the peer replied with a wrong deployment key.
func Dial(ctx context.Context, address string, local Local, handlers *Handlers) (*Peer, error) {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	conn, err := dial(ctx, address, local)
	if err != nil {
		return nil, fault.New(fault.KindUnavailable, "rpc.dial", address, err)
	}
	s := &session{local: local, handlers: handlers, dialed: true, ready: make(chan struct{})}
	s.peer.conn = jsonrpc2.NewConn(context.Background(), newStream(conn), s, local.logger(conn))
	hello := Hello{Identity: local.Identity, Key: local.Key, ConfigVersion: local.configVersion(), Servers: local.serverCount()}
	var reply HelloReply
	if err := s.peer.conn.Call(ctx, MethodHello, hello, &reply); err != nil {
		_ = s.peer.conn.Close()
		return nil, fault.New(fault.KindUnavailable, MethodHello, address, err)
	}
	if !local.acceptsKey(reply.Key) {
		_ = s.peer.conn.Close()
		return nil, fault.Newf(fault.KindRefused, MethodHello, address, "peer does not know the deployment key")
	}
	s.setAuthenticated(reply.Identity, reply.ConfigVersion)
	return &s.peer, nil
}

func dial(ctx context.Context, address string, local Local) (net.Conn, error) {
	dialer := &net.Dialer{KeepAliveConfig: keepAliveConfig(local.DeadPeerTimeout), Control: userTimeout(local.DeadPeerTimeout)}
	if local.TLS == nil {
		return dialer.DialContext(ctx, "tcp", address)
	}
	return (&tls.Dialer{NetDialer: dialer, Config: local.TLS}).DialContext(ctx, "tcp", address)
}

func newStream(conn net.Conn) jsonrpc2.ObjectStream {
	return jsonrpc2.NewBufferedStream(countingConn{conn}, jsonrpc2.VSCodeObjectCodec{})
}

// session handles the requests of one connection, including the hello.
type session struct {
	local    Local
	handlers *Handlers
	onPeer   func(*Peer)
	dialed   bool // this end opened the connection
	peer     Peer
	once     sync.Once
	ready    chan struct{} // closed when the hellos have been exchanged
}

func (s *session) setAuthenticated(id Identity, version uint64) {
	s.once.Do(func() {
		s.peer.Identity = id
		s.peer.ConfigVersion = version
		close(s.ready)
	})
}

// waitAuthenticated reports whether the peer is authenticated. On the end that
// dialed it waits for the reply to the hello, because calls of the peer may arrive
// before it.
func (s *session) waitAuthenticated(conn *jsonrpc2.Conn) bool {
	if s.dialed {
		select {
		case <-s.ready:
		case <-conn.DisconnectNotify():
		}
	}
	return s.authenticated()
}

// authenticated reports whether the hellos have been exchanged.
func (s *session) authenticated() bool {
	select {
	case <-s.ready:
		return true
	default:
		return false
	}
}

// Handle implements jsonrpc2.Handler. It serves each request in its own goroutine
// unless the method was registered with HandleInOrder.
func (s *session) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	if s.handlers.inOrder[req.Method] && s.authenticated() {
		s.serve(ctx, conn, req)
		return
	}
	go s.serve(ctx, conn, req)
}

// serve handles one request and replies to it unless it is a notification. Only a
// hello is handled before the peer is authenticated.
func (s *session) serve(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	result, err := s.dispatch(ctx, conn, req)
	if req.Notif {
		return
	}
	if err == nil {
		_ = conn.Reply(ctx, req.ID, result)
		return
	}
	var rpcErr *jsonrpc2.Error
	if !errors.As(err, &rpcErr) {
		rpcErr = &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: err.Error()}
	}
	_ = conn.ReplyWithError(ctx, req.ID, rpcErr)
}

func (s *session) dispatch(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) (any, error) {
	var params json.RawMessage
	if req.Params != nil {
		params = *req.Params
	}
	if req.Method == MethodHello {
		return s.handleHello(conn, params)
	}
	if !s.waitAuthenticated(conn) {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidRequest, Message: "a hello is required first"}
	}
	handler, ok := s.handlers.byMethod[req.Method]
	if !ok {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "unknown method " + req.Method}
	}
	callsHandled.Add(req.Method, 1)
	return handler(ctx, &s.peer, params)
}

func (s *session) handleHello(conn *jsonrpc2.Conn, params json.RawMessage) (any, error) {
	var hello Hello
	if err := json.Unmarshal(params, &hello); err != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	if !s.local.acceptsKey(hello.Key) {
		time.AfterFunc(helloTimeout, func() { _ = conn.Close() })
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidRequest, Message: "wrong deployment key"}
	}
	s.peer.conn = conn
	s.peer.Servers = hello.Servers
	s.setAuthenticated(hello.Identity, hello.ConfigVersion)
	if s.onPeer != nil {
		s.onPeer(&s.peer)
	}
	return HelloReply{Identity: s.local.Identity, Key: s.local.Key, ConfigVersion: s.local.configVersion()}, nil
}
