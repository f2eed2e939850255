// Package proxy places fault-injecting TCP proxies between processes under test.
package proxy

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"peridotchute.example/integration/port"
)

// Server manages the proxies of one test.
type Server struct {
	api *toxiproxy.ApiServer

	mu      sync.Mutex
	proxies map[linkKey]*toxiproxy.Proxy
}

// linkKey identifies a proxy by the processes at its ends and their channel.
type linkKey struct {
	from, to, channel string
}

// NewServer returns a server with no proxies.
func NewServer() *Server {
	metrics := toxiproxy.NewMetricsContainer(prometheus.NewRegistry())
	return &Server{api: toxiproxy.NewServer(metrics, zerolog.Nop()), proxies: map[linkKey]*toxiproxy.Proxy{}}
}

// Open starts a proxy in front of upstream and returns its address. Opening the
// same channel again returns the address of the existing proxy.
func (s *Server) Open(from, to, channel, upstream string) (string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := linkKey{from, to, channel}
	if p, ok := s.proxies[k]; ok {
		return p.Listen, nil
	}
	address, err := port.FreeAddress()
	if err != nil {
		return "", err
	}
	p := toxiproxy.NewProxy(s.api, from+">"+to+"/"+channel, address, upstream)
	if err := p.Start(); err != nil {
		return "", fmt.Errorf("proxy from %s to %s in front of %s: %w", from, to, upstream, err)
	}
	s.proxies[k] = p
	return p.Listen, nil
}

// Between returns the link from one process to another with all channels opened
// so far. The process from is the one that opens connections.
func (s *Server) Between(from, to string) *Link {
	return s.link(func(k linkKey) bool { return k.from == from && k.to == to })
}

// Channel returns one channel of the link from one process to another.
func (s *Server) Channel(from, to, channel string) *Link {
	return s.link(func(k linkKey) bool { return k == linkKey{from, to, channel} })
}

// LinksOf returns all links to and from one process.
func (s *Server) LinksOf(name string) *Link {
	return s.link(func(k linkKey) bool { return k.from == name || k.to == name })
}

func (s *Server) link(matches func(linkKey) bool) *Link {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := &Link{}
	for k, p := range s.proxies {
		if matches(k) {
			l.proxies = append(l.proxies, p)
		}
	}
	return l
}

// Close stops every proxy and closes its connections.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.proxies {
		p.Stop()
	}
}

// Link is a set of proxies that inject the same faults. Faults apply to existing
// and to new connections.
type Link struct {
	proxies []*toxiproxy.Proxy
}

// errNoProxy means that no proxy has been opened between the processes.
var errNoProxy = errors.New("no proxy was opened on this link")

// forEach calls f for every proxy of the link and joins the errors.
func (l *Link) forEach(f func(*toxiproxy.Proxy) error) error {
	if len(l.proxies) == 0 {
		return errNoProxy
	}
	var errs []error
	for _, p := range l.proxies {
		errs = append(errs, f(p))
	}
	return errors.Join(errs...)
}

// Cut closes all connections and refuses new ones until Restore.
func (l *Link) Cut() error {
	return l.forEach(func(p *toxiproxy.Proxy) error {
		p.Stop()
		return nil
	})
}

// Restore accepts connections again after Cut, at the same address.
func (l *Link) Restore() error { return l.forEach((*toxiproxy.Proxy).Start) }

// Heal removes every fault except Cut.
func (l *Link) Heal(ctx context.Context) error {
	return l.forEach(func(p *toxiproxy.Proxy) error {
		p.Toxics.ResetToxics(ctx)
		return nil
	})
}

// direction is the direction of the bytes that a fault applies to.
type direction string

const (
	toServer direction = "upstream"
	toClient direction = "downstream"
)

// toxic is a fault in toxiproxy's JSON format.
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

func (l *Link) addToxic(kind string, dir direction, a attributes) error {
	raw, err := json.Marshal(toxic{Name: kind + "-" + string(dir), Type: kind, Stream: dir, Toxicity: 1, Attributes: a})
	if err != nil {
		return err
	}
	return l.forEach(func(p *toxiproxy.Proxy) error {
		_, err := p.Toxics.AddToxicJson(bytes.NewReader(raw))
		return err
	})
}

// Slow delays the bytes of each direction by d.
func (l *Link) Slow(d time.Duration) error {
	if err := l.addToxic("latency", toServer, attributes{Latency: d.Milliseconds()}); err != nil {
		return err
	}
	return l.addToxic("latency", toClient, attributes{Latency: d.Milliseconds()})
}

// Limit caps each direction at the given rate.
func (l *Link) Limit(kilobytesPerSecond int64) error {
	if err := l.addToxic("bandwidth", toServer, attributes{Rate: kilobytesPerSecond}); err != nil {
		return err
	}
	return l.addToxic("bandwidth", toClient, attributes{Rate: kilobytesPerSecond})
}

// Blackhole keeps connections open and drops all bytes in both directions.
func (l *Link) Blackhole() error {
	if err := l.addToxic("timeout", toServer, attributes{}); err != nil {
		return err
	}
	return l.DropResponses()
}

// DropResponses delivers the client's bytes and drops the server's responses.
func (l *Link) DropResponses() error { return l.addToxic("timeout", toClient, attributes{}) }

// CutResponseAfter closes each connection after n bytes of the server's response.
func (l *Link) CutResponseAfter(n int64) error {
	return l.addToxic("limit_data", toClient, attributes{Bytes: n})
}

// ResetConnections closes each connection with a TCP reset after d.
func (l *Link) ResetConnections(d time.Duration) error {
	return l.addToxic("reset_peer", toClient, attributes{Timeout: d.Milliseconds()})
}
