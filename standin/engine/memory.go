package engine

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"peridotchute.example/common/admin"
	"peridotchute.example/common/wire"
	api "peridotchute.example/engine"
)

// Breaches counts the loads of an engine and the violations of its memory rules.
type Breaches struct {
	Overcommits  int   `json:"overcommits"`    // loads that exceeded the memory limit
	InUseUnloads int   `json:"in_use_unloads"` // requests completed on an artifact that was unloaded while they ran
	PeakBytes    int64 `json:"peak_bytes"`
	Loads        int   `json:"loads"` // completed loads of models and adapters
	AdapterLoads int   `json:"adapter_loads"`
}

type resident struct {
	api.Resident
	base    string
	removed bool
	loadSeq int // sequence number of the load
}

// memory tracks the artifacts in the engine's memory.
type memory struct {
	mu           sync.Mutex
	limit        int64
	residents    map[wire.Artifact]*resident
	lastLoadSeq  int
	fencingToken uint64
	role         api.Role
	breaches     Breaches
}

func newMemory(limit int64) *memory {
	return &memory{limit: limit, residents: map[wire.Artifact]*resident{}, role: api.RoleBoth}
}

// admit records the fencing token of an order. If check is set, it reports false
// for a token older than the highest one seen.
func (m *memory) admit(token uint64, check bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if check && token < m.fencingToken {
		return false
	}
	m.fencingToken = max(m.fencingToken, token)
	return true
}

// beginLoad reserves memory for a load. It reports false when the artifact is
// already loaded or being loaded.
func (m *memory) beginLoad(a wire.Artifact, base string, bytes int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, ok := m.residents[a]; ok {
		return false
	}
	m.lastLoadSeq++
	m.residents[a] = &resident{Resident: api.Resident{Artifact: a, Bytes: bytes, Loading: true}, base: base, loadSeq: m.lastLoadSeq}
	used := m.usedLocked()
	m.breaches.PeakBytes = max(m.breaches.PeakBytes, used)
	if used > m.limit {
		m.breaches.Overcommits++
	}
	return true
}

func (m *memory) finishLoad(a wire.Artifact, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r, found := m.residents[a]
	if !found {
		return
	}
	if !ok {
		delete(m.residents, a)
		return
	}
	r.Loading = false
	m.breaches.Loads++
	if a.Kind == wire.KindAdapter {
		m.breaches.AdapterLoads++
	}
}

func (m *memory) remove(a wire.Artifact) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	r, ok := m.residents[a]
	if !ok {
		return false
	}
	r.removed = true
	delete(m.residents, a)
	return true
}

func (m *memory) usedLocked() int64 {
	var sum int64
	for _, r := range m.residents {
		sum += r.Bytes
	}
	return sum
}

// pin returns the artifact that a request names and a function that unpins it.
// It reports false when the artifact or its base model is not loaded.
func (m *memory) pin(name string) (wire.Artifact, func(completed bool), bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.findLocked(name)
	if r == nil || (r.base != "" && m.findLocked(r.base) == nil) {
		return wire.Artifact{}, nil, false
	}
	pinned := []*resident{r}
	if r.base != "" {
		pinned = append(pinned, m.findLocked(r.base))
	}
	return r.Artifact, func(completed bool) { m.unpin(pinned, completed) }, true
}

// unpin counts an in-use unload for each pinned artifact that was removed.
// Requests that did not complete because the client disconnected don't count.
func (m *memory) unpin(pinned []*resident, completed bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range pinned {
		if completed && p.removed {
			m.breaches.InUseUnloads++
		}
	}
}

// findLocked returns the loaded artifact denoted by a name, name@version or
// Artifact.String form. A plain name selects the version that was loaded last.
func (m *memory) findLocked(name string) *resident {
	var newest *resident
	for a, r := range m.residents {
		matches := name == a.Name || name == a.Name+"@"+a.Version || name == a.String()
		if matches && !r.Loading && (newest == nil || r.loadSeq > newest.loadSeq) {
			newest = r
		}
	}
	return newest
}

func (e *Engine) decodeOrder(w http.ResponseWriter, r *http.Request) (api.OrderBody, wire.Artifact, bool) {
	var body api.OrderBody
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		writeError(w, http.StatusBadRequest, "invalid_body", "%v", err)
		return body, wire.Artifact{}, false
	}
	if !e.mem.admit(body.FencingToken, e.opts.Fencing) {
		writeError(w, http.StatusConflict, "stale_fencing", "fencing token %d is stale", body.FencingToken)
		return body, wire.Artifact{}, false
	}
	if e.opts.Fencing && body.ExpiresAtMS > 0 && time.Now().UnixMilli() > body.ExpiresAtMS {
		writeError(w, http.StatusGone, "expired", "the order has expired")
		return body, wire.Artifact{}, false
	}
	path := body.AdapterPath
	if path == "" {
		path = body.ModelPath
	}
	if body.Role != "" {
		return body, wire.Artifact{}, true
	}
	a, err := wire.ParseArtifact(path)
	if err != nil {
		writeError(w, http.StatusBadRequest, "invalid_artifact", "%v", err)
		return body, wire.Artifact{}, false
	}
	return body, a, true
}

func (e *Engine) load(w http.ResponseWriter, r *http.Request) {
	body, a, ok := e.decodeOrder(w, r)
	if !ok {
		return
	}
	if !e.mem.beginLoad(a, body.Base, body.Bytes) {
		w.WriteHeader(http.StatusOK)
		return
	}
	var err error
	if e.opts.Load != nil {
		// Like real engines, complete an accepted load even if the client disconnects.
		err = e.opts.Load(withoutCancel(r), a)
	}
	e.mem.finishLoad(a, err == nil)
	if err != nil {
		writeError(w, http.StatusInternalServerError, "load_failed", "%v", err)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (e *Engine) unload(w http.ResponseWriter, r *http.Request) {
	_, a, ok := e.decodeOrder(w, r)
	if !ok {
		return
	}
	if !e.mem.remove(a) {
		writeError(w, http.StatusNotFound, "not_loaded", "%s is not loaded", a)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (e *Engine) setRole(w http.ResponseWriter, r *http.Request) {
	body, _, ok := e.decodeOrder(w, r)
	if !ok {
		return
	}
	e.mem.mu.Lock()
	e.mem.role = body.Role
	e.mem.mu.Unlock()
	w.WriteHeader(http.StatusOK)
}

func (e *Engine) inventory(w http.ResponseWriter, _ *http.Request) {
	e.mem.mu.Lock()
	inv := api.Inventory{MemoryBytes: e.mem.limit, UsedBytes: e.mem.usedLocked(), Role: e.mem.role}
	for _, r := range e.mem.residents {
		inv.Residents = append(inv.Residents, r.Resident)
	}
	e.mem.mu.Unlock()
	admin.WriteJSON(w, http.StatusOK, inv)
}

// Breaches returns the counts since start.
func (e *Engine) Breaches() Breaches {
	e.mem.mu.Lock()
	defer e.mem.mu.Unlock()
	return e.mem.breaches
}

func (e *Engine) breaches(w http.ResponseWriter, _ *http.Request) {
	admin.WriteJSON(w, http.StatusOK, e.Breaches())
}

func writeError(w http.ResponseWriter, status int, code, format string, args ...any) {
	wire.NewFailure(status, "", code, format, args...).Write(w)
}
