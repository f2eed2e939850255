package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	heartbeat    = 1200 * time.Millisecond
	drainTime    = 2500 * time.Millisecond // drain_ms of the settings
	adapterLoad  = 8 * time.Millisecond
	eventPause   = 100 * time.Millisecond
	adapterSlots = 4 // as in config.json
	plainWork    = 15 * time.Millisecond
)

var workerCount atomic.Int64

// order is an order that a model worker received.
type order struct {
	at     time.Time
	holder string
	token  int64
	text   string
	status int
}

// worker is a stand-in of a backend server: a model worker, or a plain one.
type worker struct {
	id      string
	service string
	version string // of the software
	model   string // held from the start; empty for a plain worker
	address string
	born    int64
	rec     *record
	store   *store
	server  *http.Server
	stop    context.CancelFunc

	mu       sync.Mutex
	leaving  bool
	adapters map[string]time.Time
	seq      int64
	orders   []order
	runs     map[string]int // by attempt
}

func startWorker(rec *record, s *store, service, version, model string) (*worker, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{
		id:       fmt.Sprintf("i-%s-%d", service, workerCount.Add(1)),
		service:  service,
		version:  version,
		model:    model,
		address:  l.Addr().String(),
		born:     time.Now().UnixMilli(),
		rec:      rec,
		store:    s,
		adapters: map[string]time.Time{},
		runs:     map[string]int{},
	}
	ctx, cancel := context.WithCancel(context.Background())
	w.stop = cancel
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(l) }()
	w.publish()
	go w.heartbeats(ctx)
	return w, nil
}

// heartbeats writes the registration whenever the store's row differs from it.
func (w *worker) heartbeats(ctx context.Context) {
	tick := time.NewTicker(heartbeat)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			w.publish()
		case <-ctx.Done():
			return
		}
	}
}

// publish writes the registration if the store has another one.
func (w *worker) publish() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.leaving {
		return
	}
	raw, err := json.Marshal(w.registration())
	if err != nil {
		panic(err)
	}
	if string(w.store.value("servers", w.id)) != string(raw) {
		w.store.putOnline("servers", w.id, raw)
	}
}

// registration returns the entry of this worker. The caller holds mu.
func (w *worker) registration() map[string]any {
	slots := 6
	if w.model != "" {
		slots = 64
	}
	out := map[string]any{
		"service": w.service, "address": w.address, "zone": "zone-a", "version": w.version,
		"slots": slots, "state": "ready", names["coldLeftMS"]: 0, "born": w.born,
	}
	if w.model != "" {
		models, coming := w.contents()
		out["stage"], out["models"], out["coming"] = "unified", models, coming
		out[names["atHand"]] = w.copies()
	}
	return out
}

func (w *worker) copies() map[string]any {
	return map[string]any{"in_memory": []string{w.model}, "on_disk": []string{w.model}}
}

// contents returns what the worker holds. The caller holds mu.
func (w *worker) contents() (models []map[string]any, coming []string) {
	loaded := []string{}
	coming = []string{}
	for a, ready := range w.adapters {
		if time.Now().Before(ready) {
			coming = append(coming, w.model+"/"+a+"@1")
		} else {
			loaded = append(loaded, a)
		}
	}
	sort.Strings(loaded)
	sort.Strings(coming)
	return []map[string]any{{"name": w.model, "version": 1, "adapters": loaded}}, coming
}

// leave removes the entry of the worker, which serves on for a while and then ends. It never
// reports that it drains, but says in its answers that it leaves.
func (w *worker) leave(end time.Duration) {
	w.mu.Lock()
	w.leaving = true
	w.mu.Unlock()
	w.store.removeOnline("servers", w.id)
	w.rec.add("worker %s (version %s) leaves: its entry is removed", w.id, w.version)
	time.AfterFunc(end, w.end)
}

// end ends the worker's process.
func (w *worker) end() {
	w.stop()
	_ = w.server.Close()
	w.rec.add("worker %s (version %s) has left", w.id, w.version)
}

// ServeHTTP serves requests and control calls.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	h := rw.Header()
	w.mu.Lock()
	if w.leaving {
		h.Set(names["serverLeaving"], "1")
		h.Set("Connection", "close")
	}
	w.mu.Unlock()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	h[names["attempt"]] = r.Header[names["attempt"]]
	if want := r.Header.Get(names["expectInstance"]); want != "" && want != w.id {
		w.decline(rw, http.StatusMisdirectedRequest)
		return
	}
	switch {
	case r.URL.Path == "/healthz":
		h.Set(names["instance"], w.id)
	case r.URL.Path == "/report" && w.model != "":
		w.report(rw)
	case r.URL.Path == "/order" && w.model != "":
		w.serveOrder(rw, body)
	case r.Header.Get(names["attempt"]) == "":
		w.decline(rw, http.StatusBadRequest)
	case w.model != "":
		w.stream(rw, r)
	default:
		w.run(rw, r)
	}
}

