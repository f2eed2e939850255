// Package caller sends requests as the callers of a deployment do and notes
// when the parts of each answer arrive.
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
	maxConns      = 1024 // kept open to one host
	headerTimeout = "X-Request-Timeout-Ms"
)

// Request is one completion request.
type Request struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`

	Timeout time.Duration `json:"-"` // told to the entry; 0 tells none
}

// Answer is what came back for one request.
type Answer struct {
	Status     int
	Outcome    wire.Outcome
	RetryAfter string
	Whole      bool            // the whole answer arrived
	FirstByte  time.Duration   // until the first byte of the body
	Total      time.Duration   // until the end
	Gaps       []time.Duration // between events of a stream
}

// OK reports whether the whole answer arrived with status 200.
func (a Answer) OK() bool { return a.Whole && a.Status == http.StatusOK }

// Client sends requests. It may be used by several goroutines.
type Client struct {
	key  string
	http *http.Client
}

// New returns a client that shows a team's key.
func New(key string) *Client {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.Proxy = nil
	t.MaxIdleConns = maxConns
	t.MaxIdleConnsPerHost = maxConns
	return &Client{key: key, http: &http.Client{Transport: t}}
}

var dataDone = []byte("data: [DONE]")

// Do sends the request to the base URL and reads the whole answer. An error
// means that no answer came or that it was cut; Answer holds what is known.
func (c *Client) Do(ctx context.Context, base string, r Request) (Answer, error) {
	raw, err := json.Marshal(r)
	if err != nil {
		return Answer{}, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, base+"/v1/completions", bytes.NewReader(raw))
	if err != nil {
		return Answer{}, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+c.key)
	if r.Timeout > 0 {
		req.Header.Set(headerTimeout, strconv.FormatInt(r.Timeout.Milliseconds(), 10))
	}
	start := time.Now()
	resp, err := c.http.Do(req)
	if err != nil {
		return Answer{Total: time.Since(start)}, err
	}
	defer resp.Body.Close()
	a := Answer{Status: resp.StatusCode, RetryAfter: resp.Header.Get("Retry-After")}
	if r.Stream && resp.StatusCode == http.StatusOK {
		err = a.readStream(resp.Body, start)
	} else {
		err = a.readWhole(resp.Body, start)
	}
	a.Total = time.Since(start)
	a.Outcome = wire.Outcome(resp.Header.Get(wire.HeaderOutcome))
	if trailer := resp.Trailer.Get(wire.HeaderOutcome); trailer != "" {
		a.Outcome = wire.Outcome(trailer)
	}
	return a, err
}

func (a *Answer) readWhole(body io.Reader, start time.Time) error {
	in := bufio.NewReader(body)
	_, err := in.Peek(1)
	a.FirstByte = time.Since(start)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, in)
	a.Whole = err == nil
	return err
}

func (a *Answer) readStream(body io.Reader, start time.Time) error {
	in := bufio.NewScanner(body)
	var last time.Time
	for in.Scan() {
		line := in.Bytes()
		if !bytes.HasPrefix(line, []byte("data:")) {
			continue
		}
		now := time.Now()
		if last.IsZero() {
			a.FirstByte = now.Sub(start)
		} else {
			a.Gaps = append(a.Gaps, now.Sub(last))
		}
		last = now
		a.Whole = a.Whole || bytes.Equal(line, dataDone)
	}
	if err := in.Err(); err != nil {
		a.Whole = false
		return err
	}
	if !a.Whole {
		return fmt.Errorf("the stream ended before its explicit end")
	}
	return nil
}
