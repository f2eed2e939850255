package httpstrict

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
)

// Transport is a http.RoundTripper that returns an error in place of an invalid response, and
// whose response bodies end with an error if they are cut.
type Transport struct {
	next *http.Transport
}

// NewTransport returns a Transport that sends its requests through next, which must not be used
// otherwise. It replaces next.DialContext by a function that calls it.
func NewTransport(next *http.Transport) *Transport {
	dial := next.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	next.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(c), nil
	}
	return &Transport{next: next}
}

// RoundTrip implements http.RoundTripper. After an error of CheckHead the connection is closed:
// where the next response on it begins is not known.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	var used net.Conn
	var plain *Conn // nil with TLS, which shows a cut by itself
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		used = info.Conn
		plain, _ = used.(*Conn)
		if plain != nil {
			plain.BeginRequest(bodyLength(req))
		}
	}}
	resp, err := t.next.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := CheckHead(resp, plain); err != nil {
		_ = resp.Body.Close()
		_ = used.Close()
		return nil, err
	}
	resp.Body = CheckTrailer(resp, func() { _ = used.Close() })
	return resp, nil
}

// bodyLength returns the length of a request's body in bytes, or UnknownLength.
func bodyLength(req *http.Request) int64 {
	switch {
	case req.Body == nil || req.Body == http.NoBody:
		return 0
	case req.ContentLength > 0:
		return req.ContentLength
	}
	return UnknownLength
}

// CloseIdleConnections closes the idle connections.
func (t *Transport) CloseIdleConnections() { t.next.CloseIdleConnections() }
