package operator

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cenkalti/backoff/v5"

	"peridotchute.example/common/fault"
	"peridotchute.example/common/httpstrict"
	"peridotchute.example/common/keyfile"
	"peridotchute.example/common/tlsfile"
	"peridotchute.example/config"
	"peridotchute.example/operator/api"
)

const (
	defaultTimeout   = 15 * time.Second // per request
	maxResponseBytes = 64 << 20
	acceptAttempts   = 6
)

// Options configures a Client.
type Options struct {
	URL     string        // of an entry's administration listener, or of a load balancer in front of several
	KeyFile string        // file with the operator's key
	CAFile  string        // certificate authorities for https; empty means the system's
	Timeout time.Duration // per request; 0 means 15 s
}

// Client calls the administration API. Errors are *fault.Error; KindUnknown
// means that the request may have taken effect. An error response of the API is
// wrapped as an *APIError.
type Client struct {
	base string
	key  string
	http *http.Client
}

// APIError is an error response of the API.
type APIError struct {
	Status int
	Body   api.Error
}

// Error returns the message, followed by the configuration difference, if any,
// on separate lines.
func (e *APIError) Error() string {
	text := e.Body.Error.Message
	if len(e.Body.Difference) > 0 {
		text += "\n" + e.Body.Difference.String()
	}
	return text
}

// New returns a client. It fails if the URL is invalid or the key file or CA
// file cannot be used.
func New(opts Options) (*Client, error) {
	if _, err := url.ParseRequestURI(opts.URL); err != nil {
		return nil, fault.New(fault.KindInvalid, "operator.url", "", err)
	}
	key, err := keyfile.Read(opts.KeyFile)
	if err != nil {
		return nil, err
	}
	tlsConfig, err := tlsfile.Client(opts.CAFile)
	if err != nil {
		return nil, err
	}
	if opts.Timeout <= 0 {
		opts.Timeout = defaultTimeout
	}
	return &Client{
		base: strings.TrimSuffix(opts.URL, "/") + api.Prefix,
		key:  key,
		http: &http.Client{
			Timeout:       opts.Timeout,
			Transport:     httpstrict.NewTransport(&http.Transport{TLSClientConfig: tlsConfig}),
			CheckRedirect: noRedirect,
		},
	}, nil
}

// noRedirect disables redirects, so that the key is not sent to another server.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Validate checks a declaration (JSON with comments) without changing anything.
func (c *Client) Validate(ctx context.Context, declaration []byte) error {
	_, err := send[api.ValidateReply](ctx, c, http.MethodPost, api.PathValidate, declaration)
	return err
}

// Plan returns the effects of accepting a declaration (JSON with comments).
func (c *Client) Plan(ctx context.Context, declaration []byte) (*api.Plan, error) {
	return send[api.Plan](ctx, c, http.MethodPost, api.PathPlan, declaration)
}

// PlanConfiguration is like Plan, but takes a configuration built in Go.
func (c *Client) PlanConfiguration(ctx context.Context, declared *config.Configuration) (*api.Plan, error) {
	return post[api.Plan](ctx, c, api.PathPlan, declared)
}

// Revert returns a plan for a new version with the contents of an earlier one.
func (c *Client) Revert(ctx context.Context, version uint64) (*api.Plan, error) {
	return post[api.Plan](ctx, c, api.PathRevert, api.RevertRequest{Version: version})
}

// Accept activates the plan with the given digest. Accepting is idempotent, so
// it is retried while its outcome is unknown.
func (c *Client) Accept(ctx context.Context, digest string) (*api.AcceptReply, error) {
	uncertain := false // an earlier attempt may have taken effect
	attempt := func() (*api.AcceptReply, error) {
		reply, err := post[api.AcceptReply](ctx, c, api.PathAccept, api.AcceptRequest{Digest: digest})
		if uncertain && fault.Is(err, fault.KindUnavailable) {
			err = fault.New(fault.KindUnknown, "operator "+api.PathAccept, c.base, err)
		}
		uncertain = uncertain || fault.Is(err, fault.KindUnknown)
		if err != nil && !fault.Is(err, fault.KindUnknown) {
			return nil, backoff.Permanent(err)
		}
		return reply, err
	}
	return backoff.Retry(ctx, attempt, backoff.WithBackOff(backoff.NewExponentialBackOff()), backoff.WithMaxTries(acceptAttempts))
}

// Configuration returns the configuration active at the responding entry.
func (c *Client) Configuration(ctx context.Context) (*config.Configuration, error) {
	return send[config.Configuration](ctx, c, http.MethodGet, api.PathConfiguration, nil)
}

