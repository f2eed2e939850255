package residence

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"peridotchute.example/common/wire"
	"peridotchute.example/engine"
	"peridotchute.example/rpc"
)

func artifact(i int) wire.Artifact {
	return wire.Artifact{Kind: wire.KindModel, Name: fmt.Sprint(i), Version: "1"}
}

// TestDifferencesYieldTheResidents changes the residents at random and checks that
// entries which query at random times compute the current set from the replies.
func TestDifferencesYieldTheResidents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &History{}
		type entry struct {
			known     uint64
			artifacts map[wire.Artifact]bool
		}
		entries := [3]entry{}
		for range 60 {
			bits := rapid.Uint64Range(1, 255).Draw(t, "residents")
			var residents []engine.Resident
			want := map[wire.Artifact]bool{}
			for i := range 8 {
				if bits&(1<<i) != 0 {
					residents = append(residents, engine.Resident{Artifact: artifact(i)})
					want[artifact(i)] = true
				}
			}
			e := &entries[rapid.IntRange(0, 2).Draw(t, "entry")]
			reply := h.Answer(rpc.ResidenceQuery{Known: e.known}, bits, residents)
			e.artifacts = reply.Apply(e.known, e.artifacts)
			e.known = reply.Residence
			assert.DeepEqual(t, e.artifacts, want)
		}
		assert.Assert(t, len(h.states) <= maxStates)
	})
}

func TestReplyHasOnlyTheDifference(t *testing.T) {
	h := &History{}
	first := []engine.Resident{{Artifact: artifact(1)}, {Artifact: artifact(2)}}
	second := []engine.Resident{{Artifact: artifact(2)}, {Artifact: artifact(3)}}
	all := h.Answer(rpc.ResidenceQuery{}, 10, first)
	assert.Equal(t, all.Since, uint64(0))
	assert.Equal(t, len(all.Added), 2)
	diff := h.Answer(rpc.ResidenceQuery{Known: 10}, 20, second)
	assert.DeepEqual(t, diff, rpc.ResidenceReply{
		Residence: 20, Since: 10, Added: []wire.Artifact{artifact(3)}, Removed: []wire.Artifact{artifact(1)},
	})
}
