package quarantine

import (
	"slices"
	"time"
)

const (
	// minCrashes is the number of crashes for which a cause is found. Of servers that end
	// together one counts, unless different client attempts of one request were lost.
	minCrashes = 3
	// minRequests is the number of distinct requests lost with a part, and of distinct
	// client attempts of a request.
	minRequests = 2
	// minUnexplained is the number of crashes without a quarantined request for which a
	// part is found: the requests explain the others.
	minUnexplained = 2

	// SettleTime is how long the latest crash must be known: reports of entries in
	// another region arrive within it.
	SettleTime = 200 * time.Millisecond

	maxSuspects = 1 << 15 // causes lost and not answered since
	maxNamed    = 8       // requests named in a finding
)

// Finding is a cause on which servers crash.
type Finding struct {
	Cause    Cause
	Crashes  int      // that led to the finding
	Requests []string // some of the client attempts lost with it
}

// Detector finds causes on which servers crash: the requests lost in several crashes hold
// the cause, and no request that holds it has been answered since the first of them. A
// crash of which one part is the cause counts against nothing else, one of which a request
// is the cause against no other request.
type Detector struct {
	evidence evidence
	answers  answers
	suspects map[Cause]struct{} // causes lost in a crash and not answered since
}

// NewDetector returns a Detector that knows of no crash.
func NewDetector() *Detector { return &Detector{suspects: map[Cause]struct{}{}} }

// Crashed adds a report of a crash.
func (d *Detector) Crashed(r Crash, now time.Time) {
	d.evidence.add(r, now)
	if len(d.suspects) > maxSuspects {
		clear(d.suspects)
	}
	for _, l := range r.Lost {
		l.Parts = l.Parts[:min(len(l.Parts), maxParts)]
		for _, c := range l.Causes() {
			d.suspects[c] = struct{}{}
		}
	}
}

// Answered adds a request that was answered completely. It returns those of its causes
// that had been lost in a crash since their last answer, which the other entries must
// learn.
func (d *Detector) Answered(c Contents, now time.Time) (cleared []Cause) {
	return d.AnsweredWith(c.Service, c.causes(), now)
}

// AnsweredWith adds an answered request of a service that holds the causes, as Answered does.
func (d *Detector) AnsweredWith(service string, causes []Cause, now time.Time) (cleared []Cause) {
	d.answers.add(service, causes, now)
	for _, c := range causes {
		if _, suspected := d.suspects[c]; suspected {
			delete(d.suspects, c)
			cleared = append(cleared, c)
		}
	}
	return cleared
}

// Crashes returns the number of crashes remembered.
func (d *Detector) Crashes() int { return len(d.evidence.crashes) }

// Suspects returns the number of causes lost in a crash and not answered since.
func (d *Detector) Suspects() int { return len(d.suspects) }

// Find returns the cause on which servers crash, or several that the crashes do not tell
// apart. quarantined reports causes already found, whose crashes need no other. If there
// may be a finding later, Find returns when to ask again.
func (d *Detector) Find(now time.Time, quarantined func(Cause) bool) (found []Finding, again time.Time) {
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
		found = append(found, Finding{Cause: c.cause, Crashes: len(c.crashes), Requests: c.requests[:min(len(c.requests), maxNamed)]})
	}
	return found, time.Time{}
}

// othersAnswered reports whether the service of the crashed servers answers requests without
// the candidate's cause: if not, they may crash on all requests. For a cause that was answered
// before it takes an answer since the first crash.
func (d *Detector) othersAnswered(c *candidate) bool {
	latest := d.answers.latest[c.crashes[0].service]
	if c.answered {
		return latest.After(c.crashes[0].at)
	}
	return !latest.IsZero()
}

// best returns the candidates that lost enough requests and before which none is ordered.
func (d *Detector) best(quarantined func(Cause) bool) []*candidate {
	if len(d.evidence.crashes) < minCrashes {
		return nil
	}
	var best []*candidate
	for _, c := range d.candidates(quarantined) {
		if !c.qualifies() || len(best) > 0 && c.compare(best[0]) > 0 {
			continue
		}
		if len(best) > 0 && c.compare(best[0]) < 0 {
			best = best[:0]
		}
		best = append(best, c)
	}
	slices.SortFunc(best, func(a, b *candidate) int { return a.cause.compare(b.cause) })
	return best
}

func (d *Detector) candidates(quarantined func(Cause) bool) map[Cause]*candidate {
	out := map[Cause]*candidate{}
	for _, c := range d.evidence.crashes {
		if c.has(PromptPart, quarantined) {
			continue
		}
		explained := c.has(WholeRequest, quarantined)
		for cause, s := range c.shares() {
			answered := d.answers.of(cause)
			if !c.at.After(answered) || explained && cause.Kind == WholeRequest {
				continue
			}
			if out[cause] == nil {
				out[cause] = &candidate{cause: cause, answered: !answered.IsZero()}
			}
			out[cause].add(c, s, explained)
		}
	}
	return out
}
