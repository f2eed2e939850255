// Package httpstricttest contains a server that answers requests with given bytes, for tests of
// HTTP clients.
package httpstricttest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// malformed are whole responses, by name, that HTTP/1.1 does not allow. Their bodies end with
// their connections unless they say otherwise.
var malformed = map[string]string{
	"status 000": "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\n{}",
	"status 099": "HTTP/1.1 099 OK\r\nContent-Length: 2\r\n\r\n{}",
	"status 101": "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n{}",
	"status 600": "HTTP/1.1 600 OK\r\nContent-Length: 2\r\n\r\n{}",
	"status 999": "HTTP/1.1 999 OK\r\nContent-Length: 2\r\n\r\n{}",

	"blank in a name":                "HTTP/1.1 200 OK\r\nX Kept: a\r\nContent-Length: 2\r\n\r\n{}",
	"blank before a colon":           "HTTP/1.1 200 OK\r\nX-Kept : a\r\nContent-Length: 2\r\n\r\n{}",
	"blank before colon of length":   "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\n{}surplus",
	"blank before colon of encoding": "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",

	"version 0.9":          "HTTP/0.9 200 OK\r\nContent-Length: 2\r\n\r\n{}",
	"version 2.0":          "HTTP/2.0 200 OK\r\nContent-Length: 2\r\n\r\n{}",
	"encoding in 1.0":      "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
	"encoding in 1.0, 100": "HTTP/1.0 100 OK\r\n\r\nHTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
	"1.0 after 1.1":        "HTTP/1.1 100 OK\r\n\r\nHTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
}

// MalformedTrailer returns a whole response whose trailer has a field of the given name.
func MalformedTrailer(name string) string {
	return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n" + name + ": a\r\n\r\n"
}

// EachMalformed runs check as a subtest for each of a number of malformed responses, with the
// address of a server that answers with it.
func EachMalformed(t *testing.T, check func(t *testing.T, address string)) {
	t.Helper()
	for name, response := range malformed {
		t.Run(name, func(t *testing.T) { check(t, Serve(t, response)) })
	}
}

// UploadBytes is the length of a request body that the buffers of both kernels can't hold.
const UploadBytes = 16 << 20

// CutDuringUpload is the start of a response that ends with its connection, for ServeCut.
var CutDuringUpload = "HTTP/1.1 200 OK\r\n\r\n{}" + strings.Repeat(" ", 200<<10)

// cutDelay is the time between a response and the reset of its connection. The client can receive
// the response meanwhile.
const cutDelay = 20 * time.Millisecond

// Serve starts a server on a loopback address that reads each request, writes the response and
// closes the connection, until the end of the test. It returns the server's address.
func Serve(t *testing.T, response string) string {
	t.Helper()
	return serve(t, func(conn *net.TCPConn, req *http.Request) {
		if _, err := io.Copy(io.Discard, req.Body); err == nil {
			_, _ = io.WriteString(conn, response) // an error shows in the client's result
		}
	})
}

// ServeKept starts a server that answers each request of a connection with the response. It calls
// connected for each connection, before it reads from it.
func ServeKept(t *testing.T, response string, connected func()) string {
	t.Helper()
	return listen(t, func(conn *net.TCPConn) {
		connected()
		in := bufio.NewReader(conn)
		for {
			req, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, req.Body); err != nil {
				return
			}
			_, _ = io.WriteString(conn, response) // an error shows in the client's result
		}
	})
}

// ServeCut starts a server that reads the head of each request, writes the response and resets the
// connection after a moment, without reading the request's body.
func ServeCut(t *testing.T, response string) string {
	t.Helper()
	return serve(t, func(conn *net.TCPConn, _ *http.Request) {
		_, _ = io.WriteString(conn, response) // an error shows in the client's result
		time.Sleep(cutDelay)
		_ = conn.SetLinger(0)
	})
}

// serve starts a server that calls handle with the first request of each connection, whose body is
// unread, and then closes the connection.
func serve(t *testing.T, handle func(*net.TCPConn, *http.Request)) string {
	t.Helper()
	return listen(t, func(conn *net.TCPConn) {
		if req, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			handle(conn, req)
		}
	})
}

// listen starts a server that calls handle with each connection and then closes it, until the end of
// the test. It returns the server's address.
func listen(t *testing.T, handle func(*net.TCPConn)) string {
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
			go func() {
				defer func() { _ = conn.Close() }()
				handle(conn.(*net.TCPConn))
			}()
		}
	}()
	return l.Addr().String()
}
