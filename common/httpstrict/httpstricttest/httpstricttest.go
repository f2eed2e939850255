// Package httpstricttest contains a server that answers requests with given bytes, for tests of
// HTTP clients.
package httpstricttest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
)

// Malformed are whole responses, by name, that HTTP/1.1 does not allow. Their bodies end with
// their connections unless they say otherwise.
var Malformed = map[string]string{
	"status 000": "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\n{}",
	"status 099": "HTTP/1.1 099 OK\r\nContent-Length: 2\r\n\r\n{}",
	"status 101": "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n{}",
	"status 600": "HTTP/1.1 600 OK\r\nContent-Length: 2\r\n\r\n{}",
	"status 999": "HTTP/1.1 999 OK\r\nContent-Length: 2\r\n\r\n{}",

	"blank in a name":                "HTTP/1.1 200 OK\r\nX Kept: a\r\nContent-Length: 2\r\n\r\n{}",
	"blank before a colon":           "HTTP/1.1 200 OK\r\nX-Kept : a\r\nContent-Length: 2\r\n\r\n{}",
	"blank before colon of length":   "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\n{}surplus",
	"blank before colon of encoding": "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
}

// Serve starts a server on a loopback address that reads each request, writes the response and
// closes the connection, until the end of the test. It returns the server's address.
func Serve(t *testing.T, response string) string {
	t.Helper()
	return ServeFunc(t, func(*http.Request) string { return response })
}

// ServeFunc is Serve with a response that depends on the request, whose body has been read.
func ServeFunc(t *testing.T, response func(*http.Request) string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serveConn(conn, response)
		}
	}()
	return l.Addr().String()
}

// serveConn serves one request. An error shows in the client's result.
func serveConn(conn net.Conn, response func(*http.Request) string) {
	defer func() { _ = conn.Close() }()
	req, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return
	}
	_, _ = io.WriteString(conn, response(req))
}
