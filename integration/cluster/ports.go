package cluster

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

// Listening ports are taken below the range from which the kernel takes the
// ports of outgoing connections, so that a restarted process finds its port free.
const (
	firstPort = 12000
	lastPort  = 32000
)

var ports struct {
	mu    sync.Mutex
	taken map[int]bool
}

// FreeAddress returns an address on 127.0.0.1 on which nothing listens and
// which this run has not given out before.
func FreeAddress() (string, error) {
	ports.mu.Lock()
	defer ports.mu.Unlock()
	if ports.taken == nil {
		ports.taken = map[int]bool{}
	}
	for range lastPort - firstPort {
		port := firstPort + rand.IntN(lastPort-firstPort)
		if ports.taken[port] {
			continue
		}
		address := fmt.Sprintf("127.0.0.1:%d", port)
		ln, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = ln.Close()
		ports.taken[port] = true
		return address, nil
	}
	return "", fmt.Errorf("no free port between %d and %d", firstPort, lastPort)
}
