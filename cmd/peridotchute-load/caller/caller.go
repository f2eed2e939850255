// Package caller sends completion requests to a deployment and measures when
// the parts of each response arrive.
package caller

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"peridotchute.example/common/wire"
)

const (
	maxIdleConns  = 1024 // idle connections per host
	headerTimeout = "X-Request-Timeout-Ms"
)

// Request is one completion request.
type Request struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`

	Timeout time.Duration `json:"-"` // sent in X-Request-Timeout-Ms; 0 sends none
}

// Response describes the response to one request.
type Response struct {
	Status     int
	Outcome    wire.Outcome
	RetryAfter string
	Complete   bool            // the whole response arrived
	FirstByte  time.Duration   // from sending to the first byte of the body
	Total      time.Duration   // from sending to the end of the response
	Gaps       []time.Duration // between events of a stream
}

// OK reports whether the whole response arrived with status 200.
func (r Response) OK() bool { return r.Complete && r.Status == http.StatusOK }

// Client sends requests. It is safe for concurrent use.
type Client struct {
	key  string
	http *http.Client
}

// New returns a client that authenticates with a team's key.
func New(key string) *Client {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.Proxy = nil
	t.MaxIdleConns = maxIdleConns
	t.MaxIdleConnsPerHost = maxIdleConns
	return &Client{key: key, http: &http.Client{Transport: t}}
}

var dataDone = []byte("data: [DONE]")

// Do sends the request to the base URL and reads the whole response. If no
// response arrives or it is truncated, Do returns an error together with the
// part of the Response that is known.
func (c *Client) Do(ctx context.Context, base string, r Request) (Response, error) {
	raw, err := json.Marshal(r)
	if err != nil {
		return Response{}, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, base+"/v1/completions", bytes.NewReader(raw))
	if err != nil {
		return Response{}, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+c.key)
	if r.Timeout > 0 {
		req.Header.Set(headerTimeout, strconv.FormatInt(r.Timeout.Milliseconds(), 10))
	}
	start := time.Now()
	httpResp, err := c.http.Do(req)
	if err != nil {
		return Response{Total: time.Since(start)}, err
	}
	defer httpResp.Body.Close()
	resp := Response{Status: httpResp.StatusCode, RetryAfter: httpResp.Header.Get("Retry-After")}
	if r.Stream && httpResp.StatusCode == http.StatusOK {
		err = resp.readStream(httpResp.Body, start)
	} else {
		err = resp.readBody(httpResp.Body, start)
	}
	resp.Total = time.Since(start)
	resp.Outcome = wire.Outcome(httpResp.Header.Get(wire.HeaderOutcome))
	if trailer := httpResp.Trailer.Get(wire.HeaderOutcome); trailer != "" {
		resp.Outcome = wire.Outcome(trailer)
	}
	return resp, err
}

func (r *Response) readBody(body io.Reader, start time.Time) error {
	in := bufio.NewReader(body)
	_, err := in.Peek(1)
	r.FirstByte = time.Since(start)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, in)
	r.Complete = err == nil
	return err
}

func (r *Response) readStream(body io.Reader, start time.Time) error {
	in := bufio.NewScanner(body)
	var last time.Time
	for in.Scan() {
		line := in.Bytes()
		if !bytes.HasPrefix(line, []byte("data:")) {
			continue
		}
		now := time.Now()
		if last.IsZero() {
			r.FirstByte = now.Sub(start)
		} else {
			r.Gaps = append(r.Gaps, now.Sub(last))
		}
		last = now
		r.Complete = r.Complete || bytes.Equal(line, dataDone)
	}
	if err := in.Err(); err != nil {
		r.Complete = false
		return err
	}
	if !r.Complete {
		return fmt.Errorf("the stream ended before its explicit end marker")
	}
	return nil
}
