package view

import (
	"testing"

	"gotest.tools/v3/assert"

	"peridotchute.example/fleet"
)

// TestAnOlderConfigurationIsNotTakenBack offers versions out of order, as the
// store's answers and other entries may.
func TestAnOlderConfigurationIsNotTakenBack(t *testing.T) {
	w := New(nil, nil, nil)
	for _, c := range []struct{ offered, inForce int64 }{{3, 3}, {2, 3}, {3, 3}, {7, 7}, {5, 7}} {
		w.Apply(&fleet.Config{Version: c.offered})
		assert.Equal(t, w.Current().Config.Version, c.inForce)
	}
}
