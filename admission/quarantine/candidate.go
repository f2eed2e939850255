package quarantine

import (
	"cmp"
	"slices"
)

// candidate is a cause that was lost in crashes and not answered since.
type candidate struct {
	cause     Cause
	crashes   []*crash
	explained int       // of crashes: those that a quarantined request explains
	requests  []string  // distinct client attempts lost with the cause
	variants  []variant // distinct requests lost with the cause
	answered  bool      // an answered request held the cause before
	inner     bool      // some prompt goes on after the part
	depth     int       // greatest position of the part in a prompt
	triggers  int       // crashes in which an answer to a request with the cause had not begun
}

// add adds a crash, which a quarantined request may explain.
func (c *candidate) add(at *crash, s *share, explained bool) {
	c.depth, c.inner = max(c.depth, s.depth), c.inner || s.inner
	counts := c.counts(s)
	c.requests = addDistinct(c.requests, s.requests...)
	c.variants = addDistinct(c.variants, s.variants...)
	if s.trigger {
		c.triggers++
	}
	if !counts {
		return
	}
	c.crashes = append(c.crashes, at)
	if explained {
		c.explained++
	}
}

// counts reports whether a crash counts in addition to those before: it lost a request that
// was sent after the latest of them. Servers may end together for another reason, and
// then lose different requests with a part; but they hardly lose several client attempts of
// one request that was never answered.
func (c *candidate) counts(s *share) bool {
	n := len(c.crashes)
	if n == 0 || s.sent.After(c.crashes[n-1].at) {
		return true
	}
	isNew := func(id string) bool { return !slices.Contains(c.requests, id) }
	return c.cause.Kind == WholeRequest && !c.answered && slices.ContainsFunc(s.requests, isNew)
}

// qualifies reports whether enough crashes and requests were lost with the cause.
func (c *candidate) qualifies() bool {
	if len(c.crashes) < minCrashes {
		return false
	}
	if c.cause.Kind == WholeRequest {
		return len(c.requests) >= minRequests
	}
	return len(c.variants) >= minRequests && (c.explained == 0 || len(c.crashes)-c.explained >= minUnexplained)
}

// weight is the number of crashes. A request that is in as many crashes as one of its parts,
// or one fewer, is the cause: blaming the part as well would keep back other requests.
func (c *candidate) weight() int {
	if c.cause.Kind == WholeRequest {
		return len(c.crashes) + minUnexplained - 1
	}
	return len(c.crashes)
}

// isPopular reports whether the candidate is a request that was answered before: clients may
// send it so often that many crashes lose it.
func (c *candidate) isPopular() bool { return c.cause.Kind == WholeRequest && c.answered }

// compare orders candidates by how likely they are the cause: popular requests last, and
// those with the most crashes first. Of several with as many, first a request, then a part
// that no answered request had, then one whose answers had not begun, then one that several
// prompts can share, then the one furthest in the prompt, which fewest do.
func (c *candidate) compare(other *candidate) int {
	return cmp.Or(
		falseFirst(c.isPopular(), other.isPopular()),
		cmp.Compare(other.weight(), c.weight()),
		cmp.Compare(other.cause.Kind, c.cause.Kind),
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
