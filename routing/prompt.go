package routing

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// MaxParts is how many parts of a prompt are told apart. Prompts have three or
// four; further parts count as tokens that no server keeps.
const MaxParts = 8

// Part is a piece of a prompt that a server may keep from an earlier request.
type Part struct {
	ID     uint64
	Tokens int
}

// Prompt is what matters of a generation request for the choice of a server.
// It is made once for each request, by NewPrompt.
//
//	p := routing.NewPrompt("m1/a3", parts, 1460, 80, pace.PerToken())
//	choice, err := routing.ChooseEngine(replicas, &p, now)
type Prompt struct {
	Artifact     uint64        // hash of the model and adapter
	In           int           // tokens of the prompt
	Out          int           // most tokens of the answer
	PerToken     time.Duration // prefill time of a token at a server of usual speed
	Exclude      string        // server that just failed this request
	Priority     int           // 0 is the most urgent
	Planned      bool          // to be sent once all work reserved before it is done
	parts        int
	keys         [MaxParts]uint64 // each covers the artifact and all parts up to its own
	tokens       [MaxParts]int
	sharedKey    uint64  // of the parts before the last; 0 without any
	shared       int     // tokens of these
	draw         uint64  // differs from request to request
	stepsPerWork float64 // engine steps in a ns of prefill
}

// ArtifactKey returns the hash of a model and adapter, written MODEL or MODEL/ADAPTER.
func ArtifactKey(artifact string) uint64 { return xxhash.Sum64String(artifact) }

// NewPrompt describes a request. The last part belongs to the request or to its
// session, those before it are shared with other requests.
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
			p.shared += part.Tokens
		}
	}
	p.draw = key
	return p
}

// Work returns the prefill time that a server of usual speed needs for the
// prompt when it keeps so many tokens of it.
func (p *Prompt) Work(cached int) time.Duration {
	return time.Duration(max(p.In-cached, 0)) * p.PerToken
}

// Memory returns the tokens of memory that the request takes at its end.
func (p *Prompt) Memory() int { return p.In + p.Out }

// scramble is the finalizer of splitmix64: every bit of x affects every bit of
// the result.
func scramble(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
