package main

import (
	"cmp"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// run is one request that a worker has begun to work on.
type run struct {
	id     string
	worker string
	body   [32]byte
	began  time.Time
}

// workerSpec describes a worker.
type workerSpec struct {
	id, service string
	slots       int
	work        time.Duration // for a request; of a stream, for all of it
	answerBytes int           // of a plain answer
	model       string        // of a model worker; empty for a plain one
	events      int           // of a stream
	version     string        // of its software
}

// worker is a stand-in of a worker. It echoes the id of a request, signs its answers and rejects
// requests for another worker. It holds one model for good.
type worker struct {
	workerSpec
	log     *record
	store   *store
	address string
	born    int64
	free    chan struct{}

	mu   sync.Mutex
	runs []run
	seq  int
}

const (
	workerZone  = "tweed-a"
	beatTime    = 1200 * time.Millisecond
	queueTime   = 200 * time.Millisecond // how long a request waits for a slot
	memoryLimit = 260248                 // tokens of a model worker
)

func startWorker(s *store, log *record, spec workerSpec) *worker {
	spec.version = cmp.Or(spec.version, "v1")
	w := &worker{workerSpec: spec, log: log, store: s, born: time.Now().UnixMilli(), free: make(chan struct{}, spec.slots)}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	w.address = l.Addr().String()
	go func() { _ = http.Serve(l, w) }()
	w.register()
	go func() {
		for range time.Tick(beatTime) {
			w.register()
		}
	}()
	return w
}

// state is what the worker says of itself in its registration and its reports.
func (w *worker) state() map[string]any {
	out := map[string]any{"state": "ready", "born": w.born, "models": []any{}}
	if w.model != "" {
		out["stage"] = "unified"
		out["models"] = []any{map[string]any{"name": w.model, "version": 1, "adapters": []string{}}}
	}
	return out
}

// register writes the worker's registration.
func (w *worker) register() {
	w.mu.Lock()
	w.seq++
	seq := w.seq
	w.mu.Unlock()
	entry := w.state()
	entry["service"], entry["address"], entry["zone"], entry["version"] = w.service, w.address, workerZone, w.version
	entry["slots"], entry[wire.Fields["warm-up"]], entry["seq"] = w.slots, 0, seq
	w.store.put("servers", w.id, entry)
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	switch r.Method + " " + r.URL.Path {
	case "GET /healthz":
		rw.Header().Set(wire.Headers["instance"], w.id)
	case "GET /report":
		out := w.state()
		out["busy"], out["seq"], out["waiting"], out["running"] = false, 0, 0, len(w.free)
		out[wire.Fields["memory used"]], out[wire.Fields["memory"]], out["handles"] = 0, memoryLimit, 0
		rw.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(rw).Encode(out)
	case "POST /order":
		rw.WriteHeader(http.StatusConflict) // another order is always in progress
	default:
		w.serve(rw, r)
	}
}

func (w *worker) serve(rw http.ResponseWriter, r *http.Request) {
	h := rw.Header()
	id := r.Header.Get(wire.Headers["attempt"])
	h.Set(wire.Headers["attempt"], id)
	if expect := r.Header.Get(wire.Headers["expect"]); expect != "" && expect != w.id {
		h.Set(wire.Headers["instance"], w.id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if w.model != "" && r.Header.Get(wire.Headers["model"]) != w.model {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	select {
	case w.free <- struct{}{}:
	case <-time.After(queueTime):
		h.Set(wire.Headers["not run"], "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	case <-r.Context().Done():
		return
	}
	defer func() { <-w.free }()
	began := time.Now()
	w.mu.Lock()
	w.runs = append(w.runs, run{id: id, worker: w.id, body: sha256.Sum256(body), began: began})
	w.mu.Unlock()
	h.Set(wire.Headers["signature"], w.id+"."+id)
	if w.model != "" {
		w.stream(rw, id, r.Header.Get("Last-Event-Id"))
	} else {
		time.Sleep(w.work)
		h.Set("Content-Length", strconv.Itoa(w.answerBytes))
		_, _ = rw.Write(answerBody(id, w.answerBytes))
	}
	w.log.printf("%s ran %s from %s", w.id, id, w.log.at(began))
}

// stream writes the events of a stream after the last one that the client has.
func (w *worker) stream(rw http.ResponseWriter, id, last string) {
	rw.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(rw)
	after, _ := strconv.Atoi(last)
	for n := after + 1; n <= w.events; n++ {
		if _, err := fmt.Fprintf(rw, "id: %d\ndata: %s %032d by %s\n\n", n, id, n, w.version); err != nil {
			return
		}
		if flush.Flush() != nil {
			return
		}
		time.Sleep(w.work / time.Duration(w.events))
	}
}

// answerBody is the body of the answer to a request.
func answerBody(id string, n int) []byte {
	out := make([]byte, 0, n+len(id))
	for len(out) < n {
		out = append(out, id...)
		out = append(out, '.')
	}
	return out[:n]
}

// runsOf returns how often each request has run at the workers.
func runsOf(workers []*worker) map[string]int {
	out := map[string]int{}
	for _, w := range workers {
		w.mu.Lock()
		for _, r := range w.runs {
			out[r.id]++
		}
		w.mu.Unlock()
	}
	return out
}

// freeSlots returns how many requests more the workers could work on now.
func freeSlots(workers []*worker) int {
	n := 0
	for _, w := range workers {
		n += cap(w.free) - len(w.free)
	}
	return n
}

// slots returns how many requests the workers can work on at once.
func slots(workers []*worker) int {
	n := 0
	for _, w := range workers {
		n += cap(w.free)
	}
	return n
}
