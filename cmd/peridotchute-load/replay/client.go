package replay

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"peridotchute.example/common/clock"
	"peridotchute.example/common/wire"
)

// sample is the outcome of one request. Times are as measured, except at.
type sample struct {
	at            time.Duration // arrival since the start, before scaling
	status        int           // 0 if there was no response
	complete      bool          // the whole answer arrived
	firstToken    time.Duration
	perToken      time.Duration // mean between events
	hasRetryAfter bool          // the response had a Retry-After header
}

// client replays a workload against the entries.
type client struct {
	http    *http.Client
	entries []string      // addresses
	timeout time.Duration // of a request, before scaling
	scale   float64
}

func newClient(entries []string, timeout time.Duration, scale float64) *client {
	transport := &http.Transport{MaxIdleConnsPerHost: 4096, MaxIdleConns: 8192, DisableCompression: true}
	return &client{http: &http.Client{Transport: transport}, entries: entries, timeout: timeout, scale: scale}
}

// replay sends each request at its arrival time and returns one sample per request.
// Each function in actions is called at its key's time, before scaling, in its own
// goroutine.
func (c *client) replay(ctx context.Context, w Workload, actions map[time.Duration]func()) []sample {
	out := make([]sample, len(w.Arrivals))
	var group sync.WaitGroup
	start := time.Now()
	for moment, action := range actions {
		group.Go(func() {
			_ = clock.Sleep(ctx, time.Until(start.Add(scaled(moment, c.scale))))
			action()
		})
	}
	for i, a := range w.Arrivals {
		_ = clock.Sleep(ctx, time.Until(start.Add(scaled(a.At, c.scale))))
		group.Go(func() {
			out[i] = c.send(ctx, a)
			out[i].at = a.At
		})
	}
	group.Wait()
	return out
}

// completion is the body of a request.
type completion struct {
	Model     string          `json:"model"`
	Messages  json.RawMessage `json:"messages"`
	Stream    bool            `json:"stream"`
	MaxTokens int             `json:"max_tokens"`
}

// send sends one request and returns its sample.
func (c *client) send(ctx context.Context, a Arrival) sample {
	timeout := scaled(c.timeout, c.scale)
	ctx, cancel := context.WithTimeout(ctx, 2*timeout)
	defer cancel()
	body, err := json.Marshal(completion{Model: a.Model, Messages: json.RawMessage(a.Prompt), Stream: true, MaxTokens: a.MaxTokens})
	if err != nil {
		return sample{}
	}
	entry := c.entries[a.Caller%len(c.entries)]
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return sample{}
	}
	req.Header.Set("Authorization", "Bearer "+callerKey)
	req.Header.Set("X-Request-Timeout-Ms", strconv.FormatInt(timeout.Milliseconds(), 10))
	began := time.Now()
	resp, err := c.http.Do(req)
	if err != nil {
		return sample{}
	}
	defer func() { _ = resp.Body.Close() }()
	s := sample{status: resp.StatusCode, hasRetryAfter: resp.Header.Get("Retry-After") != ""}
	if resp.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, resp.Body)
		return s
	}
	s.read(resp, began)
	return s
}

// read reads the stream to its end and sets the sample's times and complete.
func (s *sample) read(resp *http.Response, began time.Time) {
	in := bufio.NewScanner(resp.Body)
	in.Buffer(nil, 1<<20)
	var first, last time.Time
	events := 0
	for in.Scan() {
		data, ok := bytes.CutPrefix(in.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		if bytes.Equal(data, []byte("[DONE]")) {
			s.complete = resp.Trailer.Get(wire.HeaderOutcome) != string(wire.OutcomeUnknown)
			break
		}
		last = time.Now()
		if events == 0 {
			first = last
		}
		events++
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	if events == 0 {
		return
	}
	s.firstToken = first.Sub(began)
	s.perToken = last.Sub(first) / time.Duration(max(events-1, 1))
}
