package forward

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotchute.example/common/fault"
	"peridotchute.example/common/httpstrict/httpstricttest"
	"peridotchute.example/common/wire"
)

// TestMalformedResponseOfSideProcessIsUnknown has a side process answer with heads that HTTP does
// not allow. Whether the request has run must count as unknown.
func TestMalformedResponseOfSideProcessIsUnknown(t *testing.T) {
	httpstricttest.EachMalformed(t, func(t *testing.T, address string) {
		for kind, claim := range map[string]*wire.Claim{"idempotent": nil, "action": {}} {
			call := Call{Method: http.MethodPost, Path: "/x", Body: []byte("{}"), Deadline: time.Now().Add(time.Minute), Claim: claim}
			resp, err := New("key", nil).Send(t.Context(), address, call)
			if err == nil {
				_ = resp.Body.Close()
			}
			assert.Check(t, fault.Is(err, fault.KindUnknown), "%s: %v", kind, err)
		}
	})
}

// TestResponseCutDuringUploadLooksComplete has a side process answer during an upload, without a
// length, and reset the connection within the answer.
func TestResponseCutDuringUploadLooksComplete(t *testing.T) {
	address := httpstricttest.ServeCut(t, httpstricttest.CutDuringUpload)
	for kind, claim := range map[string]*wire.Claim{"idempotent": nil, "action": {}} {
		t.Run(kind, func(t *testing.T) {
			body := make([]byte, httpstricttest.UploadBytes)
			call := Call{Method: http.MethodPost, Path: "/x", Body: body, Deadline: time.Now().Add(time.Minute), Claim: claim}
			resp, err := New("key", nil).Send(t.Context(), address, call)
			if err == nil {
				_, err = ReadResponse(resp, address)
			}
			assert.Assert(t, fault.Is(err, fault.KindUnknown), "%v", err)
		})
	}
}
