package integration

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotchute.example/cmd/peridotchute-load/faults"
)

// TestShortSoak sends actions under seeded random faults for 15 seconds. The
// command peridotchute-load faults does the same for longer.
func TestShortSoak(t *testing.T) {
	t.Parallel()
	o := faults.Options{Seed: 1, For: 15 * time.Second, Entries: 3, Plain: 3, Workers: 8}
	tally, err := faults.Run(context.Background(), o, t.Output())
	assert.NilError(t, err)
	t.Logf("%+v", tally)
	assert.Equal(t, tally.Broken, faults.Broken{})
	assert.Assert(t, tally.RunOnce > 0)
}
