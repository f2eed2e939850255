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
	"peridotchute.example/common/httpstrict"
)

// The platform authorizes clients by network, but the SDK requires credentials to
// sign requests.
const (
	region    = "local"
	accessKey = "peridotchute"
	secretKey = "peridotchute"
)

func staticCredentials(context.Context) (aws.Credentials, error) {
	return aws.Credentials{AccessKeyID: accessKey, SecretAccessKey: secretKey}, nil
}

// maxIdleConnsPerHost is large enough to reuse connections in bursts of claims.
const maxIdleConnsPerHost = 64

func newTransport() http.RoundTripper {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.Proxy = nil
	t.MaxIdleConnsPerHost = maxIdleConnsPerHost
	return httpstrict.NewTransport(t)
}

// awsConfig returns a configuration without the SDK's own retries. If the response
// to a successful conditional write is lost, the retry would report a conflict.
func awsConfig(url string) aws.Config {
	return aws.Config{
		Region:       region,
		BaseEndpoint: aws.String(url),
		Credentials:  aws.CredentialsProviderFunc(staticCredentials),
		HTTPClient:   &http.Client{Transport: bufferedBodyTransport{next: newTransport()}},
		Retryer:      func() aws.Retryer { return aws.NopRetryer{} },
	}
}

// bufferedBodyTransport reads each request body into memory before sending it. The
// SDK closes its body as soon as the response headers have arrived. Reads of a
// closed body fail, which would make the transport close the connection while the
// response is still being read.
type bufferedBodyTransport struct {
	next http.RoundTripper
}

// RoundTrip sends the request with a buffered body.
func (t bufferedBodyTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	if req.Body == nil {
		return t.next.RoundTrip(req)
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
	return t.next.RoundTrip(clone)
}

func timeout(ms int) time.Duration {
	if ms > 0 {
		return time.Duration(ms) * time.Millisecond
	}
	return DefaultTimeout
}

// attempt tracks one call to classify its error.
type attempt struct {
	step      string
	peer      string
	connected atomic.Bool // a connection was obtained, so the request may have been sent
}

func newAttempt(ctx context.Context, step, peer string) (context.Context, *attempt) {
	a := &attempt{step: step, peer: peer}
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { a.connected.Store(true) }}
	return httptrace.WithClientTrace(ctx, trace), a
}

// readError classifies the error of a read.
func (a *attempt) readError(err error) error {
	kind := errorKind(err)
	if kind == fault.KindUnknown {
		kind = fault.KindUnavailable
	}
	return fault.New(kind, a.step, a.peer, err)
}

// writeError classifies the error of a write. If the request may have been sent,
// the error is KindUnknown unless the response rules out that it took effect.
func (a *attempt) writeError(err error) error {
	kind := errorKind(err)
	if kind == fault.KindUnknown && !a.connected.Load() {
		kind = fault.KindUnavailable
	}
	return fault.New(kind, a.step, a.peer, err)
}

// errorKind returns the kind for the error code in the service's response. It
// returns KindUnknown if there is no response or the call may have taken effect.
func errorKind(err error) fault.Kind {
	var apiErr smithy.APIError
	if !errors.As(err, &apiErr) {
		return fault.KindUnknown
	}
	switch apiErr.ErrorCode() {
	case "ConditionalCheckFailedException":
		return fault.KindConflict
	case "NoSuchKey", "NotFound":
		return fault.KindNotFound
	case "ProvisionedThroughputExceededException", "ThrottlingException", "RequestLimitExceeded", "SlowDown":
		return fault.KindUnavailable
	}
	if apiErr.ErrorFault() == smithy.FaultClient {
		return fault.KindInvalid
	}
	return fault.KindUnknown
}
