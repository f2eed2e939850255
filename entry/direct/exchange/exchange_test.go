package exchange

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"peridotchute.example/fleet"
)

const (
	bodyBytes = 4 << 20 // more than the buffers of both kernels hold
	silence   = 2 * time.Second
)

// plainCodec forwards headers unchanged and accepts every response.
type plainCodec struct{ fleet.Codec }

func (plainCodec) Forward(http.Header, fleet.Attempt) http.Header { return http.Header{} }

func (plainCodec) Outcome(int, http.Header) fleet.Outcome {
	return fleet.Outcome{FromServer: true, ID: "1"}
}

// serveAfterSilence accepts one connection, reads nothing for a while, and then reads a
// request and answers it.
func serveAfterSilence(l net.Listener) {
	c, err := l.Accept()
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	time.Sleep(silence) // the fault of the server
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
}

// TestSilentServerReadsLongBodyLate has a server read nothing for a while, so that its
// receive window closes. The connection must not be given up.
func TestSilentServerReadsLongBodyLate(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	go serveAfterSilence(l)
	response, err := New(plainCodec{}).Send(t.Context(), &Call{
		ID:      "1",
		Method:  http.MethodPost,
		Target:  "/x",
		Host:    "a.example",
		Body:    make([]byte, bodyBytes),
		Address: l.Addr().String(),
	})
	assert.NilError(t, err)
	assert.Equal(t, response.Status, http.StatusOK)
	assert.NilError(t, response.Body.Close())
}

// TestTimeoutOfLongBodyOutlastsIt sends a short body on a connection that has carried a long one.
func TestTimeoutOfLongBodyOutlastsIt(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	c, err := dial(t.Context(), "tcp", l.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = c.Close() }()
	for _, step := range []struct {
		body int
		want time.Duration
	}{{0, userTimeout}, {bodyBytes, longBodyTimeout}, {longBodyBytes, userTimeout}} {
		assert.NilError(t, c.prepare(step.body))
		assert.Equal(t, timeoutOf(t, c), step.want)
	}
}

// timeoutOf returns the TCP_USER_TIMEOUT of a connection.
func timeoutOf(t *testing.T, c *conn) time.Duration {
	t.Helper()
	raw, err := c.Conn.Conn.(*net.TCPConn).SyscallConn()
	assert.NilError(t, err)
	var ms int
	assert.NilError(t, raw.Control(func(fd uintptr) {
		ms, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
	}))
	assert.NilError(t, err)
	return time.Duration(ms) * time.Millisecond
}
