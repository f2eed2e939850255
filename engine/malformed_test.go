package engine

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"peridotchute.example/common/fault"
	"peridotchute.example/common/httpstrict/httpstricttest"
	"peridotchute.example/common/wire"
)

// TestMalformedResponseOfEngineIsUnknown has an engine answer with heads that HTTP does not allow.
// An order must not count as executed.
func TestMalformedResponseOfEngineIsUnknown(t *testing.T) {
	for name, response := range httpstricttest.Malformed {
		c := NewHTTPClient("http://" + httpstricttest.Serve(t, response))
		for call, do := range map[string]func(context.Context) error{
			"order": func(ctx context.Context) error {
				return c.Order(ctx, Order{Verb: VerbLoad, Artifact: wire.Artifact{Kind: wire.KindModel, Name: "m"}})
			},
			"inventory": func(ctx context.Context) error {
				_, err := c.Inventory(ctx)
				return err
			},
		} {
			t.Run(name+" "+call, func(t *testing.T) {
				err := do(t.Context())
				assert.Assert(t, fault.Is(err, fault.KindUnknown), "%v", err)
			})
		}
	}
}

// TestResponseCutDuringUploadLooksComplete has an engine answer during an upload, without a length,
// and reset the connection within the answer.
func TestResponseCutDuringUploadLooksComplete(t *testing.T) {
	c := NewHTTPClient("http://" + httpstricttest.ServeCut(t, httpstricttest.CutDuringUpload))
	err := c.ImportKV(t.Context(), 1, make([]byte, httpstricttest.UploadBytes))
	assert.Assert(t, fault.Is(err, fault.KindUnknown), "%v", err)
}
