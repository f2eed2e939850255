// Package proxy puts fault-injecting TCP proxies between processes under test.
package proxy

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
)

// Server owns the proxies of one test.
type Server struct {
	api *toxiproxy.ApiServer

	mu    sync.Mutex
	links map[string]*Link
}

// NewServer returns a server with no proxies.
func NewServer() *Server {
	metrics := toxiproxy.NewMetricsContainer(prometheus.NewRegistry())
	return &Server{api: toxiproxy.NewServer(metrics, zerolog.Nop()), links: map[string]*Link{}}
}

// Open starts a proxy before upstream and returns its address. Opening a name
// again returns the same proxy.
func (s *Server) Open(name, upstream string) (string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l, ok := s.links[name]; ok {
		return l.proxy.Listen, nil
	}
	p := toxiproxy.NewProxy(s.api, name, "127.0.0.1:0", upstream)
	if err := p.Start(); err != nil {
		return "", fmt.Errorf("proxy %s before %s: %w", name, upstream, err)
	}
	s.links[name] = &Link{proxy: p}
	return p.Listen, nil
}

// Link returns the proxy with this name, nil when there is none.
func (s *Server) Link(name string) *Link {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.links[name]
}

// Close stops every proxy and cuts its connections.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.links {
		l.proxy.Stop()
	}
}

// Link is one proxy. The faults apply to connections in progress and new ones.
type Link struct {
	proxy *toxiproxy.Proxy
}

// Cut closes all connections and refuses new ones until Restore.
func (l *Link) Cut() { l.proxy.Stop() }

// Restore accepts connections again after Cut, at the same address.
func (l *Link) Restore() error { return l.proxy.Start() }

// Heal removes every fault.
func (l *Link) Heal(ctx context.Context) { l.proxy.Toxics.ResetToxics(ctx) }

// direction of the bytes that a fault applies to.
type direction string

const (
	toServer direction = "upstream"
	toClient direction = "downstream"
)

// toxic is the form in which toxiproxy takes a fault.
type toxic struct {
	Name       string     `json:"name"`
	Type       string     `json:"type"`
	Stream     direction  `json:"stream"`
	Toxicity   float32    `json:"toxicity"`
	Attributes attributes `json:"attributes"`
}

type attributes struct {
	Latency int64 `json:"latency"` // ms
	Jitter  int64 `json:"jitter"`  // ms
	Rate    int64 `json:"rate"`    // KB/s
	Timeout int64 `json:"timeout"` // ms
	Bytes   int64 `json:"bytes"`
}

func (l *Link) add(kind string, dir direction, a attributes) error {
	raw, err := json.Marshal(toxic{Name: kind + "-" + string(dir), Type: kind, Stream: dir, Toxicity: 1, Attributes: a})
	if err != nil {
		return err
	}
	_, err = l.proxy.Toxics.AddToxicJson(bytes.NewReader(raw))
	return err
}

// Slow delays the bytes of both directions by d each.
func (l *Link) Slow(d time.Duration) error {
	if err := l.add("latency", toServer, attributes{Latency: d.Milliseconds()}); err != nil {
		return err
	}
	return l.add("latency", toClient, attributes{Latency: d.Milliseconds()})
}

// Limit caps each direction at the given rate.
func (l *Link) Limit(kilobytesPerSecond int64) error {
	if err := l.add("bandwidth", toServer, attributes{Rate: kilobytesPerSecond}); err != nil {
		return err
	}
	return l.add("bandwidth", toClient, attributes{Rate: kilobytesPerSecond})
}

// Blackhole keeps connections open and drops every byte of both directions.
func (l *Link) Blackhole() error {
	if err := l.add("timeout", toServer, attributes{}); err != nil {
		return err
	}
	return l.LoseAnswers()
}

// LoseAnswers delivers what the client sends and drops what the server answers.
func (l *Link) LoseAnswers() error { return l.add("timeout", toClient, attributes{}) }

// CutAnswerAfter closes each connection after n bytes of the server's answer.
func (l *Link) CutAnswerAfter(n int64) error {
	return l.add("limit_data", toClient, attributes{Bytes: n})
}

// ResetAnswers closes each connection with a TCP reset after d.
func (l *Link) ResetAnswers(d time.Duration) error {
	return l.add("reset_peer", toClient, attributes{Timeout: d.Milliseconds()})
}
