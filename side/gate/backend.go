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
	"peridotchute.example/common/wire"
)

const (
	backendDialTimeout = time.Second
	backendIdle        = 256 // idle connections kept to the backend server
	copyBufferBytes    = 32 << 10
	maxBodyBytes       = 64 << 20
)

// forwardedHeaders reach the backend server; every other header stays here.
var forwardedHeaders = []string{
	"Accept", "Content-Type", wire.HeaderRequestID, wire.HeaderPriority, wire.HeaderLastEventID, wire.HeaderArtifact,
}

// returnedHeaders reach the entry.
var returnedHeaders = []string{"Content-Type", "Content-Length", "Retry-After", "Cache-Control", "Location", "ETag"}

// backend calls the backend server.
type backend struct {
	url    string
	kept   *http.Client // idempotent work, connections kept
	action *http.Client // a new connection for each call, so that no transport replays it
}

func newBackend(url string) *backend {
	dialer := &net.Dialer{Timeout: backendDialTimeout}
	kept := &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: backendIdle, DisableCompression: true}
	fresh := kept.Clone()
	fresh.DisableKeepAlives = true
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &backend{
		url:    strings.TrimSuffix(url, "/"),
		kept:   &http.Client{Transport: kept, CheckRedirect: noRedirect},
		action: &http.Client{Transport: fresh, CheckRedirect: noRedirect},
	}
}

// watcher is told of the steps of a call.
type watcher interface {
	sent()
	answered(ok bool)            // the first byte has come, or never will
	denied(r *http.Request) bool // not found; whether an artifact was meant
	load() wire.Load
}

// serve performs the call and streams its answer. An answer that is cut cuts
// the connection to the entry, so that it does not look whole.
func (b *backend) serve(w http.ResponseWriter, r *http.Request, watch watcher) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		wire.NewFailure(http.StatusBadRequest, wire.OutcomeNotRun, codeBody, "the request's body did not arrive").Write(w)
		return
	}
	watch.sent()
	resp, err := b.call(r, body)
	watch.answered(err == nil)
	w.Header().Set(wire.HeaderLoad, watch.load().String())
	if err == nil && resp.StatusCode == http.StatusNotFound && watch.denied(r) {
		_ = resp.Body.Close()
		deniedFailure(r).Write(w)
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

// call sends the request with its body. The body is in memory, since that of r
// is closed as soon as the answer begins, and a transport that still reads it
// then cuts the answer.
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
	return b.kept.Do(req)
}

// deniedFailure answers a request whose artifact the backend server has let go
// of by itself. It was not run.
func deniedFailure(r *http.Request) *wire.Failure {
	artifact := r.Header.Get(wire.HeaderArtifact)
	return wire.NewFailure(http.StatusServiceUnavailable, wire.OutcomeNotRun, codeNotResident, "the engine does not hold %s", artifact).After(retryElsewhere)
}

// callFailure tells a call that never left from one that may have run.
func callFailure(err error) *wire.Failure {
	outcome := wire.OutcomeUnknown
	if fault.OfExchange(err) == fault.KindUnavailable {
		outcome = wire.OutcomeNotRun
	}
	return wire.NewFailure(http.StatusBadGateway, outcome, codeBackend, "the backend server did not answer").After(retryElsewhere)
}

// copyBuffers holds buffers of copyBufferBytes.
var copyBuffers = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

// copyFlushing copies and flushes what each read brings.
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
