package gate

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"peridotchute.example/common/fault"
	"peridotchute.example/common/httpstrict"
	"peridotchute.example/common/wire"
)

const (
	backendDialTimeout = time.Second
	maxIdleConns       = 256 // idle connections to the backend server
	copyBufferBytes    = 32 << 10
	maxBodyBytes       = 64 << 20
)

// forwardedHeaders are the request headers that are sent to the backend server.
var forwardedHeaders = []string{
	"Accept", "Content-Type", wire.HeaderRequestID, wire.HeaderPriority, wire.HeaderLastEventID, wire.HeaderArtifact,
}

// returnedHeaders are the backend server's response headers that are sent to the
// entry.
var returnedHeaders = []string{"Content-Type", "Content-Length", "Retry-After", "Cache-Control", "Location", "ETag"}

// backend calls the backend server.
type backend struct {
	url    string
	pooled *http.Client // reuses connections; for idempotent requests
	action *http.Client // a new connection for each action, so that the transport never resends it
}

func newBackend(url string) *backend {
	dialer := &net.Dialer{Timeout: backendDialTimeout}
	transport := &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: maxIdleConns, DisableCompression: true}
	noReuse := transport.Clone()
	noReuse.DisableKeepAlives = true
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &backend{
		url:    strings.TrimSuffix(url, "/"),
		pooled: &http.Client{Transport: httpstrict.NewTransport(transport), CheckRedirect: noRedirect},
		action: &http.Client{Transport: httpstrict.NewTransport(noReuse), CheckRedirect: noRedirect},
	}
}

// callObserver is notified of the steps of a call.
type callObserver interface {
	requestSent()
	responseStarted(ok bool)       // response header received (ok), or the call failed
	notFound(r *http.Request) bool // status 404; returns whether the request needs an artifact
	load() wire.Load
}

// serve sends the request to the backend server and streams the response. If the
// response breaks off, serve panics with http.ErrAbortHandler, which closes the
// connection to the entry, so that the response does not look complete.
func (b *backend) serve(w http.ResponseWriter, r *http.Request, observer callObserver) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		wire.NewFailure(http.StatusBadRequest, wire.OutcomeNotRun, codeBody, "the request's body did not arrive").Write(w)
		return
	}
	observer.requestSent()
	resp, err := b.call(r, body)
	observer.responseStarted(err == nil)
	w.Header().Set(wire.HeaderLoad, observer.load().String())
	if err == nil && resp.StatusCode == http.StatusNotFound && observer.notFound(r) {
		_ = resp.Body.Close()
		notLoadedFailure(r).Write(w)
		return
	}
	if err != nil {
		callFailure(err).Write(w)
		return
	}
	defer resp.Body.Close()
	for _, name := range returnedHeaders {
		if v := resp.Header.Get(name); v != "" {
			w.Header().Set(name, v)
		}
	}
	w.WriteHeader(resp.StatusCode)
	if err := copyFlushing(w, resp.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// call sends the request with the given body, which is in memory: r.Body is closed
// as soon as the response begins, and a transport that is still reading it then
// breaks off the response.
func (b *backend) call(r *http.Request, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(r.Context(), r.Method, b.url+r.URL.RequestURI(), bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.GetBody = nil
	for _, name := range forwardedHeaders {
		if v := r.Header.Get(name); v != "" {
			req.Header.Set(name, v)
		}
	}
	if claim, err := wire.ParseClaim(r.Header.Get(wire.HeaderClaim)); err == nil {
		req.Header.Set(wire.HeaderAction, claim.Key)
		return b.action.Do(req)
	}
	return b.pooled.Do(req)
}

// notLoadedFailure is the response for an artifact that the backend server has
// unloaded on its own. The request was not run.
func notLoadedFailure(r *http.Request) *wire.Failure {
	artifact := r.Header.Get(wire.HeaderArtifact)
	return wire.NewFailure(http.StatusServiceUnavailable, wire.OutcomeNotRun, codeNotResident, "the engine has not loaded %s", artifact).WithRetryAfter(retryAfter)
}

// callFailure returns the response for a failed call. Its outcome is "not run" if
// the request was certainly not sent, and "unknown" otherwise.
func callFailure(err error) *wire.Failure {
	outcome := wire.OutcomeUnknown
	if fault.KindOfNetworkError(err) == fault.KindUnavailable {
		outcome = wire.OutcomeNotRun
	}
	return wire.NewFailure(http.StatusBadGateway, outcome, codeBackend, "the backend server did not answer").WithRetryAfter(retryAfter)
}

// copyBuffers pools buffers of copyBufferBytes.
var copyBuffers = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

// copyFlushing copies source to w and flushes after each read, so that streamed
// events are not delayed.
func copyFlushing(w http.ResponseWriter, source io.Reader) error {
	control := http.NewResponseController(w)
	pooled := copyBuffers.Get().(*[copyBufferBytes]byte)
	defer copyBuffers.Put(pooled)
	buf := pooled[:]
	for {
		n, err := source.Read(buf)
		if n > 0 {
			if _, werr := w.Write(buf[:n]); werr != nil {
				return werr
			}
			if ferr := control.Flush(); ferr != nil {
				return ferr
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