// Status returns the state of the deployment as seen by the responding entry.
func (c *Client) Status(ctx context.Context) (*api.Status, error) {
	return send[api.Status](ctx, c, http.MethodGet, api.PathStatus, nil)
}

// History returns up to limit accepted versions, newest first.
func (c *Client) History(ctx context.Context, limit int) (*api.History, error) {
	return send[api.History](ctx, c, http.MethodGet, api.PathHistory+query("limit", strconv.Itoa(limit)), nil)
}

// Audit returns the audit records that follow the record with the ID after,
// oldest first. If after is empty, it returns those of the last 24 hours.
func (c *Client) Audit(ctx context.Context, after string) (*api.Audit, error) {
	return send[api.Audit](ctx, c, http.MethodGet, api.PathAudit+query("after", after), nil)
}

// Unresolved returns one page of the actions whose outcome is unknown. after is
// empty or the Next field of the previous page.
func (c *Client) Unresolved(ctx context.Context, after string) (*api.UnresolvedList, error) {
	return send[api.UnresolvedList](ctx, c, http.MethodGet, api.PathUnresolved+query("after", after), nil)
}

// Settle records the outcome of an unresolved action.
func (c *Client) Settle(ctx context.Context, req api.SettleRequest) (*api.SettleReply, error) {
	return post[api.SettleReply](ctx, c, api.PathSettle, req)
}

// Drain asks a backend server to stop accepting new work.
func (c *Client) Drain(ctx context.Context, server string) (*api.DrainReply, error) {
	return post[api.DrainReply](ctx, c, api.PathDrain, api.DrainRequest{Server: server})
}

// Dump returns the internal state of the responding entry as JSON.
func (c *Client) Dump(ctx context.Context) (*json.RawMessage, error) {
	return send[json.RawMessage](ctx, c, http.MethodGet, api.PathDump, nil)
}

func query(name, value string) string {
	if value == "" {
		return ""
	}
	return "?" + url.Values{name: {value}}.Encode()
}

func post[T any](ctx context.Context, c *Client, path string, body any) (*T, error) {
	raw, err := json.Marshal(body)
	if err != nil {
		return nil, fault.New(fault.KindInvalid, "operator.encode", "", err)
	}
	return send[T](ctx, c, http.MethodPost, path, raw)
}

// send sends one request and decodes the response. A request that fails after
// the connection was established may have been handled; the error then has
// KindUnknown.
func send[T any](ctx context.Context, c *Client, method, path string, body []byte) (*T, error) {
	step := "operator " + path
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, fault.New(fault.KindInvalid, step, c.base, err)
	}
	req.Header.Set("Authorization", "Bearer "+c.key)
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, fault.New(kindOfRequestError(err), step, c.base, err)
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return nil, fault.New(fault.KindUnknown, step, c.base, err)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fault.New(kindOfStatus(resp.StatusCode), step, c.base, parseAPIError(resp.StatusCode, raw))
	}
	v := new(T)
	if err := json.Unmarshal(raw, v); err != nil {
		return nil, fault.New(fault.KindInternal, step, c.base, err)
	}
	return v, nil
}

// kindOfRequestError returns KindUnavailable if the server's certificate was
// rejected, since nothing was sent then, and classifies other errors by
// fault.KindOfNetworkError.
func kindOfRequestError(err error) fault.Kind {
	var cert *tls.CertificateVerificationError
	if errors.As(err, &cert) {
		return fault.KindUnavailable
	}
	return fault.KindOfNetworkError(err)
}

func parseAPIError(status int, raw []byte) *APIError {
	e := &APIError{Status: status}
	if err := json.Unmarshal(raw, &e.Body); err != nil || e.Body.Error.Message == "" {
		e.Body.Error.Message = fmt.Sprintf("status %d: %.200s", status, raw)
	}
	return e
}

func kindOfStatus(status int) fault.Kind {
	switch status {
	case http.StatusUnauthorized, http.StatusForbidden:
		return fault.KindRefused
	case http.StatusNotFound:
		return fault.KindNotFound
	case http.StatusConflict:
		return fault.KindConflict
	case http.StatusServiceUnavailable:
		return fault.KindUnavailable
	case http.StatusGatewayTimeout, http.StatusBadGateway:
		return fault.KindUnknown
	}
	if status >= http.StatusInternalServerError {
		return fault.KindInternal
	}
	return fault.KindInvalid
}

// APIErrorOf returns the API's error response in err's chain, or nil.
func APIErrorOf(err error) *APIError {
	var e *APIError
	errors.As(err, &e)
	return e
}
