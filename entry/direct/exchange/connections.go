package exchange

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"

	"golang.org/x/sys/unix"
)

// connections are the open connections, by server address. When one of them shows that its
// server has ended, the idle ones are closed too: a request written to one of these would
// reach nobody, and the caller would not know that it has not run.
type connections struct {
	mu   sync.Mutex
	open map[string]map[*conn]struct{}
}

func newConnections() *connections { return &connections{open: map[string]map[*conn]struct{}{}} }

// dial opens a connection to a server and keeps it in the list until it is closed.
func (cs *connections) dial(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c.onClose = sync.OnceFunc(func() { cs.remove(address, c) })
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if cs.open[address] == nil {
		cs.open[address] = map[*conn]struct{}{}
	}
	cs.open[address][c] = struct{}{}
	return c, nil
}

func (cs *connections) remove(address string, c *conn) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	delete(cs.open[address], c)
	if len(cs.open[address]) == 0 {
		delete(cs.open, address)
	}
}

// closeIdle closes the idle connections to a server.
func (cs *connections) closeIdle(address string) {
	cs.mu.Lock()
	var idle []*conn
	for c := range cs.open[address] {
		if !c.busy.Load() {
			idle = append(idle, c)
		}
	}
	cs.mu.Unlock()
	for _, c := range idle {
		_ = c.Close()
	}
}

// showsEnd reports whether the failure of a connection suggests that its server has ended.
func showsEnd(err error) bool {
	return errors.Is(err, unix.ECONNREFUSED) || errors.Is(err, unix.ECONNRESET) || errors.Is(err, unix.EPIPE) ||
		errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
}

// newTransport returns a transport that keeps its connections in the list.
func (cs *connections) newTransport() *http.Transport {
	return &http.Transport{
		DialContext:         cs.dial,
		MaxIdleConnsPerHost: maxIdlePerServer,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,

		MaxResponseHeaderBytes: MaxHeaderBytes,
	}
}
