package exchange

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"peridotchute.example/common/fault"
)

// endingServer answers requests until it has ended. Its connections then stay open, as the
// kernel of a VM that has lost its process keeps them, until something is written to them.
type endingServer struct {
	l        net.Listener
	ended    atomic.Bool
	requests atomic.Int64
	answers  sync.WaitGroup // has to be done before any request is answered
}

func newEndingServer(t *testing.T) *endingServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &endingServer{l: l}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c.(*net.TCPConn))
		}
	}()
	return s
}

func (s *endingServer) serve(c *net.TCPConn) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for {
		_, err := in.Peek(1)
		if err != nil || s.ended.Load() {
			_ = c.SetLinger(0) // reset
			return
		}
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		s.requests.Add(1)
		s.answers.Wait()
		if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"); err != nil {
			return
		}
	}
}

func (s *endingServer) call() *Call {
	return &Call{ID: "1", Method: http.MethodPost, Target: "/x", Host: "a.example", Body: []byte("x"), Address: s.l.Addr().String()}
}

func send(t *testing.T, x *Exchanger, call *Call) error {
	t.Helper()
	r, err := x.Send(t.Context(), call)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, r.Body)
	assert.NilError(t, err)
	return r.Body.Close()
}

// TestEndedServerGetsRequestsOnIdleConnections ends a server to which there are several idle
// connections.
func TestEndedServerGetsRequestsOnIdleConnections(t *testing.T) {
	const connections = 4
	s, x := newEndingServer(t), New(plainCodec{})
	s.answers.Add(1)
	var sent sync.WaitGroup
	for range connections {
		sent.Go(func() { assert.Check(t, send(t, x, s.call()) == nil) })
	}
	for s.requests.Load() < connections {
		if t.Context().Err() != nil {
			return
		}
	}
	s.answers.Done()
	sent.Wait()
	s.ended.Store(true)
	assert.NilError(t, s.l.Close())
	assert.Assert(t, fault.Is(send(t, x, s.call()), fault.KindUnknown), "the first request finds out")
	for range connections {
		err := send(t, x, s.call())
		assert.Assert(t, fault.Is(err, fault.KindUnavailable), "%v", err)
	}
}

// TestRequestIsSentAfterItsCallerLeft has the caller leave while the connection is made.
func TestRequestIsSentAfterItsCallerLeft(t *testing.T) {
	s, x := newEndingServer(t), New(plainCodec{})
	call := s.call()
	call.CallerLeft = func() bool { return true }
	for range 3 {
		err := send(t, x, call)
		assert.Assert(t, fault.Is(err, fault.KindUnavailable), "%v", err)
	}
	assert.NilError(t, send(t, x, s.call()))
	assert.Equal(t, s.requests.Load(), int64(1))
}
