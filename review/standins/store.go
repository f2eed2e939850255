package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

const (
	storeLatency = 4 * time.Millisecond
	historyTime  = 20 * time.Second
	maxFeedWait  = 30 * time.Second
	pageRows     = 500
)

// rowName names a row of the store.
type rowName struct{ table, part, key string }

// storeRow is a row, or the record of its removal in the history.
type storeRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Ver     int64  `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`

	at time.Time
}

func (r storeRow) name() rowName { return rowName{r.Table, r.Part, r.Key} }

// backup is a copy of the store's rows at one moment.
type backup struct {
	rows    map[rowName]storeRow
	history []storeRow
	floor   int64
	ver     int64
	taken   time.Time
}

// store is a stand-in of the platform's metadata store. It can be away for a moment and
// come back from a copy.
type store struct {
	address string
	rec     *record
	server  *http.Server
	started time.Time

	mu      sync.Mutex
	rows    map[rowName]storeRow
	history []storeRow
	floor   int64 // newest version that the history has lost
	ver     int64
	era     int64
	away    bool
	silent  bool
	changed chan struct{}

	conns map[net.Conn]struct{}
}

func startStore(rec *record) (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{
		address: l.Addr().String(),
		rec:     rec,
		started: time.Now(),
		rows:    map[rowName]storeRow{},
		era:     1,
		changed: make(chan struct{}),

		conns: map[net.Conn]struct{}{},
	}
	s.server = &http.Server{Handler: s, ConnState: s.track}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

// track closes connections while the store is away, and remembers the open ones.
func (s *store) track(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.conns[c] = struct{}{}
		if s.away {
			reset(c)
		}
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, c)
	}
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// backup returns a copy of the store.
func (s *store) backup() backup {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := backup{rows: map[rowName]storeRow{}, history: append([]storeRow(nil), s.history...), floor: s.floor, ver: s.ver, taken: time.Now()}
	for name, row := range s.rows {
		b.rows[name] = row
	}
	return b
}

// goAway resets all connections and refuses new ones until comeBack.
func (s *store) goAway() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	for c := range s.conns {
		reset(c)
	}
}

// comeBack makes the store available again, with the rows and versions of a copy. What
// first writes is then written before any other call is answered.
func (s *store) comeBack(b backup, first func()) {
	s.mu.Lock()
	lost := s.ver - b.ver
	s.rows, s.history, s.floor, s.ver = map[rowName]storeRow{}, append([]storeRow(nil), b.history...), b.floor, b.ver
	for name, row := range b.rows {
		s.rows[name] = row
	}
	s.era++
	s.mu.Unlock()
	s.rec.say("store: back from a copy that is %.1f s old, era %d, version %d; %d versions lost", time.Since(b.taken).Seconds(), s.era, b.ver, lost)
	if first != nil {
		first()
	}
	s.mu.Lock()
	s.away = false
	s.mu.Unlock()
}

// put writes a row as the operator or a worker does, and returns its version.
func (s *store) put(table, key string, value []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]storeRow{{Table: table, Key: key, Value: value}}, nil)
	return s.ver
}

// putOnline does the same for a worker; it fails while the store is away.
func (s *store) putOnline(table, key string, value []byte) bool {
	if s.isAway() {
		return false
	}
	s.put(table, key, value)
	return true
}

func (s *store) removeOnline(table, key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return false
	}
	s.apply(nil, []storeRow{{Table: table, Key: key}})
	return true
}

func (s *store) isAway() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.away
}

// value returns the value of a row, nil if there is none.
func (s *store) value(table, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[rowName{table: table, key: key}].Value
}

