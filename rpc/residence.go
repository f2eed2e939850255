package rpc

import "peridotchute.example/common/wire"

// ResidenceQuery asks what is resident. Known is the digest of what the asker
// knows of this incarnation, 0 for nothing.
type ResidenceQuery struct {
	Known uint64 `json:"known"`
}

// ResidenceReply tells what is resident. Since is the digest that Added and
// Removed start from; with 0, Added is everything.
type ResidenceReply struct {
	Residence uint64          `json:"residence"`
	Since     uint64          `json:"since,omitempty"`
	Added     []wire.Artifact `json:"added,omitempty"`
	Removed   []wire.Artifact `json:"removed,omitempty"`
}

// Apply returns what is resident, given what was known under the digest. The
// set that was known is left as it is. A reply that starts from another digest
// gives nil.
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
