package store

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/smithy-go"

	"peridotchute.example/common/fault"
)

// The platform admits by network; the SDK still wants to sign its requests.
const (
	region    = "local"
	accessKey = "peridotchute"
	secretKey = "peridotchute"
)

func staticCredentials(context.Context) (aws.Credentials, error) {
	return aws.Credentials{AccessKeyID: accessKey, SecretAccessKey: secretKey}, nil
}

// maxIdleConnsPerHost keeps connections for bursts of claims.
const maxIdleConnsPerHost = 64

func newTransport() *http.Transport {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.Proxy = nil
	t.MaxIdleConnsPerHost = maxIdleConnsPerHost
	return t
}

// awsConfig returns a configuration without the SDK's own retries: a retried
// conditional write that succeeded at first would look like a conflict.
func awsConfig(url string) aws.Config {
	return aws.Config{
		Region:       region,
		BaseEndpoint: aws.String(url),
		Credentials:  aws.CredentialsProviderFunc(staticCredentials),
		HTTPClient:   &http.Client{Transport: bufferedBodyTransport{next: newTransport()}},
		Retryer:      func() aws.Retryer { return aws.NopRetryer{} },
	}
}

// bufferedBodyTransport hands each request's body to the transport as a reader of memory.
// The SDK closes its own body as soon as the answer's headers are there, and a
// closed body ends with an error that makes the transport cut the connection
// while the answer is still being read.
type bufferedBodyTransport struct {
	next http.RoundTripper
}

// RoundTrip sends the request with its body read ahead.
func (m bufferedBodyTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	if req.Body == nil {
		return m.next.RoundTrip(req)
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return nil, err
	}
	if err := req.Body.Close(); err != nil {
		return nil, err
	}
	clone := req.Clone(req.Context())
	clone.Body = io.NopCloser(bytes.NewReader(body))
	clone.ContentLength = int64(len(body))
	clone.GetBody = nil
	return m.next.RoundTrip(clone)
}

func timeout(ms int) time.Duration {
	if ms > 0 {
		return time.Duration(ms) * time.Millisecond
	}
	return DefaultTimeout
}

// attempt follows one call, so that its failure can be classified.
type attempt struct {
	step      string
	peer      string
	connected atomic.Bool // a connection was obtained, so bytes may have left
}

func newAttempt(ctx context.Context, step, peer string) (context.Context, *attempt) {
	a := &attempt{step: step, peer: peer}
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { a.connected.Store(true) }}
	return httptrace.WithClientTrace(ctx, trace), a
}

// readError classifies the failure of a call without effects.
func (a *attempt) readError(err error) error {
	kind := errorKind(err)
	if kind == fault.KindUnknown {
		kind = fault.KindUnavailable
	}
	return fault.New(kind, a.step, a.peer, err)
}

// writeError classifies the failure of a write. Without an answer that says
// otherwise, a write whose bytes may have left may have taken effect.
func (a *attempt) writeError(err error) error {
	kind := errorKind(err)
	if kind == fault.KindUnknown && !a.connected.Load() {
		kind = fault.KindUnavailable
	}
	return fault.New(kind, a.step, a.peer, err)
}

// errorKind classifies by the service's answer; KindUnknown when there is
// none or when it does not rule out an effect.
func errorKind(err error) fault.Kind {
	var answer smithy.APIError
	if !errors.As(err, &answer) {
		return fault.KindUnknown
	}
	switch answer.ErrorCode() {
	case "ConditionalCheckFailedException":
		return fault.KindConflict
	case "NoSuchKey", "NotFound":
		return fault.KindNotFound
	case "ProvisionedThroughputExceededException", "ThrottlingException", "RequestLimitExceeded", "SlowDown":
		return fault.KindUnavailable
	}
	if answer.ErrorFault() == smithy.FaultClient {
		return fault.KindInvalid
	}
	return fault.KindUnknown
}
