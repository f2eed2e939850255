// Package exchange sends one attempt of a request to a backend server and classifies
// each failure by whether the server may have run the request. Nothing is sent
// twice: the transport's own retries are off.
package exchange

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"time"

	"peridotchute.example/common/fault"
	"peridotchute.example/common/httpstrict"
	"peridotchute.example/fleet"
)

const (
	maxIdlePerServer = 32 // idle connections kept to each server
	idleTimeout      = 20 * time.Second

	// keepAliveMargin is subtracted from the server's keep-alive timeout, so that no
	// request is sent while the server closes the connection. It covers a round trip
	// and a late timer.
	keepAliveMargin = 400 * time.Millisecond

	sendStep = "exchange"
)

// MaxHeaderBytes limits the status line and headers of a response, together with the
// informational responses before it.
const MaxHeaderBytes = 64 << 10

// Call is one attempt of a request.
type Call struct {
	ID      string // of the client attempt
	Method  string
	Target  string // path and query as the client sent them
	Host    string
	Body    []byte
	Header  http.Header // as the client sent it
	Attempt fleet.Attempt
	Address string // IP:port of the server

	// CallerLeft reports whether the caller has closed its connection. It is asked once a
	// connection to the server exists; nothing is sent then. It may be nil.
	CallerLeft func() bool

	// Sendings are those of the client attempt so far. None of their connections is used
	// again. It may be nil.
	Sendings *Sendings
}

// Response is a server's response whose body has not been read.
type Response struct {
	Status  int
	Header  http.Header
	Length  int64 // of the body; -1 when unknown
	Chunked bool  // the body shows its end; if neither this nor Length does, the connection's end does
	Body    io.ReadCloser
	Outcome fleet.Outcome
	conn    *conn // nil if unknown
}

// LastReceived returns when data was last received on the response's connection, or
// the zero time if that is unknown.
func (r *Response) LastReceived() time.Time {
	if r.conn == nil {
		return time.Time{}
	}
	return processStart.Add(time.Duration(r.conn.lastUsed.Load()))
}

// Exchanger sends attempts to backend servers over shared connections.
type Exchanger struct {
	codec       fleet.Codec
	connections *connections
	transport   *http.Transport
}

// New returns an Exchanger that forwards requests as the codec prescribes.
func New(codec fleet.Codec) *Exchanger {
	cs := newConnections()
	return &Exchanger{codec: codec, connections: cs, transport: cs.newTransport()}
}

// Close closes the idle connections.
func (x *Exchanger) Close() { x.transport.CloseIdleConnections() }

// Send sends the call and returns the response. Errors have KindUnavailable when
// nothing reached the server and KindUnknown when the server may be running the
// request. KindInvalid means that the response is malformed or does not belong to the
// request, which the server may have run.
func (x *Exchanger) Send(ctx context.Context, call *Call) (*Response, error) {
	for {
		resp, err := x.sendOnce(ctx, call)
		if !errors.Is(err, errUnusable) {
			return resp, err
		}
	}
}

// sendOnce is Send with one connection. The error is errUnusable if that must not carry the
// client attempt; it is closed then, and nothing has been sent.
func (x *Exchanger) sendOnce(ctx context.Context, call *Call) (*Response, error) {
	var used *conn
	var writtenBefore int64
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*conn); ok {
			used, writtenBefore = c, c.written.Load()
			c.beginRequest(call.withheld(ctx, c), len(call.Body))
		}
	}}
	req, err := x.request(httptrace.WithClientTrace(ctx, trace), call)
	if err != nil {
		return nil, fault.New(fault.KindInternal, sendStep, call.Address, err)
	}
	resp, err := x.transport.RoundTrip(req)
	if err != nil {
		if used != nil && used.withheld.Load() == withheldUnusable {
			return nil, errUnusable
		}
		if showsEnd(err) {
			x.connections.closeIdle(call.Address)
		}
		return nil, sendError(call, used, writtenBefore, err)
	}
	if err := checkHead(resp, used); err != nil {
		_ = resp.Body.Close()
		return nil, fault.New(fault.KindInvalid, sendStep, call.Address, err)
	}
	response := &Response{
		Status:  resp.StatusCode,
		Header:  resp.Header,
		Length:  resp.ContentLength,
		Chunked: len(resp.TransferEncoding) > 0,
		Body:    resp.Body,
		Outcome: x.codec.Outcome(resp.StatusCode, resp.Header),
	}
	if used != nil {
		used.setMaxIdle(keepAliveTimeout(resp.Header))
		response.Body, response.conn = &body{ReadCloser: httpstrict.CheckTrailer(resp, used.retire), conn: used, ends: func() { x.connections.closeIdle(call.Address) }}, used
	}
	if reason := mismatch(call, response); reason != "" {
		_ = resp.Body.Close()
		return nil, fault.Newf(fault.KindInvalid, sendStep, call.Address, "%s", reason)
	}
	return response, nil
}

