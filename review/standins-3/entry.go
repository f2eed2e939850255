package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// program is the entry as the deploy file builds it.
const program = "target/peridotchute-entry"

// Settings of the machines, as in a small deployment.
const (
	zone     = "pamp-a"
	region   = "north-isle"
	memoryMB = 284
)

// entry is an entry process.
type entry struct {
	r        *run
	name     string
	settings string // path
	log      string // path
	address  string // for clients
	ready    string
	metrics  string
	control  string

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{} // closed when the process has ended
}

// newEntry prepares an entry whose store has the given address.
func (r *run) newEntry(name, store string, seeds ...string) *entry {
	ports := r.freeAddresses(4)
	e := &entry{
		r:        r,
		name:     name,
		settings: filepath.Join(r.folder, name+".json"),
		log:      filepath.Join(r.folder, name+".log"),
		address:  ports[0],
		ready:    ports[1],
		metrics:  ports[2],
		control:  ports[3],
	}
	raw, err := json.Marshal(map[string]any{
		"name": name, "zone": zone, "region": region, "regions": map[string]string{zone: region},
		"caller_address": ports[0], "ready_address": ports[1], "ready_path": "/readyz",
		"metrics_address": ports[2], "rpc_address": ports[3], "seeds": seeds,
		"store": map[string]string{"address": store}, "memory_mb": memoryMB, "cores": 1, "processor_share": 0.304,
		"drain_ms": 2500, "grace_s": 8, "lease_ms": 3000, "retry_ratio": 0.2, "retry_window_s": 10,
		"retry_slack": 56, "load_window_s": 5, "load_burst": 1.1,
	})
	if err != nil {
		r.fail("%v", err)
	}
	if err := os.WriteFile(e.settings, raw, 0o600); err != nil {
		r.fail("%v", err)
	}
	r.Cleanup(e.kill)
	return e
}

// start starts the process and waits until the entry is ready.
func (e *entry) start() {
	e.launch()
	e.r.waitFor(e.name+" is ready", 10*time.Second, e.isReady)
}

// launch starts the process.
func (e *entry) launch() {
	log, err := os.OpenFile(e.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		e.r.fail("%v", err)
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(program, "direct", "--settings", e.settings)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		e.r.fail("%v", err)
	}
	ended := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	e.mu.Lock()
	e.process, e.ended = cmd, ended
	e.mu.Unlock()
}

func (e *entry) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + e.ready + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (e *entry) pid() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.process.Process.Pid
}

// running reports whether the process has not ended.
func (e *entry) running() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.process == nil {
		return false
	}
	select {
	case <-e.ended:
		return false
	default:
		return true
	}
}

// kill ends the process with SIGKILL and waits for its end.
func (e *entry) kill() {
	if !e.running() {
		return
	}
	_ = syscall.Kill(e.pid(), syscall.SIGKILL)
	<-e.ended
}

// memory returns the resident memory of the process in MB, and the most that it has had.
func (e *entry) memory() (now, most float64) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", e.pid()))
	if err != nil {
		return 0, 0
	}
	return fieldMB(string(raw), "VmRSS:"), fieldMB(string(raw), "VmHWM:")
}

func fieldMB(status, name string) float64 {
	_, rest, found := strings.Cut(status, name)
	if !found {
		return 0
	}
	kb, err := strconv.ParseFloat(strings.Fields(rest)[0], 64)
	if err != nil {
		return 0
	}
	return kb / 1024
}

// freeAddresses returns loopback addresses on which nothing listens.
func (r *run) freeAddresses(n int) []string {
	var out []string
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			r.fail("%v", err)
		}
		out = append(out, l.Addr().String())
		defer func() { _ = l.Close() }()
	}
	return out
}
