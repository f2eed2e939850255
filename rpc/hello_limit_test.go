package rpc

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// dialAndWaitForClose connects, sends first instead of a hello, and waits until the
// server has closed the connection.
func dialAndWaitForClose(t *testing.T, address string, data string) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, data)
	assert.NilError(t, err)
	_, _ = io.Copy(io.Discard, conn) // ends when the server closes
}

func TestIdleUnauthenticatedConnectionIsClosed(t *testing.T) {
	dialAndWaitForClose(t, startServer(t, "k"), "")
}

func TestUnauthenticatedReadLimit(t *testing.T) {
	const claimed = 1 << 40
	long := make([]byte, 2*maxHelloBytes)
	for i := range long {
		long[i] = ' '
	}
	conn, peer := net.Pipe()
	defer peer.Close()
	g := &helloLimitConn{Conn: conn, authenticated: func() bool { return false }, remaining: maxHelloBytes}
	var sent sync.WaitGroup
	sent.Go(func() { _, _ = fmt.Fprintf(peer, "Content-Length: %d\r\n\r\n%s", claimed, long) })
	n, err := io.Copy(io.Discard, g)
	assert.ErrorContains(t, err, "too many bytes before the hello")
	assert.Assert(t, n <= 2*maxHelloBytes, "%d bytes were read", n)
	_ = conn.Close()
	sent.Wait()
}

// failingListener returns the given errors from Accept, one per call.
type failingListener struct {
	net.Listener
	errs []error
}

func (f *failingListener) Accept() (net.Conn, error) {
	err := f.errs[0]
	f.errs = f.errs[1:]
	return nil, err
}

func TestAcceptContinuesAfterError(t *testing.T) {
	ln := &failingListener{errs: []error{errors.New("too many open files"), net.ErrClosed}}
	NewServer(Local{}, NewHandlers(), nil).acceptLoop(ln)
	assert.Equal(t, len(ln.errs), 0)
}
