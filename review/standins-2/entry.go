package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// entry is one entry of the system, a process of its own.
type entry struct {
	name, caller, ready, metrics, rpc string
	settings                          string // path
	memoryMB                          int
	log                               *record

	starts atomic.Int32

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	closed bool // it is not started again
}

// Ports of the entries, below those that the kernel gives to outgoing connections: an entry that is
// started again finds its own still free.
const (
	firstPort = 10_000
	ports     = 20_000
)

// freeAddress returns a loopback address that nobody listens at, other than those returned before.
func freeAddress(taken map[string]bool) string {
	for {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(ports))
		if taken[address] {
			continue
		}
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		taken[address] = true
		check(l.Close())
		return address
	}
}

// newEntries writes the settings of entries, from the template of the deploy file.
func newEntries(n int, s *store, log *record, folder string, memoryMB int) []*entry {
	var out []*entry
	var seeds []string
	taken := map[string]bool{}
	for i := range n {
		e := &entry{
			name: fmt.Sprintf("edge-tweed-a-%d", i+1), caller: freeAddress(taken), ready: freeAddress(taken), metrics: freeAddress(taken), rpc: freeAddress(taken),
			memoryMB: memoryMB, log: log, settings: filepath.Join(folder, fmt.Sprintf("entry-%d.settings", i+1)),
		}
		out = append(out, e)
		seeds = append(seeds, e.rpc)
	}
	template, err := os.ReadFile("deploy/entry.settings")
	check(err)
	for _, e := range out {
		check(os.WriteFile(e.settings, []byte(e.render(string(template), s, seeds[:min(len(seeds), 3)])), 0o600))
	}
	return out
}

var sections = regexp.MustCompile(`(?s)\{\{#[^}]*\}\}.*?\{\{/[^}]*\}\}`)

// render fills in the template of the settings as the platform does. The fields are those of the
// example on the page on deployment.
func (e *entry) render(template string, s *store, seeds []string) string {
	values := decode[map[string]any](settingsFile)
	for name, value := range map[string]any{
		"name": e.name, "callers": e.caller, "ready": e.ready, "entries": e.rpc, "seeds": seeds, "store": s.address, "memory": e.memoryMB,
	} {
		values[wire.Settings[name]] = value
	}
	out := sections.ReplaceAllString(template, "")
	out = strings.ReplaceAll(out, `"{{ip}}:9464"`, strconv.Quote(e.metrics))
	for name, value := range values {
		raw, err := json.Marshal(value)
		check(err)
		out = strings.ReplaceAll(out, "{{"+name+"|json}}", string(raw))
		out = strings.ReplaceAll(out, "{{"+name+"}}", string(raw))
	}
	return out
}

// start starts the process with the command of the deploy file.
func (e *entry) start() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return
	}
	logs, err := os.Create(fmt.Sprintf("%s.%d.log", e.settings, e.starts.Add(1)))
	check(err)
	cmd := exec.Command("target/peridotchute-entry", "direct", "--settings", e.settings)
	cmd.Stdout, cmd.Stderr = logs, logs
	check(cmd.Start())
	exited := make(chan struct{})
	e.cmd, e.exited = cmd, exited
	e.log.printf("%s starts", e.name)
	go func() {
		_ = cmd.Wait()
		e.log.printf("%s has ended: %s", e.name, cmd.ProcessState)
		close(exited)
	}()
}

// process returns the running process, or nil if it has ended.
func (e *entry) process() (running *os.Process, exited chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cmd == nil {
		return nil, nil
	}
	select {
	case <-e.exited:
		return nil, e.exited
	default:
		return e.cmd.Process, e.exited
	}
}

// kill ends the process as the platform does, and waits for its end.
func (e *entry) kill() {
	running, exited := e.process()
	if running != nil {
		_ = running.Kill()
		<-exited
	}
}

func (e *entry) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := client.Get("http://" + e.ready + "/readyz")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// stopAll ends all processes that were started.
func stopAll(entries []*entry) {
	for _, e := range entries {
		e.mu.Lock()
		e.closed = true
		e.mu.Unlock()
		e.kill()
	}
}
