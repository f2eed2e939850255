package rpc

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// keepAliveProbes is the number of keep-alive probes that go unanswered within
// Local.Silence before the system ends an idle connection.
const keepAliveProbes = 2

// keepAliveConfig returns the keep-alive settings that find a dead idle connection
// within d, as far as the system's granularity of one second allows. With 0,
// they are the defaults.
func keepAliveConfig(d time.Duration) net.KeepAliveConfig {
	if d <= 0 {
		return net.KeepAliveConfig{}
	}
	every := max(d/keepAliveProbes, time.Second)
	return net.KeepAliveConfig{Enable: true, Idle: every, Interval: every, Count: keepAliveProbes}
}

// userTimeout returns a socket option that ends a connection whose data stays
// unacknowledged for d. It is nil with 0.
func userTimeout(d time.Duration) func(network, address string, c syscall.RawConn) error {
	if d <= 0 {
		return nil
	}
	return func(_, _ string, c syscall.RawConn) error {
		var failed error
		err := c.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return failed
	}
}
