package rpc

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"peridotchute.example/common/fault"
)

// acceptRetryDelay is the delay after a failed Accept.
const acceptRetryDelay = 50 * time.Millisecond

// Server listens for control connections.
type Server struct {
	local    Local
	handlers *Handlers
	onPeer   func(*Peer)

	mu    sync.Mutex
	ln    net.Listener
	conns map[*jsonrpc2.Conn]struct{}
}

// NewServer returns a server. If onPeer is not nil, it is called for each
// authenticated connection.
func NewServer(local Local, handlers *Handlers, onPeer func(*Peer)) *Server {
	return &Server{local: local, handlers: handlers, onPeer: onPeer, conns: map[*jsonrpc2.Conn]struct{}{}}
}

// Start listens on address and accepts connections in the background until Stop.
func (s *Server) Start(address string) error {
	listen := net.ListenConfig{KeepAliveConfig: keepAliveConfig(s.local.DeadPeerTimeout), Control: userTimeout(s.local.DeadPeerTimeout)}
	ln, err := listen.Listen(context.Background(), "tcp", address)
	if err != nil {
		return fault.New(fault.KindUnavailable, "listen.rpc", address, err)
	}
	if s.local.TLS != nil {
		ln = tls.NewListener(ln, s.local.TLS)
	}
	s.mu.Lock()
	s.ln = ln
	s.mu.Unlock()
	go s.acceptLoop(ln)
	return nil
}

// Address returns the listener's address. Start must have been called.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ln.Addr().String()
}

// Stop closes the listener and every connection.
func (s *Server) Stop() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		_ = conn.Close()
	}
	if s.ln == nil {
		return nil
	}
	return s.ln.Close()
}

func (s *Server) acceptLoop(ln net.Listener) {
	for {
		conn, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // a temporary error, such as too many open files
			time.Sleep(acceptRetryDelay)
			continue
		}
		s.serveConn(conn)
	}
}

func (s *Server) serveConn(conn net.Conn) {
	ses := &session{local: s.local, handlers: s.handlers, onPeer: s.onPeer, ready: make(chan struct{})}
	closeUnauthenticated(ses, conn)
	conn = &helloLimitConn{Conn: conn, authenticated: ses.authenticated, remaining: maxHelloBytes}
	s.mu.Lock()
	defer s.mu.Unlock()
	c := jsonrpc2.NewConn(context.Background(), newStream(conn), ses, s.local.logger(conn))
	s.conns[c] = struct{}{}
	go s.removeOnClose(c)
}

func (s *Server) removeOnClose(c *jsonrpc2.Conn) {
	<-c.DisconnectNotify()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}
