package routing

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// MaxParts is the maximum number of distinct parts of a prompt. Prompts usually
// have three or four. Further parts count as tokens that no server has cached.
const MaxParts = 8

// Part is a piece of a prompt that a server may have cached from an earlier
// request.
type Part struct {
	ID     uint64
	Tokens int
}

// Prompt describes a generation request for the choice of a server. Create it
// once per request with NewPrompt.
//
//	p := routing.NewPrompt("m1/a3", parts, 1460, 80, prefillTime.PerToken())
//	choice, err := routing.ChooseEngine(replicas, &p, now)
type Prompt struct {
	Artifact     uint64           // hash of the model and adapter
	In           int              // tokens of the prompt
	Out          int              // maximum tokens of the answer
	PerToken     time.Duration    // prefill time per token at a server of usual speed
	Exclude      string           // name of a server that just failed this request
	Priority     int              // 0 is the most urgent
	Planned      bool             // work reserved for requests of this or a more urgent priority counts as backlog
	parts        int              // number of parts in keys and tokens
	keys         [MaxParts]uint64 // hash of the artifact and all parts up to this one
	tokens       [MaxParts]int
	sharedKey    uint64  // key of the last shared part; 0 if there is none
	sharedTokens int     // tokens of the shared parts, all but the last one
	sampleSeed   uint64  // seeds the sample of replicas; differs between requests
	stepsPerWork float64 // converts work (ns of prefill) into batch steps
}

// ArtifactKey returns the hash of an artifact, given as MODEL or MODEL/ADAPTER.
func ArtifactKey(artifact string) uint64 { return xxhash.Sum64String(artifact) }

// NewPrompt returns the prompt of a request with in prompt tokens and at most
// out answer tokens. The last part belongs to the request or its session; those
// before it are shared with other requests.
func NewPrompt(artifact string, parts []Part, in, out int, perToken time.Duration) Prompt {
	p := Prompt{Artifact: ArtifactKey(artifact), In: in, Out: out, PerToken: perToken}
	p.stepsPerWork = 1 / float64(max(chunkTokens*perToken, 1))
	key := p.Artifact
	for i, part := range parts[:min(len(parts), MaxParts)] {
		key = scramble(key ^ scramble(part.ID+1))
		p.keys[i], p.tokens[i] = key, part.Tokens
		p.parts++
		if i < len(parts)-1 {
			p.sharedKey = key
			p.sharedTokens += part.Tokens
		}
	}
	p.sampleSeed = key
	return p
}

// Work returns the prefill time of the prompt at a server of usual speed that has
// the given number of its tokens cached.
func (p *Prompt) Work(cached int) time.Duration {
	return time.Duration(max(p.In-cached, 0)) * p.PerToken
}

// Memory returns the memory that the request takes at its end, in tokens.
func (p *Prompt) Memory() int { return p.In + p.Out }

// scramble is the finalizer of splitmix64: every bit of x affects every bit of
// the result.
func scramble(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
