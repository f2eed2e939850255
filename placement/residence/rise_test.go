package residence

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestRisingModelReplacesUnrequestedModels raises the demand for one model
// while every server has only the last replica of some model.
func TestRisingModelReplacesUnrequestedModels(t *testing.T) {
	m := newSim(fourModels(), 5*time.Second)
	m.engine.WeightsMB = 100
	for i := range 4 {
		m.start(fmt.Sprintf("s%d", i), shortModelName(i))
	}
	m.rates = map[string]float64{"m0": 22}
	m.run(learningTime + time.Second)
	assert.Equal(t, m.replicas("m0"), 1)
	m.rates["m0"] = 40
	m.run(10 * time.Second)
	assert.Assert(t, m.replicas("m0") >= 2, "%d replicas", m.replicas("m0"))
}

func shortModelName(i int) string { return fmt.Sprintf("m%d", i) }
