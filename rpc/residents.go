package rpc

import "peridotchute.example/common/wire"

// ResidentsQuery requests the resident artifacts. KnownDigest is the digest of the set
// that the caller has for this incarnation, or 0 if it has none.
type ResidentsQuery struct {
	KnownDigest uint64 `json:"known"`
}

// ResidentsReply describes the resident artifacts. ResidentsDigest is their digest. Added
// and Removed are relative to the set with the digest BaseDigest; if that is 0, Added is
// the whole set.
type ResidentsReply struct {
	ResidentsDigest uint64          `json:"residence"`
	BaseDigest      uint64          `json:"since,omitempty"`
	Added           []wire.Artifact `json:"added,omitempty"`
	Removed         []wire.Artifact `json:"removed,omitempty"`
}

// Apply returns the resident artifacts, given the caller's set and its digest known.
// It does not modify artifacts. It returns nil if the reply is relative to another
// digest.
func (r ResidentsReply) Apply(known uint64, artifacts map[wire.Artifact]bool) map[wire.Artifact]bool {
	if r.BaseDigest != 0 && r.BaseDigest != known {
		return nil
	}
	out := make(map[wire.Artifact]bool, len(artifacts)+len(r.Added))
	if r.BaseDigest != 0 {
		for a := range artifacts {
			out[a] = true
		}
	}
	for _, a := range r.Added {
		out[a] = true
	}
	for _, a := range r.Removed {
		delete(out, a)
	}
	return out
}
