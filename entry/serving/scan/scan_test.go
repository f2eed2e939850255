package scan

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestUnchangedDuration(t *testing.T) {
	start := time.Unix(1000, 0)
	s := NewSightings()
	assert.Equal(t, s.Unchanged("k", "1", start), time.Duration(0))
	assert.Equal(t, s.Unchanged("k", "1", start.Add(time.Second)), time.Second)
	assert.Equal(t, s.Unchanged("k", "2", start.Add(2*time.Second)), time.Duration(0), "another version")
	s.Forget(start.Add(time.Minute))
	assert.Equal(t, s.Unchanged("k", "2", start.Add(time.Minute)), 58*time.Second)
	s.Forget(start.Add(time.Minute + trackingTimeout + time.Second))
	assert.Equal(t, len(s.rows), 0)
	s.Unchanged("k", "2", start)
	s.Drop("k")
	assert.Equal(t, len(s.rows), 0)
}

func TestShardsStopsAtFirstFailure(t *testing.T) {
	var seen []string
	failed, err := Shards(256, func(s string) bool { return s != "01" }, func(s string) error {
		seen = append(seen, s)
		if s == "03" {
			return errors.New("no")
		}
		return nil
	})
	assert.Error(t, err, "no")
	assert.Equal(t, failed, "03")
	assert.DeepEqual(t, seen, []string{"00", "02", "03"})
}
