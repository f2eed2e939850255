package quarantine

import (
	"slices"
	"time"
)

const (
	evidenceTTL = 10 * time.Minute // how long a crash counts
	maxCrashes  = 128              // crashes remembered; the oldest are dropped
	maxLost     = 256              // requests remembered of one crash
	maxParts    = 16               // parts remembered of one request
)

// Lost is a request that was lost in the crash of its server.
type Lost struct {
	ID     string    // of the client attempt
	Digest uint64    // of the request; 0 if unknown
	Parts  []uint64  // of its prompt, in order
	Sent   time.Time // to the server that crashed
	Begun  bool      // the server had sent an event of its answer
}

// Causes returns all that the request holds.
func (l *Lost) Causes() []Cause {
	if l.Digest == 0 {
		return partCauses(l.Parts)
	}
	return append(partCauses(l.Parts), Request(l.Digest))
}

// variant tells requests apart: a client may send the same for several prompts, if these are
// not in the body.
type variant struct {
	digest   uint64
	lastPart uint64 // 0 without a prompt
}

func (l *Lost) variant() variant {
	v := variant{digest: l.Digest}
	if n := len(l.Parts); n > 0 {
		v.lastPart = l.Parts[n-1]
	}
	return v
}

// Crash is a report that one incarnation of a server has ended.
type Crash struct {
	Server  string // incarnation
	Service string // of the server
	At      time.Time
	Lost    []Lost
}

// crash is the end of one incarnation of a server.
type crash struct {
	server   string
	service  string
	at       time.Time // when its requests were lost, by the earliest report
	reported time.Time // when the latest report was added
	lost     []Lost
}

// share is what the requests with one cause have in a crash.
type share struct {
	sent     time.Time // when the latest of the requests was sent
	requests []string  // client attempts
	variants []variant // distinct
	depth    int       // greatest position of a part
	inner    bool      // some prompt goes on after the part
	trigger  bool      // some answer had not begun
}

// shares returns the shares of all causes in the crash.
func (c *crash) shares() map[Cause]*share {
	out := map[Cause]*share{}
	for i := range c.lost {
		l := &c.lost[i]
		for depth, cause := range l.Causes() {
			s := out[cause]
			if s == nil {
				s = &share{}
				out[cause] = s
			}
			s.add(l)
			if cause.Kind == PromptPart {
				s.depth = max(s.depth, depth)
				s.inner = s.inner || depth < len(l.Parts)-1
			}
		}
	}
	return out
}

func (s *share) add(l *Lost) {
	if l.Sent.After(s.sent) {
		s.sent = l.Sent
	}
	s.requests = append(s.requests, l.ID)
	s.variants = addDistinct(s.variants, l.variant())
	s.trigger = s.trigger || !l.Begun
}

func addDistinct[T comparable](all []T, add ...T) []T {
	for _, x := range add {
		if !slices.Contains(all, x) {
			all = append(all, x)
		}
	}
	return all
}

// has reports whether a lost request holds a cause of a kind that meets the condition.
func (c *crash) has(kind Kind, condition func(Cause) bool) bool {
	return slices.ContainsFunc(c.lost, func(l Lost) bool {
		return slices.ContainsFunc(l.Causes(), func(cause Cause) bool { return cause.Kind == kind && condition(cause) })
	})
}

// evidence holds the crashes of the last evidenceTTL, the oldest first.
type evidence struct {
	crashes []*crash
}

// add adds a report about a crash. An incarnation crashes once, so all reports about it
// make one crash, whatever times the entries give.
func (e *evidence) add(r Crash, now time.Time) {
	e.expire(now)
	c := e.find(r.Server)
	if c == nil {
		c = &crash{server: r.Server, service: r.Service, at: r.At}
		e.crashes = append(e.crashes, c)
	}
	if r.At.Before(c.at) {
		c.at = r.At
	}
	c.reported = now
	for _, l := range r.Lost[:min(len(r.Lost), maxLost-len(c.lost))] {
		l.Parts = l.Parts[:min(len(l.Parts), maxParts)]
		c.lost = append(c.lost, l)
	}
	slices.SortStableFunc(e.crashes, func(a, b *crash) int { return a.at.Compare(b.at) })
	if n := len(e.crashes) - maxCrashes; n > 0 {
		e.crashes = slices.Delete(e.crashes, 0, n)
	}
}

func (e *evidence) find(server string) *crash {
	i := slices.IndexFunc(e.crashes, func(c *crash) bool { return c.server == server })
	if i < 0 {
		return nil
	}
	return e.crashes[i]
}

func (e *evidence) expire(now time.Time) {
	e.crashes = slices.DeleteFunc(e.crashes, func(c *crash) bool { return now.Sub(c.at) >= evidenceTTL })
}
