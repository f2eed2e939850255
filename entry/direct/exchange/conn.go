package exchange

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	dialTimeout = 400 * time.Millisecond // half of the shortest deadline

	// userTimeout ends a connection whose data the other end's kernel does not
	// acknowledge. A round trip between regions takes 24 ms; a lost packet is
	// sent again after 200 ms.
	userTimeout = 700 * time.Millisecond

	// Connections that went silent are noticed by probes of the kernel.
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 2
)

// errStale means that a kept connection was idle for too long to be used
// again. Nothing was written.
var errStale = errors.New("connection was idle for too long")

// IsStale reports whether an attempt failed since its kept connection was idle
// for too long, which says nothing about the server.
func IsStale(err error) bool { return errors.Is(err, errStale) }

// conn is a connection to a backend server that notes what was written and
// read, and refuses to be used again after the idle time that the server told.
type conn struct {
	net.Conn
	written  atomic.Int64
	lastUsed atomic.Int64 // nanoseconds on the steady clock since start
	maxIdle  atomic.Int64 // nanoseconds; 0 when the server told none
	busy     atomic.Bool  // between the sending of a request and the end of its answer
}

// processStart is the origin of lastUsed.
var processStart = time.Now()

func (c *conn) Write(p []byte) (int, error) {
	now := int64(time.Since(processStart))
	if idle := c.maxIdle.Load(); idle > 0 && now-c.lastUsed.Load() > idle && !c.busy.Load() {
		return 0, errStale
	}
	c.busy.Store(true)
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n))
	return n, err
}

func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.lastUsed.Store(int64(time.Since(processStart)))
	return n, err
}

// setMaxIdle notes how long the server keeps the connection when it is idle.
func (c *conn) setMaxIdle(d time.Duration) { c.maxIdle.Store(int64(d)) }

// markIdle notes that the answer has ended.
func (c *conn) markIdle() {
	c.lastUsed.Store(int64(time.Since(processStart)))
	c.busy.Store(false)
}

func dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount},
	}
	c, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if err := setUserTimeout(c); err != nil {
		_ = c.Close()
		return nil, err
	}
	wrapped := &conn{Conn: c}
	wrapped.markIdle()
	return wrapped, nil
}

func setUserTimeout(c net.Conn) error {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	var set error
	err = raw.Control(func(fd uintptr) {
		set = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return set
}
