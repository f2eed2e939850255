package rpc

import (
	"errors"
	"net"
	"time"
)

// maxHelloBytes bounds what is read from a peer before its hello is accepted.
const maxHelloBytes = 64 << 10

// guardedConn reads only little from a peer that has not shown the deployment
// key yet. Its Read is called by one goroutine.
type guardedConn struct {
	net.Conn
	known func() bool
	left  int // bytes
}

// Read ends the connection when a stranger sends more than a hello.
func (g *guardedConn) Read(p []byte) (int, error) {
	if g.left <= 0 && !g.known() {
		return 0, errors.New("rpc: too much before the hello")
	}
	n, err := g.Conn.Read(p)
	g.left -= n
	return n, err
}

// expire closes a connection whose peer has not shown the deployment key in time.
func expire(ses *session, conn net.Conn) {
	time.AfterFunc(helloTimeout, func() {
		if !ses.known() {
			_ = conn.Close()
		}
	})
}
