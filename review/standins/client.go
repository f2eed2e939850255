package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	hostName    = "h.example"
	dialTimeout = time.Second // clients allow this for a new connection
)

var attemptCount atomic.Int64

func newAttemptID() string { return fmt.Sprintf("%016x", 0x1c41000000000000+attemptCount.Add(1)) }

// answer is what a client got for one attempt.
type answer struct {
	status  int // 0 if the connection ended without an answer
	body    string
	stamped bool
	err     error
}

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DisableKeepAlives: true,
		DialContext:       (&net.Dialer{Timeout: dialTimeout}).DialContext,
	}}
}

// call sends a plain request on a new connection.
func call(rec *record, entry, method, path string, deadline time.Duration) answer {
	id := newAttemptID()
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	var body io.Reader
	if method == http.MethodPost {
		body = strings.NewReader("a booking")
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+entry+path, body)
	if err != nil {
		return answer{err: err}
	}
	req.Host = hostName
	req.Header.Set(names["attempt"], id)
	req.Header.Set(names["deadline"], strconv.FormatInt(deadline.Milliseconds(), 10))
	rec.add("sent to %s: %s %s %s", entry, method, path, id)
	resp, err := newClient().Do(req)
	if err != nil {
		rec.add("answer %s: none (%v)", id, err)
		return answer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	a := answer{status: resp.StatusCode, body: string(text), stamped: resp.Header.Get(names["stamp"]) != "", err: err}
	rec.add("answer %s: %d %q", id, a.status, strings.TrimSpace(a.body))
	return a
}

// stream is a streaming request of one client, over all its attempts.
type stream struct {
	rec      *record
	rotation *rotation
	model    string
	events   int
	deadline time.Time
	retries  int           // left
	pause    time.Duration // before a retry without Retry-After
	first    *entry

	mu       sync.Mutex
	begun    string // attempt that brought the first event
	last     int    // number of the last event received
	versions []string
	attempts int
	statuses []int // of its attempts; 0 for a connection without an answer
	resumed  int   // attempts with which it was taken up again at an entry in touch
	wentOn   bool  // an attempt that took it up again brought an event
	complete bool
	broken   time.Time // when it first broke off after an event
}

// run makes attempts until the stream is complete, the deadline passes or no retry is left.
func (s *stream) run() {
	for {
		status, after := s.attempt()
		s.mu.Lock()
		s.statuses = append(s.statuses, status)
		done := s.complete || s.retries <= 0 || time.Now().Add(after).After(s.deadline)
		s.retries--
		if s.last > 0 && !s.complete && s.broken.IsZero() {
			s.broken = time.Now()
		}
		s.mu.Unlock()
		if done {
			return
		}
		time.Sleep(after)
	}
}

// attempt sends the request to an entry and reads events. It returns the status, and when to
// try again.
func (s *stream) attempt() (status int, after time.Duration) {
	entry := s.first
	if s.attempts > 0 || entry == nil {
		entry = s.rotation.next()
	}
	s.attempts++
	id := newAttemptID()
	ctx, cancel := context.WithDeadline(context.Background(), s.deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry.callerAddress+"/chat/x", strings.NewReader("a prompt"))
	if err != nil {
		panic(err)
	}
	req.Host = hostName
	req.Header.Set(names["attempt"], id)
	req.Header.Set(names["deadline"], strconv.FormatInt(time.Until(s.deadline).Milliseconds(), 10))
	req.Header.Set(names["model"], s.model)
	req.Header.Set(names["tokens"], fmt.Sprintf("60,%d", s.events))
	req.Header.Set(names["prefix"], fmt.Sprintf("5c1e07a2:40,%s:20", id))
	s.mu.Lock()
	from := s.last
	if from > 0 {
		req.Header.Set(names["lastEventID"], strconv.Itoa(from))
		req.Header.Set(names["resumes"], s.begun)
		if entry.startedFor() >= stableTime {
			s.resumed++
		}
	}
	s.mu.Unlock()
	s.rec.add("sent to %s: stream %s from event %d, resumes %q", entry.name, id, from+1, req.Header.Get(names["resumes"]))
	resp, err := newClient().Do(req)
	if err != nil {
		s.rec.add("answer %s: none (%v)", id, err)
		return 0, s.pause
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		s.rec.add("answer %s: %d, Retry-After %q", id, resp.StatusCode, resp.Header.Get("Retry-After"))
		return resp.StatusCode, retryAfter(resp, s.pause, time.Until(s.deadline))
	}
	err = s.read(id, resp.Body)
	s.rec.add("answer %s: 200, events %d to %d of %d, versions %v, error %v", id, from+1, s.last, s.events, s.versions, err)
	return resp.StatusCode, s.pause
}

// retryAfter returns how long a client waits that honours Retry-After up to a third of the time left.
func retryAfter(resp *http.Response, pause, left time.Duration) time.Duration {
	seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	if err != nil {
		return pause
	}
	return min(time.Duration(seconds*float64(time.Second)), left/3)
}

// read reads the events of one answer.
func (s *stream) read(id string, body io.Reader) error {
	in := bufio.NewScanner(body)
	number, from := 0, s.last
	for in.Scan() {
		line := in.Text()
		if text, ok := strings.CutPrefix(line, "id: "); ok {
			number, _ = strconv.Atoi(text)
		}
		version, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		s.mu.Lock()
		if s.last == 0 {
			s.begun = id
		}
		s.wentOn = s.wentOn || from > 0
		s.last = number
		if n := len(s.versions); n == 0 || s.versions[n-1] != version {
			s.versions = append(s.versions, version)
		}
		s.mu.Unlock()
	}
	if in.Err() != nil {
		return in.Err()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.complete = s.last >= s.events
	return nil
}
