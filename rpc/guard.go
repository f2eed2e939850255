package rpc

import (
	"errors"
	"net"
	"time"
)

// maxHelloBytes bounds what is read from a peer before its hello is accepted.
const maxHelloBytes = 64 << 10

// helloLimitConn reads only little from a peer that has not shown the deployment
// key yet. Its Read is called by one goroutine.
type helloLimitConn struct {
	net.Conn
	authenticated func() bool
	remaining     int // bytes
}

// Read ends the connection when a stranger sends more than a hello.
func (g *helloLimitConn) Read(p []byte) (int, error) {
	if g.remaining <= 0 && !g.authenticated() {
		return 0, errors.New("rpc: too much before the hello")
	}
	n, err := g.Conn.Read(p)
	g.remaining -= n
	return n, err
}

// closeUnauthenticated closes a connection whose peer has not shown the deployment key in time.
func closeUnauthenticated(ses *session, conn net.Conn) {
	time.AfterFunc(helloTimeout, func() {
		if !ses.authenticated() {
			_ = conn.Close()
		}
	})
}
