// Package port allocates listening ports to processes under test.
package port

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

// Ports are allocated below the kernel's ephemeral port range, so that neither an
// outgoing connection nor a listener without a fixed port takes a port while its
// listener is down.
const (
	firstPort = 12000
	lastPort  = 32000
)

// ports holds the lock files of the allocated ports. The locks keep other test
// processes on this machine from using a port while its listener is down.
var ports struct {
	mu   sync.Mutex
	held map[int]*os.File
}

// lockPort locks a port until the process exits. It reports false if the port is
// already locked, by this process or another one, or the lock file is unusable.
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

// FreeAddress returns an address on 127.0.0.1 that has no listener and that this
// process has not returned before.
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
		if isFree(address) {
			return address, nil
		}
	}
	return "", fmt.Errorf("no free port between %d and %d", firstPort, lastPort)
}

// isFree reports whether nothing listens on the address. No process is started
// meanwhile: it would hold a copy of the listener until its program is executed, and
// the address would be in use for as long.
func isFree(address string) bool {
	awaitFirstFork()
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	_ = ln.Close()
	return true
}

// awaitFirstFork has package os check its use of pidfds, or waits for the end of that check. It
// forks once in a process, without syscall.ForkLock.
var awaitFirstFork = sync.OnceFunc(func() {
	if p, err := os.FindProcess(os.Getpid()); err == nil {
		_ = p.Release()
	}
})
