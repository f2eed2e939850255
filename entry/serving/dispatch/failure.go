package dispatch

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"peridotchute.example/common/wire"
	"peridotchute.example/entry/serving/forward"
)

// FailureOf converts an error response of a side process or backend server into a
// failure. Its outcome is left empty.
func FailureOf(resp forward.Response) *wire.Failure {
	f := wire.NewFailure(resp.Status, "", codeUpstream, "the backend server answered %d %s", resp.Status, http.StatusText(resp.Status))
	var body wire.ErrorBody
	if json.Unmarshal(resp.Body, &body) == nil && body.Error.Message != "" {
		f.Detail = body.Error
	}
	f.RetryAfter = retryAfterUnavailable
	if seconds, err := strconv.Atoi(resp.RetryAfter); err == nil {
		f.RetryAfter = time.Duration(seconds) * time.Second
	}
	return f
}
