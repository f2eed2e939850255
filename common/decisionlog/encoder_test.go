package decisionlog

import (
	"encoding/json"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestEncoderWritesJSON(t *testing.T) {
	var e encoder
	e.begin()
	e.text("plain", "a b")
	e.text("escaped", "\"\\\n\x00é\xff")
	e.count("count", -3)
	e.boolean("yes", true)
	e.number("tenth", 1.26)
	e.number("infinite", math.Inf(1))
	e.duration("ms", 1500*time.Microsecond)
	e.counts("by", map[string]int64{"a": 1})
	e.textIfSet("absent", "")
	e.countIfSet("absent", 0)
	e.durationIfSet("absent", 0)
	e.errorIfSet(nil)
	got := map[string]any{}
	assert.NilError(t, json.Unmarshal(e.end(), &got))
	assert.DeepEqual(t, got, map[string]any{
		"plain": "a b", "escaped": "\"\\\n\x00é\ufffd", "count": -3.0, "yes": true, "tenth": 1.3,
		"infinite": nil, "ms": 1.5, "by": map[string]any{"a": 1.0},
	})
}
