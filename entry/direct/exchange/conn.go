package exchange

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"peridotchute.example/common/httpstrict"
)

const (
	dialTimeout = 400 * time.Millisecond // half of the shortest deadline

	// userTimeout ends a connection on which the remote kernel does not acknowledge
	// data. A round trip between regions takes 24 ms; a lost packet is retransmitted
	// after 200 ms.
	userTimeout = 700 * time.Millisecond

	// longBodyTimeout replaces userTimeout while a long body is sent: the kernel also gives up a
	// connection whose remote end is reachable and has closed its receive window. A server may
	// be silent for a second or so. A body of up to longBodyBytes fits into the window.
	longBodyTimeout = 3 * time.Second
	longBodyBytes   = 32 << 10

	// TCP keep-alive probes detect idle connections whose remote end has vanished.
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 2
)

// errStale means that a reused connection had been idle for too long. Nothing was
// written.
var errStale = errors.New("connection was idle for too long")

// errCallerLeft means that the caller left before the request was written.
var errCallerLeft = errors.New("the caller has left")

// errUnusable means that the connection must not carry the client attempt: it has carried it
// before, or it has been retired. Nothing was written.
var errUnusable = errors.New("the connection must not carry this request")

// withholding says why the next request must not be written to a connection.
type withholding int32

// The values of withholding.
const (
	notWithheld        withholding = iota
	withheldCallerLeft             // its caller has left
	withheldUnusable               // the connection must not carry its client attempt
)

// IsStale reports whether an attempt failed before anything was written because its
// reused connection had been idle for too long or was closed, which does not
// indicate a server fault.
func IsStale(err error) bool { return errors.Is(err, errStale) }

// IsRefused reports whether no process listens at the server's address.
func IsRefused(err error) bool { return errors.Is(err, unix.ECONNREFUSED) }

// conn is a connection to a backend server. It counts the bytes written and refuses
// a new request after being idle for longer than the server allows.
type conn struct {
	*httpstrict.Conn
	written  atomic.Int64
	lastUsed atomic.Int64  // nanoseconds since processStart
	maxIdle  atomic.Int64  // nanoseconds; 0 when the server set no limit
	busy     atomic.Bool   // from the start of a request to the end of its response
	requests atomic.Int64  // begun, the current one included
	timeout  time.Duration // TCP_USER_TIMEOUT; changed between requests only
	withheld atomicWithholding
	retired  atomic.Bool // carries no further request
	onClose  func()      // may be called several times; nil for none
}

// processStart is the origin of lastUsed.
var processStart = time.Now()

// atomicWithholding is a withholding that goroutines share.
type atomicWithholding struct{ v atomic.Int32 }

func (a *atomicWithholding) Load() withholding   { return withholding(a.v.Load()) }
func (a *atomicWithholding) Store(w withholding) { a.v.Store(int32(w)) }

// beginRequest records that a request with a body of the given length is about to be written,
// or withheld.
func (c *conn) beginRequest(w withholding, bodyBytes int) {
	c.requests.Add(1)
	c.withheld.Store(w)
	c.BeginRequest(int64(bodyBytes))
	_ = c.prepare(bodyBytes) // fails only if the connection is closed, which shows in the write
}

func (c *conn) Write(p []byte) (int, error) {
	switch c.withheld.Load() {
	case withheldCallerLeft:
		return 0, errCallerLeft
	case withheldUnusable:
		return 0, errUnusable
	}
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

// setMaxIdle sets how long the connection may be idle before a new request.
func (c *conn) setMaxIdle(d time.Duration) { c.maxIdle.Store(int64(d)) }

// retire keeps further requests off the connection, after a response that does not show where
// the next one begins.
func (c *conn) retire() { c.retired.Store(true) }

// markIdle records that the response has ended.
func (c *conn) markIdle() {
	c.lastUsed.Store(int64(time.Since(processStart)))
	c.busy.Store(false)
}

// Close closes the connection.
func (c *conn) Close() error {
	if c.onClose != nil {
		c.onClose()
	}
	return c.Conn.Close()
}

func dial(ctx context.Context, network, address string) (*conn, error) {
	dialer := net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount},
	}
	c, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if err := setUserTimeout(c, userTimeout); err != nil {
		_ = c.Close()
		return nil, err
	}
	wrapped := &conn{Conn: httpstrict.NewConn(c), timeout: userTimeout}
	wrapped.markIdle()
	return wrapped, nil
}

// prepare sets the timeout for a request with a body of the given length.
func (c *conn) prepare(bodyBytes int) error {
	timeout := userTimeout
	if bodyBytes > longBodyBytes {
		timeout = longBodyTimeout
	}
	if c.timeout == timeout {
		return nil
	}
	c.timeout = timeout
	return setUserTimeout(c.Conn.Conn, timeout)
}

func setUserTimeout(c net.Conn, timeout time.Duration) error {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	var sockErr error
	err = raw.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockErr
}
