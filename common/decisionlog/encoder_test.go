package decisionlog

import (
	"encoding/json"
	"errors"
	"math"
	"strings"
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

// TestErrorFillsLog writes errors that quote a long input.
func TestErrorFillsLog(t *testing.T) {
	var e encoder
	long := errors.New("step: " + strings.Repeat("é", 30_000) + ": kind")
	for _, write := range []func(){func() { e.errorIfSet(long) }, func() { e.any("error", long) }} {
		e.begin()
		write()
		var got struct{ Error string }
		line := e.end()
		assert.Assert(t, len(line) <= 2*maxErrorBytes, "%d bytes", len(line))
		assert.NilError(t, json.Unmarshal(line, &got))
		assert.Assert(t, strings.HasPrefix(got.Error, "step: é") && strings.HasSuffix(got.Error, "é: kind"), got.Error)
	}
	e.begin()
	e.any("error", errors.New("short"))
	assert.Equal(t, string(e.end()), `{"error":"short"}`+"\n")
}
