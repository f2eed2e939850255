// Package residence tells entries what is resident before a side process, as
// the difference from what each of them knows.
package residence

import (
	"slices"
	"sync"

	"peridotchute.example/common/wire"
	"peridotchute.example/engine"
	"peridotchute.example/rpc"
)

// kept bounds the number of earlier residences that differences can start from.
const kept = 16

// History remembers the residences that were told lately.
type History struct {
	mu   sync.Mutex
	told []state // the latest last
}

// state is what was resident at one time.
type state struct {
	digest    uint64
	artifacts []wire.Artifact
}

// Answer tells the difference from what the query knows to the residents, whose
// digest is given. Everything is told when the known residence is forgotten.
func (h *History) Answer(q rpc.ResidenceQuery, digest uint64, residents []engine.Resident) rpc.ResidenceReply {
	now := make([]wire.Artifact, 0, len(residents))
	for _, r := range residents {
		now = append(now, r.Artifact)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	reply := rpc.ResidenceReply{Residence: digest, Added: now}
	if before, ok := h.find(q.Known); ok {
		reply.Since = q.Known
		reply.Added = without(now, before)
		reply.Removed = without(before, now)
	}
	if _, ok := h.find(digest); !ok {
		h.told = append(h.told, state{digest: digest, artifacts: now})
		h.told = h.told[max(0, len(h.told)-kept):]
	}
	return reply
}

func (h *History) find(digest uint64) ([]wire.Artifact, bool) {
	for _, s := range h.told {
		if digest != 0 && s.digest == digest {
			return s.artifacts, true
		}
	}
	return nil, false
}

// without returns the elements of a that are not in b.
func without(a, b []wire.Artifact) []wire.Artifact {
	var out []wire.Artifact
	for _, artifact := range a {
		if !slices.Contains(b, artifact) {
			out = append(out, artifact)
		}
	}
	return out
}
