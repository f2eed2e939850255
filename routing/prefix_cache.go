package routing

// Prompts share prefixes. A server that has the first parts of a prompt cached
// needs about a third of the prefill for it.

// PrefixCaches is an index of the prompt parts that the servers of an entry are
// expected to have cached. It is not safe for concurrent use.
type PrefixCaches struct {
	newest map[uint64]*cachedPart // by key: the part added last, which links to the same part at other servers
}

// PrefixCache models the prefix cache of one server: an LRU cache of the parts
// of the prompts that were sent to it. Create it with PrefixCaches.NewCache.
//
//	prefixes := routing.NewPrefixCaches()
//	server.PrefixCache = prefixes.NewCache()
//	server.PrefixCache.Add(&prompt, server.KVTokens-server.Batch.Load(now).Tokens)
type PrefixCache struct {
	prefixes *PrefixCaches
	parts    map[uint64]*cachedPart // by key
	lru      cachedPart             // head of the ring of parts; lru.older is the most recently used one
	tokens   int                    // of all parts
	server   *EngineServer          // nil until NewEngineServer sets it
}

// cachedPart is a prompt part in the cache of one server.
type cachedPart struct {
	key                    uint64 // see Prompt.keys
	artifact               uint64 // see Prompt.Artifact
	tokens                 int
	owner                  *PrefixCache
	newer, older           *cachedPart // neighbors in the ring of owner, by last use
	nextServer, prevServer *cachedPart // the same part at other servers; nextServer was added earlier
}

// NewPrefixCaches returns an empty index.
func NewPrefixCaches() *PrefixCaches { return &PrefixCaches{newest: map[uint64]*cachedPart{}} }

// NewCache returns an empty cache for one server, which the index covers.
func (x *PrefixCaches) NewCache() *PrefixCache {
	c := &PrefixCache{prefixes: x, parts: map[uint64]*cachedPart{}}
	c.lru.newer, c.lru.older = &c.lru, &c.lru
	return c
}

// Add adds the parts of a prompt that was sent to the server, then evicts the
// least recently used parts beyond capacity, in tokens.
func (c *PrefixCache) Add(p *Prompt, capacity int) {
	// A part is useless without those before it, so the last part is touched
	// first and thereby evicted first.
	for i := p.parts - 1; i >= 0; i-- {
		c.touch(p.keys[i], p.Artifact, p.tokens[i])
	}
	c.Trim(capacity)
}

// touch adds a part or updates its tokens, and makes it the most recently used.
func (c *PrefixCache) touch(key, artifact uint64, tokens int) {
	part := c.parts[key]
	if part == nil {
		part = &cachedPart{key: key, artifact: artifact, owner: c}
		c.parts[key] = part
		c.prefixes.link(part)
	} else {
		part.unlinkLRU()
	}
	c.tokens += tokens - part.tokens
	part.tokens = tokens
	part.newer, part.older = &c.lru, c.lru.older
	part.older.newer, c.lru.older = part, part
}

// Trim evicts the least recently used parts until at most capacity tokens
// remain.
func (c *PrefixCache) Trim(capacity int) {
	for c.tokens > max(capacity, 0) {
		c.drop(c.lru.newer)
	}
}

// DropArtifact removes the parts of a model or adapter that the server has
// unloaded. The artifact is a value of ArtifactKey.
func (c *PrefixCache) DropArtifact(artifact uint64) {
	for _, part := range c.parts {
		if part.artifact == artifact {
			c.drop(part)
		}
	}
}

// Clear removes all parts, for instance after a restart of the server.
func (c *PrefixCache) Clear() {
	for _, part := range c.parts {
		c.drop(part)
	}
}

func (c *PrefixCache) drop(part *cachedPart) {
	delete(c.parts, part.key)
	c.tokens -= part.tokens
	part.unlinkLRU()
	c.prefixes.unlink(part)
}

// Tokens returns how many leading tokens of a prompt the server has cached. A
// part counts only if all parts before it are cached completely.
func (c *PrefixCache) Tokens(p *Prompt) int {
	total := 0
	for i := range p.parts {
		part := c.parts[p.keys[i]]
		if part == nil {
			break
		}
		total += min(part.tokens, p.tokens[i])
		if part.tokens < p.tokens[i] {
			break
		}
	}
	return total
}

// unlinkLRU removes the part from the ring of its server.
func (p *cachedPart) unlinkLRU() {
	p.newer.older, p.older.newer = p.older, p.newer
}

// link adds the part to the list of its key.
func (x *PrefixCaches) link(part *cachedPart) {
	part.nextServer = x.newest[part.key]
	if part.nextServer != nil {
		part.nextServer.prevServer = part
	}
	x.newest[part.key] = part
}

// unlink removes the part from the list of its key.
func (x *PrefixCaches) unlink(part *cachedPart) {
	if part.nextServer != nil {
		part.nextServer.prevServer = part.prevServer
	}
	switch {
	case part.prevServer != nil:
		part.prevServer.nextServer = part.nextServer
	case part.nextServer != nil:
		x.newest[part.key] = part.nextServer
	default:
		delete(x.newest, part.key)
	}
}

// maxMatches is the maximum number of servers in a prefixMatch. If more servers
// have parts of the prompt cached, any of these offers most of the gain.
const maxMatches = 16

// prefixMatch is a set of servers that have parts of a prompt cached.
type prefixMatch struct {
	n       int
	servers [maxMatches]*EngineServer
}

// find collects the servers that have parts of the prompt cached, longest
// prefixes first, and sets their field cached. m.reset must be called when done.
func (x *PrefixCaches) find(p *Prompt, m *prefixMatch) {
	for i := p.parts - 1; i >= 0; i-- {
		for part := x.newest[p.keys[i]]; part != nil && m.n < maxMatches; part = part.nextServer {
			s := part.owner.server
			if s == nil || s.cached > 0 {
				continue
			}
			if s.cached = part.owner.Tokens(p); s.cached > 0 {
				m.servers[m.n] = s
				m.n++
			}
		}
	}
}

// reset clears the field cached of the servers.
func (m *prefixMatch) reset() {
	for _, s := range m.servers[:m.n] {
		s.cached = 0
	}
}

// maxCached returns the largest number of tokens that one server has cached.
func (m *prefixMatch) maxCached() int {
	most := 0
	for _, s := range m.servers[:m.n] {
		most = max(most, s.cached)
	}
	return most
}
