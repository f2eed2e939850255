package quarantine

import (
	"cmp"
	"slices"
)

// Kind is what a Cause identifies.
type Kind int

// The kinds of causes.
const (
	PromptPart   Kind = iota // a part that the prompts of different requests share
	WholeRequest             // one request, which clients may send again and again
)

// Cause is what requests have in common on which servers crash.
type Cause struct {
	Kind Kind
	ID   uint64 // of the part, or the digest of the request
}

// Part returns the Cause of a part of prompts.
func Part(id uint64) Cause { return Cause{Kind: PromptPart, ID: id} }

// Request returns the Cause of a request with the digest.
func Request(digest uint64) Cause { return Cause{Kind: WholeRequest, ID: digest} }

// compare orders causes, parts first.
func (c Cause) compare(other Cause) int {
	return cmp.Or(cmp.Compare(c.Kind, other.Kind), cmp.Compare(c.ID, other.ID))
}

// Contents is what a request holds on which servers may crash.
type Contents struct {
	Service string
	Parts   []uint64      // of its prompt, in order
	Digest  func() uint64 // the same for requests that ask for the same; never 0
}

// Has reports whether the request holds the cause.
func (c Contents) Has(cause Cause) bool {
	if cause.Kind == WholeRequest {
		return c.Digest() == cause.ID
	}
	return slices.Contains(c.Parts, cause.ID)
}

// causes returns all that the request holds.
func (c Contents) causes() []Cause { return append(partCauses(c.Parts), Request(c.Digest())) }

// partCauses returns the causes of parts, with room for one more.
func partCauses(parts []uint64) []Cause {
	out := make([]Cause, 0, len(parts)+1)
	for _, p := range parts {
		out = append(out, Part(p))
	}
	return out
}
