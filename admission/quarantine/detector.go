package quarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// minCrashes is the number of crashes, each of a request sent after the one before,
	// for which a part is found. Servers that end together count once.
	minCrashes = 3
	// minRequests is the number of distinct requests lost with the part.
	minRequests = 2

	// SettleTime is how long the latest crash must be known: reports of entries in
	// another region arrive within it.
	SettleTime = 200 * time.Millisecond

	maxSuspects = 1 << 15 // parts lost and not answered since
	maxNamed    = 8       // requests named in a finding
)

// Finding is a part of prompts on which servers crash.
type Finding struct {
	Part     uint64
	Crashes  int      // that led to the finding
	Requests []string // some of those lost with it
}

// Detector finds parts of prompts on which servers crash: the requests lost in several
// crashes have the part, and no request with it has been answered since the first of
// them. A crash of which one part is the cause counts against no other part.
type Detector struct {
	evidence evidence
	answers  answers
	suspects map[uint64]struct{} // parts lost in a crash and not answered since
}

// NewDetector returns a Detector that knows of no crash.
func NewDetector() *Detector { return &Detector{suspects: map[uint64]struct{}{}} }

// Crashed adds a report that a server's incarnation crashed and lost the requests at the
// given time.
func (d *Detector) Crashed(server string, at time.Time, lost []Lost, now time.Time) {
	d.evidence.add(server, at, lost, now)
	if len(d.suspects) > maxSuspects {
		clear(d.suspects)
	}
	for i := range lost {
		for _, p := range lost[i].Parts[:min(len(lost[i].Parts), maxParts)] {
			d.suspects[p] = struct{}{}
		}
	}
}

// Answered adds a request that was answered completely. It returns those of its parts
// that had been lost in a crash since their last answer, which the other entries must
// learn.
func (d *Detector) Answered(parts []uint64, now time.Time) (cleared []uint64) {
	d.answers.add(parts, now)
	for _, p := range parts {
		if _, suspected := d.suspects[p]; suspected {
			delete(d.suspects, p)
			cleared = append(cleared, p)
		}
	}
	return cleared
}

// Crashes returns the number of crashes remembered.
func (d *Detector) Crashes() int { return len(d.evidence.crashes) }

// Suspects returns the number of parts lost in a crash and not answered since.
func (d *Detector) Suspects() int { return len(d.suspects) }

// Find returns the part on which servers crash, or several that the crashes do not tell
// apart. quarantined reports parts already found, whose crashes need no other cause. If
// there may be a finding later, Find returns when to ask again.
func (d *Detector) Find(now time.Time, quarantined func(part uint64) bool) (found []Finding, again time.Time) {
	d.evidence.expire(now)
	best := d.best(quarantined)
	if len(best) == 0 {
		return nil, time.Time{}
	}
	if !d.othersAnswered(best[0]) {
		return nil, now.Add(SettleTime)
	}
	if settled := best[0].crashes[minCrashes-1].reported.Add(SettleTime); now.Before(settled) {
		return nil, settled
	}
	for _, c := range best {
		found = append(found, Finding{Part: c.part, Crashes: len(c.crashes), Requests: c.requests[:min(len(c.requests), maxNamed)]})
	}
	return found, time.Time{}
}

// othersAnswered reports whether requests without the candidate's part are answered: if
// none is, the servers may crash on all requests. For a part that was answered before it
// takes an answer since the first crash.
func (d *Detector) othersAnswered(c *candidate) bool {
	if c.answered {
		return d.answers.latest.After(c.crashes[0].at)
	}
	return !d.answers.latest.IsZero()
}

// best returns the candidates that lost enough requests and before which none is ordered.
func (d *Detector) best(quarantined func(part uint64) bool) []*candidate {
	if len(d.evidence.crashes) < minCrashes {
		return nil
	}
	var best []*candidate
	for _, c := range d.candidates(quarantined) {
		if len(c.crashes) < minCrashes || len(c.requests) < minRequests {
			continue
		}
		if len(best) > 0 && c.compare(best[0]) > 0 {
			continue
		}
		if len(best) > 0 && c.compare(best[0]) < 0 {
			best = best[:0]
		}
		best = append(best, c)
	}
	slices.SortFunc(best, func(a, b *candidate) int { return cmp.Compare(a.part, b.part) })
	return best
}

// candidate is a part that was lost in crashes and not answered since.
type candidate struct {
	part     uint64
	crashes  []*crash // each lost a request sent after the crash before it
	requests []string // distinct requests lost with the part
	answered bool     // an answered request had the part before
	inner    bool     // some prompt goes on after the part
	depth    int      // greatest position in a prompt
	triggers int      // crashes in which an answer to a request with the part had not begun
}

func (d *Detector) candidates(quarantined func(part uint64) bool) map[uint64]*candidate {
	out := map[uint64]*candidate{}
	for _, c := range d.evidence.crashes {
		if c.has(quarantined) {
			continue
		}
		for part, s := range c.shares() {
			answered := d.answers.of(part)
			if !c.at.After(answered) {
				continue
			}
			if out[part] == nil {
				out[part] = &candidate{part: part, answered: !answered.IsZero()}
			}
			out[part].add(c, s)
		}
	}
	return out
}

func (c *candidate) add(at *crash, s *share) {
	c.depth, c.inner = max(c.depth, s.depth), c.inner || s.inner
	for _, id := range s.requests {
		if !slices.Contains(c.requests, id) {
			c.requests = append(c.requests, id)
		}
	}
	if s.trigger {
		c.triggers++
	}
	if n := len(c.crashes); n == 0 || s.sent.After(c.crashes[n-1].at) {
		c.crashes = append(c.crashes, at)
	}
}

// compare orders candidates by how likely they are the cause: the part with the most
// crashes first. Of parts with as many, first one that no answered request had, then one
// whose answers had not begun, then one that several prompts can share, then the one
// furthest in the prompt, which fewest do.
func (c *candidate) compare(other *candidate) int {
	return cmp.Or(
		cmp.Compare(len(other.crashes), len(c.crashes)),
		falseFirst(c.answered, other.answered),
		cmp.Compare(other.triggers, c.triggers),
		falseFirst(!c.inner, !other.inner),
		cmp.Compare(other.depth, c.depth),
	)
}

func falseFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
