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
	maxCacheEvents = 1 << 16 // cache events retained
	kvBlockBytes   = 4096    // bytes per exported block
)

type block struct {
	prefix uint64
	parent uint64
}

type timedEvent struct {
	api.CacheEvent
	at time.Time
}

// cache is the prefix cache. It evicts the least recently used block first.
type cache struct {
	mu       sync.Mutex
	capacity int
	eventGap int
	blocks   map[uint64]*list.Element
	lru      *list.List // of block, most recently used first
	events   []timedEvent
	seq      uint64
}

func newCache(capacity, eventGap int) *cache {
	return &cache{capacity: capacity, eventGap: eventGap, blocks: map[uint64]*list.Element{}, lru: list.New()}
}

// match returns how many leading blocks are cached and marks them as recently
// used.
func (c *cache) match(prefixes []uint64) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, p := range prefixes {
		el, ok := c.blocks[p]
		if !ok {
			return i
		}
		c.lru.MoveToFront(el)
	}
	return len(prefixes)
}

// add inserts a chain of blocks and evicts blocks beyond the capacity.
func (c *cache) add(prefixes []uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var parent uint64
	for _, p := range prefixes {
		if el, ok := c.blocks[p]; ok {
			c.lru.MoveToFront(el)
		} else {
			c.blocks[p] = c.lru.PushFront(block{prefix: p, parent: parent})
			c.recordEventLocked(p, false)
		}
		parent = p
	}
	for len(c.blocks) > c.capacity {
		last := c.lru.Back()
		p := c.lru.Remove(last).(block).prefix
		delete(c.blocks, p)
		c.recordEventLocked(p, true)
	}
}

func (c *cache) recordEventLocked(prefix uint64, removed bool) {
	c.seq++
	if c.eventGap > 0 && c.seq%uint64(c.eventGap) == 0 {
		return
	}
	ev := api.CacheEvent{Seq: c.seq, Prefix: prefix, Removed: removed}
	c.events = append(c.events, timedEvent{CacheEvent: ev, at: time.Now()})
	if len(c.events) > maxCacheEvents {
		c.events = append([]timedEvent(nil), c.events[maxCacheEvents/2:]...)
	}
}

// eventsAfter returns the events with sequence numbers above after that are at
// least lag old.
func (c *cache) eventsAfter(after uint64, lag time.Duration) []api.CacheEvent {
	c.mu.Lock()
	defer c.mu.Unlock()
	cutoff := time.Now().Add(-lag)
	var out []api.CacheEvent
	for _, ev := range c.events {
		if ev.Seq > after && !ev.at.After(cutoff) {
			out = append(out, ev.CacheEvent)
		}
	}
	return out
}

// chain returns the blocks of a prompt from the first one up to prefix, or nil
// if one of them is not cached.
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

func (c *cache) kvUsed() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return float64(len(c.blocks)) / float64(c.capacity)
}

func (e *Engine) cacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil && r.URL.Query().Has("after") {
		writeError(w, http.StatusBadRequest, "invalid_after", "%v", err)
		return
	}
	events := e.cache.eventsAfter(after, e.scaled(e.opts.Timing.EventLag))
	admin.WriteJSON(w, http.StatusOK, api.CacheEventList{Events: events})
}

// kvExport is the body of an exported chain of blocks.
type kvExport struct {
	Prefixes []uint64 `json:"prefixes"`
	Data     []byte   `json:"data"`
}

func (e *Engine) exportKV(w http.ResponseWriter, r *http.Request) {
	prefix, err := strconv.ParseUint(mux.Vars(r)["prefix"], 10, 64)
	chain := e.cache.chain(prefix)
	if err != nil || len(chain) == 0 {
		writeError(w, http.StatusNotFound, "not_cached", "prefix is not cached")
		return
	}
	admin.WriteJSON(w, http.StatusOK, kvExport{Prefixes: chain, Data: make([]byte, len(chain)*kvBlockBytes)})
}

func (e *Engine) importKV(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(r.Body)
	var in kvExport
	if err == nil {
		err = json.Unmarshal(raw, &in)
	}
	if err != nil || len(in.Prefixes) == 0 {
		writeError(w, http.StatusBadRequest, "invalid_body", "not an exported cache: %v", err)
		return
	}
	e.cache.add(in.Prefixes)
	w.WriteHeader(http.StatusOK)
}
