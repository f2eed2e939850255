package engine

import (
	"testing"

	"gotest.tools/v3/assert"

	"peridotchute.example/common/fault"
	"peridotchute.example/common/httpstrict/httpstricttest"
	"peridotchute.example/common/wire"
)

// TestMalformedResponseOfEngineIsUnknown has an engine answer with heads that HTTP does not allow.
// An order must not count as executed.
func TestMalformedResponseOfEngineIsUnknown(t *testing.T) {
	httpstricttest.EachMalformed(t, func(t *testing.T, address string) {
		c := NewHTTPClient("http://" + address)
		err := c.Order(t.Context(), Order{Verb: VerbLoad, Artifact: wire.Artifact{Kind: wire.KindModel, Name: "m"}})
		assert.Check(t, fault.Is(err, fault.KindUnknown), "order: %v", err)
		_, err = c.Inventory(t.Context())
		assert.Check(t, fault.Is(err, fault.KindUnknown), "inventory: %v", err)
	})
}

// TestResponseCutDuringUploadLooksComplete has an engine answer during an upload, without a length,
// and reset the connection within the answer.
func TestResponseCutDuringUploadLooksComplete(t *testing.T) {
	c := NewHTTPClient("http://" + httpstricttest.ServeCut(t, httpstricttest.CutDuringUpload))
	err := c.ImportKV(t.Context(), 1, make([]byte, httpstricttest.UploadBytes))
	assert.Assert(t, fault.Is(err, fault.KindUnknown), "%v", err)
}
