// Package forward sends requests from the entry to side processes and relays
// their responses to callers. A truncated response never looks complete to the
// caller.
package forward

import (
	"bytes"
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"peridotchute.example/common/fault"
	"peridotchute.example/common/httpstrict"
	"peridotchute.example/common/wire"
)

const (
	dialTimeout      = time.Second
	maxIdlePerServer = 64 // idle connections to each side process
	idleTimeout      = 60 * time.Second
	maxAnswerBytes   = 64 << 20 // longest response that is not streamed
	stepSend         = "forward.send"
	contentTypeSSE   = "text/event-stream"
	headerAccept     = "Accept"
	headerType       = "Content-Type"
	headerRetryAfter = "Retry-After"
)

// Call is one attempt of a request at one side process.
type Call struct {
	Method      string
	Path        string // including the query
	ContentType string
	Accept      string
	Body        []byte
	RequestID   string
	Team        string
	Priority    int
	Artifact    wire.Artifact // zero for plain services
	Deadline    time.Time
	Claim       *wire.Claim // nil for idempotent requests
	LastEventID string      // id of the event after which a stream is resumed
}

// Forwarder sends calls to side processes.
type Forwarder struct {
	key              string
	scheme           string
	idempotentClient *http.Client // reuses connections
	actionClient     *http.Client // opens a connection for each call, so that the transport never retries it
}

// New returns a Forwarder that sends the deployment key with each call. conf is
// nil for plain HTTP.
func New(key string, conf *tls.Config) *Forwarder {
	dialer := &net.Dialer{Timeout: dialTimeout}
	keepAlive := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: maxIdlePerServer,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
		TLSClientConfig:     conf,
	}
	scheme := "http://"
	if conf != nil {
		scheme = "https://"
	}
	singleUse := keepAlive.Clone()
	singleUse.DisableKeepAlives = true
	return &Forwarder{
		key:              key,
		scheme:           scheme,
		idempotentClient: &http.Client{Transport: httpstrict.NewTransport(keepAlive), CheckRedirect: noRedirect},
		actionClient:     &http.Client{Transport: httpstrict.NewTransport(singleUse), CheckRedirect: noRedirect},
	}
}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Send sends the call to the side process at address. The error has
// KindUnavailable if nothing reached the side process, KindUnknown if something
// may have, and KindInvalid if the response belongs to another request.
func (f *Forwarder) Send(ctx context.Context, address string, c Call) (*http.Response, error) {
	req, err := f.request(ctx, address, c)
	if err != nil {
		return nil, fault.New(fault.KindInternal, stepSend, address, err)
	}
	client := f.idempotentClient
	if c.Claim != nil {
		client = f.actionClient
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, fault.New(fault.KindOfNetworkError(err), stepSend, address, err)
	}
	if got := resp.Header.Get(wire.HeaderRequestID); got != c.RequestID {
		_ = resp.Body.Close()
		return nil, fault.Newf(fault.KindInvalid, stepSend, address, "response to request %q, want %q", got, c.RequestID)
	}
	return resp, nil
}

func (f *Forwarder) request(ctx context.Context, address string, c Call) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, c.Method, f.scheme+address+c.Path, bytes.NewReader(c.Body))
	if err != nil {
		return nil, err
	}
	req.GetBody = nil
	h := req.Header
	set := func(name, value string) {
		if value != "" {
			h.Set(name, value)
		}
	}
	set(headerType, c.ContentType)
	set(headerAccept, c.Accept)
	set(wire.HeaderRequestID, c.RequestID)
	set(wire.HeaderTeam, c.Team)
	set(wire.HeaderLastEventID, c.LastEventID)
	set(wire.HeaderDeployment, f.key)
	set(wire.HeaderPriority, strconv.Itoa(c.Priority))
	remaining := max(time.Until(c.Deadline).Milliseconds(), 1)
	set(wire.HeaderDeadline, strconv.FormatInt(remaining, 10))
	if c.Artifact != (wire.Artifact{}) {
		set(wire.HeaderArtifact, c.Artifact.String())
	}
	if c.Claim != nil {
		set(wire.HeaderClaim, c.Claim.String())
	}
	return req, nil
}

// Response is a complete response that is not streamed.
type Response struct {
	Status      int
	ContentType string
	RetryAfter  string
	Body        []byte
}

// ReadResponse reads the whole body of resp and closes it. The error has KindUnknown
// if the body is truncated or too long.
func ReadResponse(resp *http.Response, peer string) (Response, error) {
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err != nil {
		return Response{}, fault.New(fault.KindUnknown, "forward.read", peer, err)
	}
	if len(body) > maxAnswerBytes {
		return Response{}, fault.Newf(fault.KindUnknown, "forward.read", peer, "response longer than %d bytes", maxAnswerBytes)
	}
	return Response{
		Status:      resp.StatusCode,
		ContentType: resp.Header.Get(headerType),
		RetryAfter:  resp.Header.Get(headerRetryAfter),
		Body:        body,
	}, nil
}

// Write writes the response and its outcome to the caller.
func (a Response) Write(w http.ResponseWriter, outcome wire.Outcome) {
	h := w.Header()
	if a.ContentType != "" {
		h.Set(headerType, a.ContentType)
	}
	if a.RetryAfter != "" {
		h.Set(headerRetryAfter, a.RetryAfter)
	}
	h.Set("Content-Length", strconv.Itoa(len(a.Body)))
	h.Set(wire.HeaderOutcome, string(outcome))
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
}
