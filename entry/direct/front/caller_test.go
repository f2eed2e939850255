package front

import (
	"net"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// connect returns both ends of a connection, that of the entry first.
func connect(t *testing.T) (*clientConn, *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	client, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	accepted, err := Listener{Listener: l}.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() { _ = client.Close(); _ = accepted.Close() })
	return accepted.(*clientConn), client.(*net.TCPConn)
}

// TestClosedConnectionOfCallerLooksOpen closes connections that nobody reads from.
func TestClosedConnectionOfCallerLooksOpen(t *testing.T) {
	for name, leave := range map[string]func(*net.TCPConn) error{
		"closed": (*net.TCPConn).Close,
		"reset": func(c *net.TCPConn) error {
			if err := c.SetLinger(0); err != nil {
				return err
			}
			return c.Close()
		},
	} {
		t.Run(name, func(t *testing.T) {
			c, client := connect(t)
			assert.Assert(t, !c.closedByClient())
			assert.NilError(t, leave(client))
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if c.closedByClient() {
					return poll.Success()
				}
				return poll.Continue("the connection looks open")
			})
		})
	}
}

func TestWaitingDataOfCallerIsNotRead(t *testing.T) {
	c, client := connect(t)
	_, err := client.Write([]byte("next"))
	assert.NilError(t, err)
	for range 3 {
		assert.Assert(t, !c.closedByClient())
	}
	data := make([]byte, 8)
	n, err := c.Read(data)
	assert.NilError(t, err)
	assert.Equal(t, string(data[:n]), "next")
}
