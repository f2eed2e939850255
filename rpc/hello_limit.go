package rpc

import (
	"errors"
	"net"
	"time"
)

// maxHelloBytes is the maximum number of bytes read from a peer before its hello is
// accepted.
const maxHelloBytes = 64 << 10

// helloLimitConn limits how much is read from a peer that is not authenticated yet.
// Read must not be called concurrently.
type helloLimitConn struct {
	net.Conn
	authenticated func() bool
	remaining     int // bytes that may be read before authentication
}

// Read returns an error if an unauthenticated peer has used up the limit.
func (c *helloLimitConn) Read(p []byte) (int, error) {
	if c.remaining <= 0 && !c.authenticated() {
		return 0, errors.New("rpc: too many bytes before the hello")
	}
	n, err := c.Conn.Read(p)
	c.remaining -= n
	return n, err
}

// closeUnauthenticated closes the connection if the peer is not authenticated
// within helloTimeout.
func closeUnauthenticated(ses *session, conn net.Conn) {
	time.AfterFunc(helloTimeout, func() {
		if !ses.authenticated() {
			_ = conn.Close()
		}
	})
}
