package engine

import (
	"container/list"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"peridotchute.example/common/admin"
	api "peridotchute.example/engine"
)

const (
	maxEvents   = 1 << 16 // cache events kept
	kvBlockSize = 4096    // bytes of one exported block
)

type block struct {
	prefix uint64
	parent uint64
}

type timedEvent struct {
	api.CacheEvent
	at time.Time
}

// cache is the prefix cache, least recently used block out first.
type cache struct {
	mu       sync.Mutex
	capacity int
	gap      int
	blocks   map[uint64]*list.Element
	recent   *list.List // of block; front is most recent
	events   []timedEvent
	seq      uint64
}

func newCache(capacity, gap int) *cache {
	return &cache{capacity: capacity, gap: gap, blocks: map[uint64]*list.Element{}, recent: list.New()}
}

// match returns how many leading blocks are cached and refreshes them.
func (c *cache) match(prefixes []uint64) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, p := range prefixes {
		el, ok := c.blocks[p]
		if !ok {
			return i
		}
		c.recent.MoveToFront(el)
	}
	return len(prefixes)
}

// add puts a chain of blocks into the cache.
func (c *cache) add(prefixes []uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var parent uint64
	for _, p := range prefixes {
		if el, ok := c.blocks[p]; ok {
			c.recent.MoveToFront(el)
		} else {
			c.blocks[p] = c.recent.PushFront(block{prefix: p, parent: parent})
			c.recordLocked(p, false)
		}
		parent = p
	}
	for len(c.blocks) > c.capacity {
		last := c.recent.Back()
		p := c.recent.Remove(last).(block).prefix
		delete(c.blocks, p)
		c.recordLocked(p, true)
	}
}

func (c *cache) recordLocked(prefix uint64, removed bool) {
	c.seq++
	if c.gap > 0 && c.seq%uint64(c.gap) == 0 {
		return
	}
	ev := api.CacheEvent{Seq: c.seq, Prefix: prefix, Removed: removed}
	c.events = append(c.events, timedEvent{CacheEvent: ev, at: time.Now()})
	if len(c.events) > maxEvents {
		c.events = append([]timedEvent(nil), c.events[maxEvents/2:]...)
	}
}

// since returns the events with numbers above after that are at least lag old.
func (c *cache) since(after uint64, lag time.Duration) []api.CacheEvent {
	c.mu.Lock()
	defer c.mu.Unlock()
	limit := time.Now().Add(-lag)
	var out []api.CacheEvent
	for _, ev := range c.events {
		if ev.Seq > after && !ev.at.After(limit) {
			out = append(out, ev.CacheEvent)
		}
	}
	return out
}

// chain returns the cached blocks that end in prefix, first block first.
func (c *cache) chain(prefix uint64) []uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []uint64
	for prefix != 0 {
		el, ok := c.blocks[prefix]
		if !ok {
			return nil
		}
		out = append([]uint64{prefix}, out...)
		prefix = el.Value.(block).parent
	}
	return out
}

func (c *cache) used() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return float64(len(c.blocks)) / float64(c.capacity)
}

func (e *Engine) cacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil && r.URL.Query().Has("after") {
		fail(w, http.StatusBadRequest, "invalid_after", "%v", err)
		return
	}
	events := e.cache.since(after, e.scaled(e.opts.Timing.EventLag))
	admin.WriteJSON(w, http.StatusOK, api.CacheEventList{Events: events})
}

// kvExport is the exported form of a chain of blocks.
type kvExport struct {
	Prefixes []uint64 `json:"prefixes"`
	Data     []byte   `json:"data"`
}

func (e *Engine) exportKV(w http.ResponseWriter, r *http.Request) {
	prefix, err := strconv.ParseUint(mux.Vars(r)["prefix"], 10, 64)
	chain := e.cache.chain(prefix)
	if err != nil || len(chain) == 0 {
		fail(w, http.StatusNotFound, "not_cached", "prefix is not cached")
		return
	}
	admin.WriteJSON(w, http.StatusOK, kvExport{Prefixes: chain, Data: make([]byte, len(chain)*kvBlockSize)})
}

func (e *Engine) importKV(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(r.Body)
	var in kvExport
	if err == nil {
		err = json.Unmarshal(raw, &in)
	}
	if err != nil || len(in.Prefixes) == 0 {
		fail(w, http.StatusBadRequest, "invalid_body", "not an exported cache: %v", err)
		return
	}
	e.cache.add(in.Prefixes)
	w.WriteHeader(http.StatusOK)
}
