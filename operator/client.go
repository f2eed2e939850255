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
	"peridotchute.example/common/keyfile"
	"peridotchute.example/common/tlsfile"
	"peridotchute.example/config"
	"peridotchute.example/operator/api"
)

const (
	defaultTimeout = 15 * time.Second // of one request
	maxAnswerBytes = 64 << 20
	acceptAttempts = 6
)

// Options locate the administration API.
type Options struct {
	URL     string        // of an entry's administration listener, or of the balancer before several
	KeyFile string        // holds the operator's key
	CAFile  string        // trusted for https; empty means the machine's authorities
	Timeout time.Duration // of one request; 0 means 15 s
}

// Client calls the administration API. Errors are *fault.Error whose kind says
// what may be concluded; the cause of a refusal is a *Refusal.
type Client struct {
	base string
	key  string
	http *http.Client
}

// Refusal is an answer of the API that is not a success.
type Refusal struct {
	Status int
	Body   api.Error
}

// Error returns the message, then the problems or the difference, one a line.
func (r *Refusal) Error() string {
	text := r.Body.Error.Message
	if len(r.Body.Difference) > 0 {
		text += "\n" + r.Body.Difference.String()
	}
	return text
}

// New returns a client. Errors have KindInvalid.
func New(opts Options) (*Client, error) {
	if _, err := url.ParseRequestURI(opts.URL); err != nil {
		return nil, fault.New(fault.KindInvalid, "operator.url", "", err)
	}
	key, err := keyfile.Read(opts.KeyFile)
	if err != nil {
		return nil, err
	}
	conf, err := tlsfile.Client(opts.CAFile)
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
			Transport:     &http.Transport{TLSClientConfig: conf},
			CheckRedirect: noRedirect,
		},
	}, nil
}

// noRedirect keeps the key from being sent elsewhere.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Validate checks a declaration, JSON with comments, and changes nothing.
func (c *Client) Validate(ctx context.Context, declaration []byte) error {
	_, err := send[api.ValidateReply](ctx, c, http.MethodPost, api.PathValidate, declaration)
	return err
}

// Plan returns what accepting a declaration, JSON with comments, would cause.
func (c *Client) Plan(ctx context.Context, declaration []byte) (*api.Plan, error) {
	return send[api.Plan](ctx, c, http.MethodPost, api.PathPlan, declaration)
}

// PlanConfiguration is Plan for a configuration made in Go.
func (c *Client) PlanConfiguration(ctx context.Context, declared *config.Configuration) (*api.Plan, error) {
	return post[api.Plan](ctx, c, api.PathPlan, declared)
}

// Revert returns a plan that brings back an earlier version as a new one.
func (c *Client) Revert(ctx context.Context, version uint64) (*api.Plan, error) {
	return post[api.Plan](ctx, c, api.PathRevert, api.RevertRequest{Version: version})
}

// Accept puts the plan with this digest in force. Accepting a digest again has
// no further effect, so it is repeated while its outcome is not known.
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

// Configuration returns the configuration in force at the answering entry.
func (c *Client) Configuration(ctx context.Context) (*config.Configuration, error) {
	return send[config.Configuration](ctx, c, http.MethodGet, api.PathConfiguration, nil)
}

// Status returns the deployment as the answering entry sees it.
func (c *Client) Status(ctx context.Context) (*api.Status, error) {
	return send[api.Status](ctx, c, http.MethodGet, api.PathStatus, nil)
}

// History returns up to limit accepted versions, newest first.
func (c *Client) History(ctx context.Context, limit int) (*api.History, error) {
	return send[api.History](ctx, c, http.MethodGet, api.PathHistory+query("limit", strconv.Itoa(limit)), nil)
}

// Audit returns what operators did, oldest first, after the record named after;
// from 24 hours ago when it is empty.
func (c *Client) Audit(ctx context.Context, after string) (*api.Audit, error) {
	return send[api.Audit](ctx, c, http.MethodGet, api.PathAudit+query("after", after), nil)
}

// Unresolved returns the actions whose outcome is not known, after a key.
func (c *Client) Unresolved(ctx context.Context, after string) (*api.UnresolvedList, error) {
	return send[api.UnresolvedList](ctx, c, http.MethodGet, api.PathUnresolved+query("after", after), nil)
}

// Settle records what became of an unresolved action.
func (c *Client) Settle(ctx context.Context, req api.SettleRequest) (*api.SettleReply, error) {
	return post[api.SettleReply](ctx, c, api.PathSettle, req)
}

// Drain asks a backend server to take no new work.
func (c *Client) Drain(ctx context.Context, server string) (*api.DrainReply, error) {
	return post[api.DrainReply](ctx, c, api.PathDrain, api.DrainRequest{Server: server})
}

// Dump returns the state of the answering entry as JSON.
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

// send makes one request. One that failed after the connection was made may
// have been handled, which is KindUnknown.
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
		return nil, fault.New(sendKind(err), step, c.base, err)
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return nil, fault.New(fault.KindUnknown, step, c.base, err)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fault.New(kindOf(resp.StatusCode), step, c.base, refusal(resp.StatusCode, raw))
	}
	v := new(T)
	if err := json.Unmarshal(raw, v); err != nil {
		return nil, fault.New(fault.KindInternal, step, c.base, err)
	}
	return v, nil
}

// sendKind tells a connection that was never made, over which nothing was
// sent, from every other failure.
func sendKind(err error) fault.Kind {
	var cert *tls.CertificateVerificationError
	if errors.As(err, &cert) {
		return fault.KindUnavailable
	}
	return fault.OfExchange(err)
}

func refusal(status int, raw []byte) *Refusal {
	r := &Refusal{Status: status}
	if err := json.Unmarshal(raw, &r.Body); err != nil || r.Body.Error.Message == "" {
		r.Body.Error.Message = fmt.Sprintf("status %d: %.200s", status, raw)
	}
	return r
}

func kindOf(status int) fault.Kind {
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

// RefusalOf returns the API's answer in err's chain, or nil.
func RefusalOf(err error) *Refusal {
	var r *Refusal
	errors.As(err, &r)
	return r
}
