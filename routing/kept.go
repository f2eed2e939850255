package routing

// Shared prompt prefixes over several replicas of a model: a prompt whose
// first parts a server keeps needs a third of the prefill there.

// Prefixes knows which servers keep which prompt parts, for all servers of an
// entry. It is not safe for concurrent use.
type Prefixes struct {
	holders map[uint64]*keptPart // newest holder of each part
}

// Kept is what one server keeps of the prompts that were sent to it, least
// recently used part out first. Create it with Prefixes.Server.
//
//	prefixes := routing.NewPrefixes()
//	server.Kept = prefixes.Server()
//	server.Kept.Add(&prompt, server.KVTokens-server.Batch.Load(now).Tokens)
type Kept struct {
	prefixes *Prefixes
	parts    map[uint64]*keptPart
	ends     keptPart // ring of the parts: ends.older is the most recently used
	tokens   int
	server   *EngineServer
}

type keptPart struct {
	key          uint64
	artifact     uint64
	tokens       int
	owner        *Kept
	newer, older *keptPart // by use, within the server
	next, prev   *keptPart // the same part at other servers; next was added earlier
}

// NewPrefixes returns an index of no servers.
func NewPrefixes() *Prefixes { return &Prefixes{holders: map[uint64]*keptPart{}} }

// Server returns the part of the index for one server.
func (x *Prefixes) Server() *Kept {
	k := &Kept{prefixes: x, parts: map[uint64]*keptPart{}}
	k.ends.newer, k.ends.older = &k.ends, &k.ends
	return k
}

// Add remembers that a prompt was sent to the server, and forgets the least
// recently used parts beyond room tokens.
func (k *Kept) Add(p *Prompt, room int) {
	// The last part is the first to be used up, so it becomes recent first.
	for i := p.parts - 1; i >= 0; i-- {
		k.use(p.keys[i], p.Artifact, p.tokens[i])
	}
	k.Trim(room)
}

func (k *Kept) use(key, artifact uint64, tokens int) {
	part := k.parts[key]
	if part == nil {
		part = &keptPart{key: key, artifact: artifact, owner: k}
		k.parts[key] = part
		k.prefixes.link(part)
	} else {
		part.unlinkUse()
	}
	k.tokens += tokens - part.tokens
	part.tokens = tokens
	part.newer, part.older = &k.ends, k.ends.older
	part.older.newer, k.ends.older = part, part
}

// Trim forgets the least recently used parts until the rest fits in room tokens.
func (k *Kept) Trim(room int) {
	for k.tokens > max(room, 0) {
		k.drop(k.ends.newer)
	}
}

// DropArtifact forgets the prompts of a model or adapter that the server no
// longer holds.
func (k *Kept) DropArtifact(artifact uint64) {
	for _, part := range k.parts {
		if part.artifact == artifact {
			k.drop(part)
		}
	}
}

// Clear forgets everything, for instance after the server's restart.
func (k *Kept) Clear() {
	for _, part := range k.parts {
		k.drop(part)
	}
}

func (k *Kept) drop(part *keptPart) {
	delete(k.parts, part.key)
	k.tokens -= part.tokens
	part.unlinkUse()
	k.prefixes.unlink(part)
}

// Tokens returns how many tokens of a prompt the server keeps. A part counts
// only if all parts before it are kept whole.
func (k *Kept) Tokens(p *Prompt) int {
	total := 0
	for i := range p.parts {
		part := k.parts[p.keys[i]]
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

func (p *keptPart) unlinkUse() {
	p.newer.older, p.older.newer = p.older, p.newer
}

func (x *Prefixes) link(part *keptPart) {
	part.next = x.holders[part.key]
	if part.next != nil {
		part.next.prev = part
	}
	x.holders[part.key] = part
}

func (x *Prefixes) unlink(part *keptPart) {
	if part.next != nil {
		part.next.prev = part.prev
	}
	switch {
	case part.prev != nil:
		part.prev.next = part.next
	case part.next != nil:
		x.holders[part.key] = part.next
	default:
		delete(x.holders, part.key)
	}
}

// maxMatches bounds the servers that are looked at for one prompt: when more
// keep its parts, most of the gain is had at any of them.
const maxMatches = 16

// match is the set of servers that are known to keep parts of a prompt.
type match struct {
	n       int
	servers [maxMatches]*EngineServer
}

// find collects the servers that keep the most of the prompt and notes in each
// how many tokens of it. reset must follow.
func (x *Prefixes) find(p *Prompt, m *match) {
	for i := p.parts - 1; i >= 0; i-- {
		for part := x.holders[p.keys[i]]; part != nil && m.n < maxMatches; part = part.next {
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

func (m *match) reset() {
	for _, s := range m.servers[:m.n] {
		s.cached = 0
	}
}

// most returns the most tokens of the prompt that one server keeps.
func (m *match) most() int {
	most := 0
	for _, s := range m.servers[:m.n] {
		most = max(most, s.cached)
	}
	return most
}
