// Package residents answers queries of entries for the artifacts that an engine
// has loaded, with the difference from the set that the entry already knows.
package residents

import (
	"slices"
	"sync"

	"peridotchute.example/common/wire"
	"peridotchute.example/engine"
	"peridotchute.example/rpc"
)

// maxStates is the maximum number of sets that a History remembers.
const maxStates = 16

// History remembers the most recent sets that were sent. It is safe for concurrent
// use.
type History struct {
	mu     sync.Mutex
	states []snapshot // newest last
}

// snapshot is a set of loaded artifacts with its digest.
type snapshot struct {
	digest    uint64
	artifacts []wire.Artifact
}

// Answer returns the difference between the set that the query names and
// residents, whose digest is given. If the named set is not remembered, the reply
// has all residents.
func (h *History) Answer(q rpc.ResidentsQuery, digest uint64, residents []engine.Resident) rpc.ResidentsReply {
	artifacts := make([]wire.Artifact, 0, len(residents))
	for _, r := range residents {
		artifacts = append(artifacts, r.Artifact)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	reply := rpc.ResidentsReply{ResidentsDigest: digest, Added: artifacts}
	if known, ok := h.find(q.KnownDigest); ok {
		reply.BaseDigest = q.KnownDigest
		reply.Added = difference(artifacts, known)
		reply.Removed = difference(known, artifacts)
	}
	if _, ok := h.find(digest); !ok {
		h.states = append(h.states, snapshot{digest: digest, artifacts: artifacts})
		h.states = h.states[max(0, len(h.states)-maxStates):]
	}
	return reply
}

func (h *History) find(digest uint64) ([]wire.Artifact, bool) {
	for _, s := range h.states {
		if digest != 0 && s.digest == digest {
			return s.artifacts, true
		}
	}
	return nil, false
}

// difference returns the elements of a that are not in b.
func difference(a, b []wire.Artifact) []wire.Artifact {
	var out []wire.Artifact
	for _, artifact := range a {
		if !slices.Contains(b, artifact) {
			out = append(out, artifact)
		}
	}
	return out
}
