package rpc

import (
	"expvar"
	"net"
)

// Metrics of all control connections of this process, in bytes before TLS.
var (
	bytesRead    = expvar.NewInt("rpc_bytes_read")
	bytesWritten = expvar.NewInt("rpc_bytes_written")
)

// countingConn adds the bytes read from and written to a connection to the metrics.
type countingConn struct {
	net.Conn
}

// Read reads from the connection and counts the bytes.
func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	bytesRead.Add(int64(n))
	return n, err
}

// Write writes to the connection and counts the bytes.
func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	bytesWritten.Add(int64(n))
	return n, err
}

// Metrics of control calls by method.
var (
	callsSent    = expvar.NewMap("rpc_calls_sent")
	callsHandled = expvar.NewMap("rpc_calls_handled")
)
