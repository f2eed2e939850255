package view

import (
	"testing"

	"gotest.tools/v3/assert"

	"peridotchute.example/common/decisionlog"
	"peridotchute.example/fleet"
)

// TestOlderConfigurationIsIgnored applies versions out of order, in which
// answers of the store and other entries may arrive.
func TestOlderConfigurationIsIgnored(t *testing.T) {
	w := New(nil, nil, nil)
	for _, c := range []struct{ offered, active int64 }{{3, 3}, {2, 3}, {3, 3}, {7, 7}, {5, 7}} {
		w.Apply(&fleet.Config{Version: c.offered}, decisionlog.SourceStore)
		assert.Equal(t, w.Current().Config.Version, c.active)
	}
}
