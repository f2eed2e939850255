package httpstrict

import (
	"net"
	"net/http"
	"net/http/httptrace"
)

// Transport is a http.RoundTripper that returns an error in place of an invalid response.
type Transport struct {
	next *http.Transport
}

// NewTransport returns a Transport that sends its requests through next, which must not be used
// otherwise.
func NewTransport(next *http.Transport) *Transport { return &Transport{next: next} }

// RoundTrip implements http.RoundTripper. After an error of CheckHead the connection is closed:
// where the next response on it begins is not known.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	var used net.Conn
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { used = info.Conn }}
	resp, err := t.next.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := CheckHead(resp); err != nil {
		_ = resp.Body.Close()
		_ = used.Close()
		return nil, err
	}
	return resp, nil
}

// CloseIdleConnections closes the idle connections.
func (t *Transport) CloseIdleConnections() { t.next.CloseIdleConnections() }
