package integration

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"peridotchute.example/common/wire"
	"peridotchute.example/integration/cluster"
	"peridotchute.example/standin/plain"
)

// TestLongResponseSurvivesSideProcessCrash repeats an action after the side
// process that ran it was killed. The response is too long for a table row.
func TestLongResponseSurvivesSideProcessCrash(t *testing.T) {
	t.Parallel()
	c, _ := actionCluster(t, 2, 1)
	setBehaviour(t, c.Plain(1), plain.Behaviour{Pieces: 300, PieceBytes: 1000})
	first := charge(t, c.Entry(1), "long", "x")
	assert.Equal(t, first.outcome(), wire.OutcomeCompleted, first.body)
	assert.Equal(t, len(first.body), 300_000)
	assert.NilError(t, c.Plain(1).Kill())
	cluster.Eventually(t, func() error {
		again := charge(t, c.Entry(2), "long", "x")
		if again.body != first.body {
			return errors.New(again.body)
		}
		assert.Equal(t, again.outcome(), wire.OutcomeCompleted)
		return nil
	})
	assert.Equal(t, len(serviceCalls(t, c, "long")), 1)
}