// checkHead returns an error if the head of a response is invalid, and then keeps further requests
// off its connection.
func checkHead(resp *http.Response, used *conn) error {
	if used == nil {
		return httpstrict.CheckHead(resp, nil)
	}
	err := httpstrict.CheckHead(resp, used.Conn)
	if err != nil {
		used.retire()
	}
	return err
}

// withheld returns why the call must not be written to the connection, if it must not, and
// otherwise counts the connection as one that has carried the client attempt.
func (call *Call) withheld(ctx context.Context, c *conn) withholding {
	switch {
	case ctx.Err() != nil || call.CallerLeft != nil && call.CallerLeft():
		return withheldCallerLeft
	case c.retired.Load(), call.Sendings != nil && !call.Sendings.add(c):
		return withheldUnusable
	}
	return notWithheld
}

// sendError classifies a failed round trip by whether anything was written. If the
// connection was established but nothing was written, it was stale.
func sendError(call *Call, used *conn, writtenBefore int64, err error) error {
	switch {
	case used == nil:
		return fault.New(fault.KindUnavailable, sendStep, call.Address, err)
	case used.written.Load() > writtenBefore:
		return fault.New(fault.KindUnknown, sendStep, call.Address, err)
	}
	return fault.New(fault.KindUnavailable, sendStep, call.Address, errors.Join(errStale, err))
}

// body marks its connection as idle at the end of the response.
type body struct {
	io.ReadCloser
	conn *conn
	ends func() // called when the connection breaks in a way that suggests that the server has ended
}

func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case err == io.EOF:
		b.conn.markIdle()
	case isMalformed(err):
		return n, fault.New(fault.KindInvalid, sendStep, b.conn.RemoteAddr().String(), err)
	case err != nil && showsEnd(err):
		b.ends()
	}
	return n, err
}

// isMalformed reports whether an error of a body says that the end of the response is invalid.
func isMalformed(err error) bool {
	var name *httpstrict.FieldNameError
	return errors.As(err, &name)
}

// request builds a request whose method, path, query, host and body reach the
// server as the client sent them.
func (x *Exchanger) request(ctx context.Context, call *Call) (*http.Request, error) {
	u, err := targetURL(call)
	if err != nil {
		return nil, err
	}
	req := &http.Request{
		Method:     call.Method,
		URL:        u,
		Host:       call.Host,
		Proto:      "HTTP/1.1",
		ProtoMajor: 1,
		ProtoMinor: 1,
		Header:     x.codec.Forward(call.Header, call.Attempt),
		Body:       io.NopCloser(bytes.NewReader(call.Body)),
	}
	if len(call.Body) > 0 {
		req.ContentLength = int64(len(call.Body))
	}
	return req.WithContext(ctx), nil
}

// targetURL returns a URL for which net/http sends call.Target unchanged. An opaque
// URL has this effect, except for a target that begins with two slashes, which is
// parsed instead.
func targetURL(call *Call) (*url.URL, error) {
	if strings.HasPrefix(call.Target, "//") {
		u, err := url.ParseRequestURI(call.Target)
		if err != nil {
			return nil, err
		}
		u.Scheme, u.Host = "http", call.Address
		return u, nil
	}
	path, query, hasQuery := strings.Cut(call.Target, "?")
	return &url.URL{Scheme: "http", Host: call.Address, Opaque: path, RawQuery: query, ForceQuery: hasQuery}, nil
}

// keepAliveTimeout returns how long the connection may be idle, based on the
// server's Keep-Alive header; 0 when the header sets no limit.
func keepAliveTimeout(h http.Header) time.Duration {
	_, v, ok := strings.Cut(h.Get("Keep-Alive"), "timeout=")
	if !ok {
		return 0
	}
	v, _, _ = strings.Cut(v, ",")
	n, err := strconv.Atoi(strings.TrimSpace(v))
	if err != nil || n < 0 {
		return 0
	}
	return max(time.Duration(n)*time.Second-keepAliveMargin, time.Millisecond)
}
