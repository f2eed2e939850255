package front

import (
	"errors"
	"net/http"
	"syscall"

	"golang.org/x/sys/unix"
)

// net/http learns that a caller has closed its connection once a goroutine has read the end
// of it. On a VM that is short of processor this takes long, so the kernel is asked before
// a request is sent to a server.

// callerLeft reports whether the client of a request has closed its connection.
func callerLeft(r *http.Request) bool {
	if r.Context().Err() != nil {
		return true
	}
	c, ok := r.Context().Value(connKey{}).(*clientConn)
	return ok && c.closedByClient()
}

// closedByClient reports whether the next read of the connection would return its end or
// that it was reset. It does not block and reads nothing.
func (c *clientConn) closedByClient() bool {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return true // closed here
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		var next [1]byte
		n, _, err := unix.Recvfrom(int(fd), next[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		closed = err == nil && n == 0 || errors.Is(err, unix.ECONNRESET)
	})
	return err != nil || closed
}
