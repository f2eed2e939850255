package cluster

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
)

// Listening ports are taken below the range from which the kernel takes the
// ports of outgoing connections, so that a restarted process finds its port free.
const (
	firstPort = 12000
	lastPort  = 32000
)

// ports holds the lock files of the ports given out. Other test processes on
// this machine leave a locked port alone while its listener is down.
var ports struct {
	mu   sync.Mutex
	held map[int]*os.File
}

// lockPort reports whether this process now holds the port. The lock ends with
// the process.
func lockPort(port int) bool {
	if _, ok := ports.held[port]; ok {
		return false
	}
	dir := filepath.Join(os.TempDir(), "peridotchute-ports")
	if err := os.MkdirAll(dir, 0o777); err != nil {
		return false
	}
	f, err := os.OpenFile(filepath.Join(dir, strconv.Itoa(port)), os.O_CREATE|os.O_RDWR, 0o666)
	if err != nil {
		return false
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = f.Close()
		return false
	}
	ports.held[port] = f
	return true
}

// FreeAddress returns an address on 127.0.0.1 on which nothing listens and
// which this run has not given out before.
func FreeAddress() (string, error) {
	ports.mu.Lock()
	defer ports.mu.Unlock()
	if ports.held == nil {
		ports.held = map[int]*os.File{}
	}
	for range lastPort - firstPort {
		port := firstPort + rand.IntN(lastPort-firstPort)
		if !lockPort(port) {
			continue
		}
		address := fmt.Sprintf("127.0.0.1:%d", port)
		ln, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = ln.Close()
		return address, nil
	}
	return "", fmt.Errorf("no free port between %d and %d", firstPort, lastPort)
}
