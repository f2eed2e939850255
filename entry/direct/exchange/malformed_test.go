package exchange

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"peridotchute.example/common/fault"
)

// rawServer answers each request with the same bytes and keeps its connections.
type rawServer struct {
	net.Listener
	response string

	mu       sync.Mutex
	requests []int // on each connection
}

func startRawServer(t *testing.T, response string) *rawServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	s := &rawServer{Listener: l, response: response}
	go s.accept()
	return s
}

func (s *rawServer) accept() {
	for n := 0; ; n++ {
		c, err := s.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.requests = append(s.requests, 0)
		s.mu.Unlock()
		go s.serve(c, n)
	}
}

func (s *rawServer) serve(c net.Conn, number int) {
	defer func() { _ = c.Close() }()
	for in := bufio.NewReader(c); ; {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		s.mu.Lock()
		s.requests[number]++
		s.mu.Unlock()
		if _, err := io.WriteString(c, s.response); err != nil {
			return
		}
	}
}

// malformedHeads are heads of responses without a body, by name, that HTTP does not allow.
var malformedHeads = map[string]string{
	"status":     "HTTP/1.1 600 OK\r\nContent-Length: 0\r\n\r\n",
	"field name": "HTTP/1.1 200 OK\r\nX Kept: a\r\nContent-Length: 0\r\n\r\n",
	"version":    "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nTransfer-Encoding: chunked\r\nContent-Length: 0\r\n\r\n",
}

// TestConnectionIsUsedAfterMalformedResponse has a server answer with a malformed head and keep the
// connection. The transport then takes the connection for idle; no further request may use it.
func TestConnectionIsUsedAfterMalformedResponse(t *testing.T) {
	const sent = 3
	for name, head := range malformedHeads {
		t.Run(name, func(t *testing.T) {
			server := startRawServer(t, head)
			x := New(plainCodec{})
			defer x.Close()
			for range sent {
				_, err := x.Send(t.Context(), &Call{ID: "1", Method: http.MethodPost, Target: "/x", Host: "a.example", Body: []byte("pay"), Address: server.Addr().String()})
				assert.Assert(t, fault.Is(err, fault.KindInvalid), "%v", err)
			}
			server.mu.Lock()
			defer server.mu.Unlock()
			assert.DeepEqual(t, server.requests, []int{1, 1, 1})
		})
	}
}
