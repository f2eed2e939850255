package procstat

import (
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestUsageOfThisProcess(t *testing.T) {
	before, err := Read(os.Getpid(), "")
	assert.NilError(t, err)
	assert.Assert(t, before.ResidentBytes > 0)
	after := before
	after.At = before.At.Add(2 * time.Second)
	after.CPU += time.Second
	after.Writes += 7
	usage := after.Since(before)
	assert.Equal(t, usage.Cores(), 0.5)
	assert.Equal(t, usage.Writes, uint64(7))
}

func TestUnknownProcessIsAnError(t *testing.T) {
	_, err := Read(-1, "")
	assert.ErrorContains(t, err, "process -1")
}
