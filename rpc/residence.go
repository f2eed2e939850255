package rpc

import "peridotchute.example/common/wire"

// ResidenceQuery requests the resident artifacts. Known is the digest of the set
// that the caller has for this incarnation, or 0 if it has none.
type ResidenceQuery struct {
	Known uint64 `json:"known"`
}

// ResidenceReply describes the resident artifacts. Residence is their digest. Added
// and Removed are relative to the set with the digest Since; if that is 0, Added is
// the whole set.
type ResidenceReply struct {
	Residence uint64          `json:"residence"`
	Since     uint64          `json:"since,omitempty"`
	Added     []wire.Artifact `json:"added,omitempty"`
	Removed   []wire.Artifact `json:"removed,omitempty"`
}

// Apply returns the resident artifacts, given the caller's set and its digest known.
// It does not modify artifacts. It returns nil if the reply is relative to another
// digest.
func (r ResidenceReply) Apply(known uint64, artifacts map[wire.Artifact]bool) map[wire.Artifact]bool {
	if r.Since != 0 && r.Since != known {
		return nil
	}
	out := make(map[wire.Artifact]bool, len(artifacts)+len(r.Added))
	if r.Since != 0 {
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
