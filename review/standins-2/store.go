package main

import (
	"encoding/base64"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// storeRow is a row of the platform's store.
type storeRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   string `json:"value,omitempty"` // base64
	Ver     int64  `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

type rowKey struct{ table, part, key string }

// store is a stand-in of the platform's metadata store. It keeps its whole history.
type store struct {
	address string
	began   time.Time

	mu      sync.Mutex
	rows    map[rowKey]storeRow
	history []storeRow
	ver     int64
	changed chan struct{}
	down    bool // calls of the entries are rejected with 503, and nothing is done
}

// setDown begins or ends an outage.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.wake()
}

func (s *store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// rejecting rejects the calls during an outage.
func (s *store) rejecting(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.isDown() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func startStore() *store {
	s := &store{rows: map[rowKey]storeRow{}, changed: make(chan struct{}), began: time.Now()}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	s.address = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+wire.Calls["transaction"], s.serveTx)
	mux.HandleFunc("GET "+wire.Calls["read"], s.serveGet)
	mux.HandleFunc("GET "+wire.Calls["parts"], s.serveParts)
	mux.HandleFunc("GET "+wire.Calls["changes"], s.serveFeed)
	go func() { _ = http.Serve(l, s.rejecting(mux)) }()
	return s
}

// put writes a row as the operator or a worker.
func (s *store) put(table, key string, value any) {
	raw, err := json.Marshal(value)
	check(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.write(storeRow{Table: table, Key: key, Value: base64.StdEncoding.EncodeToString(raw)})
	s.wake()
}

// remove removes a row as the operator or a worker.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.drop(rowKey{table, "", key})
	s.wake()
}

// write stores a row at the current version. The caller holds mu.
func (s *store) write(r storeRow) {
	r.Ver = s.ver
	s.rows[rowKey{r.Table, r.Part, r.Key}] = r
	s.history = append(s.history, r)
}

// drop removes a row at the current version. The caller holds mu.
func (s *store) drop(k rowKey) {
	delete(s.rows, k)
	s.history = append(s.history, storeRow{Table: k.table, Part: k.part, Key: k.key, Ver: s.ver, Deleted: true})
}

// wake wakes the calls that wait for a change. The caller holds mu.
func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) respond(w http.ResponseWriter, status int, fields map[string]any) {
	fields[wire.Fields["clock"]] = time.Since(s.began).Milliseconds()
	raw, err := json.Marshal(fields)
	check(err)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}

type transaction struct {
	Expect []storeRow `json:"expect"`
	Writes []storeRow `json:"writes"`
	Remove []storeRow `json:"remove"`
}

func (s *store) serveTx(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var tx transaction
	if err := json.Unmarshal(raw, &tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(5 * time.Millisecond)
	s.mu.Lock()
	current := []storeRow{}
	holds := true
	for _, e := range tx.Expect {
		row, ok := s.rows[rowKey{e.Table, e.Part, e.Key}]
		if ok {
			current = append(current, row)
		}
		holds = holds && row.Ver == e.Ver
	}
	if !holds {
		ver := s.ver
		s.mu.Unlock()
		s.respond(w, http.StatusPreconditionFailed, map[string]any{"rows": current, "ver": ver})
		return
	}
	s.ver++
	for _, row := range tx.Writes {
		s.write(row)
	}
	for _, row := range tx.Remove {
		s.drop(rowKey{row.Table, row.Part, row.Key})
	}
	s.wake()
	ver := s.ver
	s.mu.Unlock()
	s.respond(w, http.StatusOK, map[string]any{"ver": ver})
}

func (s *store) serveGet(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit := 500
	if n, err := strconv.Atoi(q.Get("limit")); err == nil {
		limit = min(n, limit)
	}
	time.Sleep(2 * time.Millisecond)
	s.mu.Lock()
	out := []storeRow{}
	for k, row := range s.rows {
		if k.table == q.Get("table") && k.part == q.Get("part") && k.key >= q.Get("from") && (q.Get("target") == "" || k.key < q.Get("target")) {
			out = append(out, row)
		}
	}
	ver := s.ver
	s.mu.Unlock()
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	more := len(out) > limit
	s.respond(w, http.StatusOK, map[string]any{"rows": out[:min(limit, len(out))], wire.Fields["more"]: more, "ver": ver})
}

func (s *store) serveParts(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	seen := map[string]bool{}
	for k := range s.rows {
		if k.table == r.URL.Query().Get("table") {
			seen[k.part] = true
		}
	}
	ver := s.ver
	s.mu.Unlock()
	parts := []string{}
	for part := range seen {
		parts = append(parts, part)
	}
	sort.Strings(parts)
	s.respond(w, http.StatusOK, map[string]any{"parts": parts, "ver": ver})
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	deadline := time.After(time.Duration(min(wait, 30_000)) * time.Millisecond)
	for last := false; ; {
		s.mu.Lock()
		rows := []storeRow{}
		for _, row := range s.history {
			if row.Table == q.Get("table") && row.Ver > after {
				rows = append(rows, row)
			}
		}
		ver, changed := s.ver, s.changed
		s.mu.Unlock()
		if s.isDown() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if len(rows) > 0 || last {
			s.respond(w, http.StatusOK, map[string]any{"rows": rows, "ver": ver})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			last = true
		case <-r.Context().Done():
			return
		}
	}
}