// apply applies a transaction. The caller holds mu.
func (s *store) apply(writes, removes []storeRow) {
	s.ver++
	now := time.Now()
	for _, w := range writes {
		w.Ver, w.at = s.ver, now
		s.rows[w.name()] = w
		s.history = append(s.history, w)
	}
	for _, r := range removes {
		if _, ok := s.rows[r.name()]; !ok {
			continue
		}
		delete(s.rows, r.name())
		s.history = append(s.history, storeRow{Table: r.Table, Part: r.Part, Key: r.Key, Ver: s.ver, Deleted: true, at: now})
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// setSilent makes the store silent, or ends that. Calls that arrive meanwhile, or would be
// answered meanwhile, never get an answer.
func (s *store) setSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
}

// awaitSpeech returns at once unless the store is silent: then the call ends without an answer
// when its caller gives it up.
func (s *store) awaitSpeech(r *http.Request) {
	s.mu.Lock()
	silent := s.silent
	s.mu.Unlock()
	if silent {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
}

// ServeHTTP serves the store's calls.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeLatency)
	if s.isAway() {
		panic(http.ErrAbortHandler)
	}
	body, err := io.ReadAll(r.Body) // so that the end of the connection is noticed
	if err != nil {
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	s.awaitSpeech(r)
	switch r.Method + " " + r.URL.Path {
	case "POST " + names["txPath"]:
		s.serveTx(w, r)
	case "GET " + names["getPath"]:
		s.serveGet(w, r)
	case "GET " + names["feedPath"]:
		s.serveFeed(w, r)
	case "GET " + names["partsPath"]:
		s.serveParts(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// answer writes a response about rows. It fails the call if the store has gone away.
func (s *store) answer(w http.ResponseWriter, status int, body map[string]any) {
	s.mu.Lock()
	away, era := s.away, s.era
	s.mu.Unlock()
	if away {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(names["storeEra"], strconv.FormatInt(era, 10))
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// stamp returns the fields that all answers have. The caller holds mu.
func (s *store) stamp() map[string]any {
	return map[string]any{"ver": s.ver, names["nowMS"]: time.Since(s.started).Milliseconds()}
}

func (s *store) serveTx(w http.ResponseWriter, r *http.Request) {
	var tx struct{ Expect, Writes, Remove []storeRow }
	if json.NewDecoder(r.Body).Decode(&tx) != nil {
		s.answer(w, http.StatusBadRequest, map[string]any{})
		return
	}
	for _, row := range append(append([]storeRow(nil), tx.Writes...), tx.Remove...) {
		if row.Table == "op" || row.Table == "servers" {
			s.answer(w, http.StatusForbidden, map[string]any{})
			return
		}
	}
	s.mu.Lock()
	met, current := !s.away, []storeRow{}
	for _, e := range tx.Expect {
		row, found := s.rows[e.name()]
		if found {
			current = append(current, row)
		}
		met = met && row.Ver == e.Ver
	}
	status := http.StatusPreconditionFailed
	if met {
		s.apply(tx.Writes, tx.Remove)
		status = http.StatusOK
	}
	body := s.stamp()
	s.mu.Unlock()
	if !met {
		body["rows"] = current
	}
	s.answer(w, status, body)
}

func (s *store) serveGet(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 || limit > pageRows {
		limit = pageRows
	}
	rows := []storeRow{}
	s.mu.Lock()
	for name, row := range s.rows {
		if name.table == q.Get("table") && name.part == q.Get("part") && name.key >= q.Get("from") && (q.Get("target") == "" || name.key < q.Get("target")) {
			rows = append(rows, row)
		}
	}
	body := s.stamp()
	s.mu.Unlock()
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	more := len(rows) > limit
	if more {
		rows = rows[:limit]
	}
	body["rows"], body[names["hasMore"]] = rows, more
	s.answer(w, http.StatusOK, body)
}

func (s *store) serveParts(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	seen := map[string]bool{}
	for name := range s.rows {
		if name.table == r.URL.Query().Get("table") {
			seen[name.part] = true
		}
	}
	body := s.stamp()
	s.mu.Unlock()
	parts := []string{}
	for part := range seen {
		parts = append(parts, part)
	}
	sort.Strings(parts)
	body["parts"], body[names["hasMore"]] = parts, false
	s.answer(w, http.StatusOK, body)
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseInt(q.Get("after"), 10, 64)
	if err != nil {
		s.answer(w, http.StatusBadRequest, map[string]any{})
		return
	}
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	deadline := time.After(min(time.Duration(wait)*time.Millisecond, maxFeedWait))
	if !s.reachesBack(after) {
		s.mu.Lock()
		body := s.stamp()
		s.mu.Unlock()
		s.answer(w, http.StatusGone, body)
		return
	}
	for last := false; ; {
		rows, body, changed := s.since(q.Get("table"), after)
		if len(rows) > 0 || last {
			s.awaitSpeech(r)
			body["rows"] = rows
			s.answer(w, http.StatusOK, body)
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

// reachesBack reports whether the store has a version, and its history reaches back to it.
func (s *store) reachesBack(version int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.history) > 0 && time.Since(s.history[0].at) > historyTime {
		s.floor = s.history[0].Ver
		s.history = s.history[1:]
	}
	return version <= s.ver && version >= s.floor
}

// since returns the changes of a table after a version.
func (s *store) since(table string, after int64) (rows []storeRow, body map[string]any, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rows, body = []storeRow{}, s.stamp()
	for _, c := range s.history {
		if c.Table == table && c.Ver > after {
			rows = append(rows, c)
		}
	}
	return rows, body, s.changed
}
