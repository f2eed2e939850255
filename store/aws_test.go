package store

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// closableBody returns an error from reads after Close.
type closableBody struct {
	io.Reader
	closed bool
}

func (b *closableBody) Read(p []byte) (int, error) {
	if b.closed {
		return 0, io.ErrClosedPipe
	}
	return b.Reader.Read(p)
}

func (b *closableBody) Close() error {
	b.closed = true
	return nil
}

// roundTrip adapts a function to http.RoundTripper.
type roundTrip func(*http.Request) (*http.Response, error)

func (f roundTrip) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

func TestBodyReadableAfterClose(t *testing.T) {
	body := &closableBody{Reader: strings.NewReader("request")}
	req, err := http.NewRequest(http.MethodPost, "http://127.0.0.1/", body)
	assert.NilError(t, err)
	transport := bufferedBodyTransport{next: roundTrip(func(sent *http.Request) (*http.Response, error) {
		assert.NilError(t, body.Close())
		got, err := io.ReadAll(sent.Body)
		assert.NilError(t, err)
		assert.Equal(t, string(got), "request")
		assert.Equal(t, sent.ContentLength, int64(len("request")))
		return &http.Response{Body: http.NoBody}, nil
	})}
	_, err = transport.RoundTrip(req)
	assert.NilError(t, err)
}
