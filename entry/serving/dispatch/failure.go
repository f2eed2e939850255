package dispatch

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"peridotchute.example/common/wire"
	"peridotchute.example/entry/serving/forward"
)

// FailureOf reads an error answer of a side process or backend server.
func FailureOf(a forward.Response) *wire.Failure {
	f := wire.NewFailure(a.Status, "", codeUpstream, "the backend server answered %d %s", a.Status, http.StatusText(a.Status))
	var body wire.ErrorBody
	if json.Unmarshal(a.Body, &body) == nil && body.Error.Message != "" {
		f.Detail = body.Error
	}
	f.RetryAfter = unavailableRetry
	if seconds, err := strconv.Atoi(a.RetryAfter); err == nil {
		f.RetryAfter = time.Duration(seconds) * time.Second
	}
	return f
}