func (w *worker) decline(rw http.ResponseWriter, status int) {
	rw.Header().Set(names["notExecuted"], "1")
	rw.Header().Set(names["instance"], w.id)
	rw.WriteHeader(status)
}

func (w *worker) report(rw http.ResponseWriter) {
	w.mu.Lock()
	models, coming := w.contents()
	body := map[string]any{
		"stage": "unified", "models": models, "coming": coming, names["atHand"]: w.copies(), "busy": false,
		"seq": w.seq, "born": w.born, "waiting": 0, "running": 0, names["kvUsed"]: 0, names["kvTotal"]: 200000, "handles": 0,
	}
	w.mu.Unlock()
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(body)
}

func (w *worker) serveOrder(rw http.ResponseWriter, body []byte) {
	var fields map[string]any
	_ = json.Unmarshal(body, &fields)
	holder, _ := fields["holder"].(string)
	token, hasToken := fields[names["fencingToken"]].(float64)
	op, _ := fields["op"].(string)
	model, _ := fields["model"].(string)
	adapter, _ := fields["adapter"].(string)
	expect, hasExpect := fields["expect"].(float64)
	w.mu.Lock()
	o := order{at: time.Now(), holder: holder, token: int64(token), text: strings.TrimSuffix(op+" "+model+"/"+adapter, "/")}
	switch {
	case holder == "" || !hasToken || model != w.model || op != "load" && op != "unload":
		o.status = http.StatusBadRequest
	case hasExpect && int64(expect) != w.seq:
		o.status = http.StatusConflict
	default:
		o.status = w.accept(op, adapter)
	}
	w.orders = append(w.orders, o)
	w.mu.Unlock()
	w.rec.add("order at %s: holder %s token %d: %s -> %d", w.id, o.holder, o.token, o.text, o.status)
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(o.status)
	w.publish()
	if o.status == http.StatusAccepted {
		time.AfterFunc(2*adapterLoad, w.publish)
	}
}

// accept carries out an order about an adapter. The caller holds mu.
func (w *worker) accept(op, adapter string) int {
	_, held := w.adapters[adapter]
	switch {
	case adapter == "" || (op == "load") == held:
		return http.StatusOK
	case op == "unload":
		delete(w.adapters, adapter)
		w.seq++
		return http.StatusOK
	case len(w.adapters) >= adapterSlots:
		w.rec.add("worker %s is ordered to hold more adapters than it has room for", w.id)
		return http.StatusConflict
	}
	w.adapters[adapter] = time.Now().Add(adapterLoad)
	w.seq++
	return http.StatusAccepted
}

// holds reports whether the worker can serve the model and adapter of a request.
func (w *worker) holds(name string) bool {
	model, adapter, _ := strings.Cut(name, "/")
	w.mu.Lock()
	defer w.mu.Unlock()
	ready, ok := w.adapters[adapter]
	return model == w.model && (adapter == "" || ok && !time.Now().Before(ready))
}

func (w *worker) countRun(attempt string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs[attempt]++
}

func (w *worker) stamp(attempt string) string { return w.id + "." + attempt }

// stream runs a streaming request. An event names the software version that wrote it.
func (w *worker) stream(rw http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get(names["attempt"])
	if !w.holds(r.Header.Get(names["model"])) {
		w.decline(rw, http.StatusMisdirectedRequest)
		return
	}
	_, out, _ := strings.Cut(r.Header.Get(names["tokens"]), ",")
	events, _ := strconv.Atoi(out)
	from, _ := strconv.Atoi(r.Header.Get(names["lastEventID"]))
	deadline := time.Now().Add(time.Minute)
	if ms, err := strconv.Atoi(r.Header.Get(names["deadline"])); err == nil {
		deadline = time.Now().Add(time.Duration(ms) * time.Millisecond)
	}
	w.countRun(attempt)
	w.rec.add("run at %s (version %s): stream %s from event %d of %d, resumes %q", w.id, w.version, attempt, from+1, events, r.Header.Get(names["resumes"]))
	rw.Header().Set(names["stamp"], w.stamp(attempt))
	rw.Header().Set(names["weightVersions"], "1")
	rw.Header().Set("Content-Type", "text/event-stream")
	rw.WriteHeader(http.StatusOK)
	flusher := rw.(http.Flusher)
	for n := from + 1; n <= events; n++ {
		select {
		case <-time.After(eventPause):
		case <-r.Context().Done():
			return
		}
		if time.Now().After(deadline) {
			panic(http.ErrAbortHandler)
		}
		fmt.Fprintf(rw, "id: %d\ndata: %s\n\n", n, w.version)
		flusher.Flush()
	}
}

// run runs a plain request.
func (w *worker) run(rw http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get(names["attempt"])
	w.countRun(attempt)
	w.rec.add("run at %s (service %s): %s %s %s", w.id, w.service, r.Method, r.URL.Path, attempt)
	time.Sleep(plainWork)
	rw.Header().Set(names["stamp"], w.stamp(attempt))
	fmt.Fprintf(rw, "service %s answers %s\n", w.service, attempt)
}
