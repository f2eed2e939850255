package rpc

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// keepAliveProbes is the number of unanswered keep-alive probes after which the
// system closes an idle connection. They are sent within Local.DeadPeerTimeout.
const keepAliveProbes = 2

// keepAliveConfig returns keep-alive settings that detect a dead idle connection
// within d. Intervals are at least 1 s, the granularity of the system. If d is 0,
// the defaults apply.
func keepAliveConfig(d time.Duration) net.KeepAliveConfig {
	if d <= 0 {
		return net.KeepAliveConfig{}
	}
	interval := max(d/keepAliveProbes, time.Second)
	return net.KeepAliveConfig{Enable: true, Idle: interval, Interval: interval, Count: keepAliveProbes}
}

// userTimeout returns a function for net.Dialer.Control that sets TCP_USER_TIMEOUT,
// which closes a connection if sent data is not acknowledged within d. It returns
// nil if d is 0.
func userTimeout(d time.Duration) func(network, address string, c syscall.RawConn) error {
	if d <= 0 {
		return nil
	}
	return func(_, _ string, c syscall.RawConn) error {
		var optErr error
		err := c.Control(func(fd uintptr) {
			optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return optErr
	}
}
