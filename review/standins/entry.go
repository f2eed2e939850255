package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Figures of a small deployment's settings.
const (
	graceTime   = 8 * time.Second
	stableTime  = 4 * time.Second // stable_window_ms
	leaseTime   = 3 * time.Second // lease_ms
	applyTime   = 2500 * time.Millisecond
	maxSkewTime = 6 * time.Second
)

const entryProgram = "target/peridotchute-entry"

// entry is one process of the project, on a machine of its own.
type entry struct {
	name           string
	callerAddress  string
	readyAddress   string
	controlAddress string
	settings       string // path
	folder         string
	rec            *record

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	started time.Time
	runs    int
}

// Ports of the entries. They lie below those that the kernel gives to outgoing connections, so
// that none is taken between the choice and the start.
const (
	lowestPort = 12000
	ports      = 20000
)

// freeAddress returns a loopback address at which nothing listens.
func freeAddress() (string, error) {
	var err error
	for range 100 {
		var l net.Listener
		l, err = net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", lowestPort+rand.IntN(ports)))
		if err == nil {
			defer func() { _ = l.Close() }()
			return l.Addr().String(), nil
		}
	}
	return "", err
}

// newEntries writes the settings of n entries. They are not started.
func newEntries(rec *record, folder, store string, n int) ([]*entry, error) {
	var out []*entry
	var seeds []string
	for i := range n {
		e := &entry{name: fmt.Sprintf("edge-%c-1", 'a'+i), folder: folder, rec: rec}
		for _, address := range []*string{&e.callerAddress, &e.readyAddress, &e.controlAddress} {
			free, err := freeAddress()
			if err != nil {
				return nil, err
			}
			*address = free
		}
		out, seeds = append(out, e), append(seeds, e.controlAddress)
	}
	for _, e := range out {
		metrics, err := freeAddress()
		if err != nil {
			return nil, err
		}
		e.settings = filepath.Join(folder, e.name+".settings")
		raw, err := json.MarshalIndent(map[string]any{
			"name": e.name, "zone": "zone-a", "region": "region-1", "regions": map[string]string{"zone-a": "region-1"},
			"caller_address": e.callerAddress, "ready_address": e.readyAddress, "ready_path": "/readyz",
			"metrics_address": metrics, "rpc_address": e.controlAddress, "seeds": seeds[:min(len(seeds), 3)],
			"store": map[string]string{"address": store}, "memory_mb": 284, "cores": 1, "processor_share": 0.304,
			"drain_ms": drainTime.Milliseconds(), "grace_s": graceTime.Seconds(), "lease_ms": leaseTime.Milliseconds(),
			"retry_ratio": 0.2, "retry_window_s": 10, "retry_slack": 54, "load_window_s": 5, "load_burst": 1.1,
		}, "", "  ")
		if err != nil {
			return nil, err
		}
		if err := os.WriteFile(e.settings, raw, 0o600); err != nil {
			return nil, err
		}
	}
	return out, nil
}

// start starts the process with the run command of the deploy file.
func (e *entry) start() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs++
	log, err := os.Create(filepath.Join(e.folder, fmt.Sprintf("%s.%d.log", e.name, e.runs)))
	if err != nil {
		return err
	}
	e.command = exec.Command(entryProgram, "direct", "--settings", e.settings)
	e.command.Stdout, e.command.Stderr = log, log
	e.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	e.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := e.command.Start(); err != nil {
		return err
	}
	e.started = time.Now()
	e.ended = make(chan struct{})
	go func(c *exec.Cmd, ended chan struct{}) {
		_ = c.Wait()
		_ = log.Close()
		close(ended)
	}(e.command, e.ended)
	e.rec.add("%s starts", e.name)
	return nil
}

// signal sends a signal to the process.
func (e *entry) signal(s syscall.Signal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.command != nil && e.command.Process != nil {
		_ = e.command.Process.Signal(s)
	}
}

// kill kills the process and waits for its end.
func (e *entry) kill() {
	e.rec.add("%s is killed", e.name)
	e.signal(syscall.SIGKILL)
	e.awaitEnd()
}

func (e *entry) awaitEnd() {
	e.mu.Lock()
	ended := e.ended
	e.mu.Unlock()
	if ended != nil {
		<-ended
	}
}

// stop stops the process as the platform does: SIGTERM, then SIGKILL after grace_s.
func (e *entry) stop() {
	e.rec.add("%s gets SIGTERM", e.name)
	e.signal(syscall.SIGTERM)
	late := time.AfterFunc(graceTime, func() { e.signal(syscall.SIGKILL) })
	e.awaitEnd()
	late.Stop()
	e.rec.add("%s has ended", e.name)
}

// startedFor returns how long ago the process was started.
func (e *entry) startedFor() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Since(e.started)
}

// ready reports whether the readiness check succeeds.
func (e *entry) ready() bool {
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.readyAddress+"/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := newClient().Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// rotation is the platform's choice of the entries that receive new connections.
type rotation struct {
	entries []*entry

	mu     sync.Mutex
	misses map[*entry]int
	turn   int
}

func newRotation(ctx context.Context, entries []*entry) *rotation {
	r := &rotation{entries: entries, misses: map[*entry]int{}}
	for _, e := range entries {
		go r.check(ctx, e)
	}
	return r
}

// check asks an entry once a second whether it is ready.
func (r *rotation) check(ctx context.Context, e *entry) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		ready := e.ready()
		r.mu.Lock()
		if ready {
			r.misses[e] = 0
		} else {
			r.misses[e]++
		}
		r.mu.Unlock()
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// next returns the entry that receives the next connection. An entry that misses two checks
// receives none, unless fewer than half are in rotation.
func (r *rotation) next() *entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	var in []*entry
	for _, e := range r.entries {
		if r.misses[e] < 2 {
			in = append(in, e)
		}
	}
	if 2*len(in) < len(r.entries) {
		in = r.entries
	}
	r.turn++
	return in[r.turn%len(in)]
}
