// Package exchange sends one attempt of a request to a backend server and says
// of each failure whether the server may have run the request. Nothing is sent
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
	"peridotchute.example/fleet"
)

const (
	idlePerServer = 32 // idle connections kept to each server
	idleTimeout   = 20 * time.Second

	// keepAliveMargin is how much earlier than the server a connection is given up,
	// so that no request meets the server's close: a round trip and a late timer.
	keepAliveMargin = 400 * time.Millisecond

	sendStep = "exchange"
)

// Call is one attempt.
type Call struct {
	ID      string // of the client attempt
	Method  string
	Target  string // path and query as the client sent them
	Host    string
	Body    []byte
	Header  http.Header // as the client sent it
	Attempt fleet.Attempt
	Address string // IP:port of the server
}

// Answer is a server's answer whose body has not been read.
type Answer struct {
	Status  int
	Header  http.Header
	Length  int64 // of the body; -1 when not told
	Body    io.ReadCloser
	Outcome fleet.Outcome
}

// Exchanger sends attempts.
type Exchanger struct {
	codec     fleet.Codec
	transport *http.Transport
}

// New returns an exchanger.
func New(codec fleet.Codec) *Exchanger {
	return &Exchanger{codec: codec, transport: &http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: idlePerServer,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}}
}

// Close ends the idle connections.
func (x *Exchanger) Close() { x.transport.CloseIdleConnections() }

// Send performs the call. Errors have KindUnavailable when nothing reached the
// server, KindUnknown when the server may run the request, and KindInvalid when
// the answer is not one to this request, in which case the server may have run it.
func (x *Exchanger) Send(ctx context.Context, call *Call) (*Answer, error) {
	var used *conn
	var before int64
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*conn); ok {
			used, before = c, c.written.Load()
		}
	}}
	req, err := x.request(httptrace.WithClientTrace(ctx, trace), call)
	if err != nil {
		return nil, fault.New(fault.KindInternal, sendStep, call.Address, err)
	}
	resp, err := x.transport.RoundTrip(req)
	if err != nil {
		return nil, sendError(call, used, before, err)
	}
	answer := &Answer{
		Status:  resp.StatusCode,
		Header:  resp.Header,
		Length:  resp.ContentLength,
		Body:    resp.Body,
		Outcome: x.codec.Outcome(resp.StatusCode, resp.Header),
	}
	if used != nil {
		used.setMaxIdle(keepAliveTimeout(resp.Header))
		answer.Body = &body{ReadCloser: resp.Body, conn: used}
	}
	if reason := mismatch(call, answer); reason != "" {
		_ = resp.Body.Close()
		return nil, fault.Newf(fault.KindInvalid, sendStep, call.Address, "%s", reason)
	}
	return answer, nil
}

// sendError says whether anything was sent. A connection that was made before,
// and ended before anything was written, was stale.
func sendError(call *Call, used *conn, before int64, err error) error {
	switch {
	case used == nil:
		return fault.New(fault.KindUnavailable, sendStep, call.Address, err)
	case used.written.Load() > before:
		return fault.New(fault.KindUnknown, sendStep, call.Address, err)
	}
	return fault.New(fault.KindUnavailable, sendStep, call.Address, errors.Join(errStale, err))
}

// mismatch says why an answer cannot be the one to the call; "" when it can.
func mismatch(call *Call, a *Answer) string {
	switch {
	case a.Outcome.ID != "" && a.Outcome.ID != call.ID:
		return "the answer is to request " + a.Outcome.ID
	case a.Outcome.NotRun:
		return ""
	case a.Status < 300 && (!a.Outcome.Signed || a.Outcome.ID == ""):
		return "a successful answer without signature"
	case a.Header.Get("Content-Encoding") != "":
		return "an encoded answer, which nobody asked for"
	}
	return ""
}

// body notes the end of an answer on its connection.
type body struct {
	io.ReadCloser
	conn *conn
}

func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.conn.markIdle()
	}
	return n, err
}

// request builds the request so that method, path, query, host and body arrive
// as the client sent them.
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

// targetURL returns a URL that net/http writes exactly as the client wrote it. An
// opaque URL is written as it is, unless it begins with two slashes.
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

// keepAliveTimeout returns how long the connection may stay idle by the server's word.
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
