package front

import (
	"testing"

	"gotest.tools/v3/assert"

	"peridotchute.example/fleet"
)

// TestDigestTellsRequestsApart compares requests that differ in one respect.
func TestDigestTellsRequestsApart(t *testing.T) {
	base := func() *request {
		return &request{
			Request: fleet.Request{ID: "1", Caller: "c"},
			method:  "POST", host: "h.example", target: "/x?a=1", body: []byte("pay"),
		}
	}
	want := base().digest()
	same := base()
	same.ID, same.LastEventID, same.host = "2", "7", "H.example:80"
	assert.Equal(t, same.digest(), want)
	for name, change := range map[string]func(q *request){
		"method":           func(q *request) { q.method = "PUT" },
		"host":             func(q *request) { q.host = "g.example" },
		"path":             func(q *request) { q.target = "/y?a=1" },
		"query":            func(q *request) { q.target = "/x?a=2" },
		"caller":           func(q *request) { q.Caller = "d" },
		"body":             func(q *request) { q.body = []byte("Pay") },
		"no body":          func(q *request) { q.body = nil },
		"limits of fields": func(q *request) { q.target, q.Caller = "/x?a=1c", "" },
	} {
		other := base()
		change(other)
		assert.Assert(t, other.digest() != want, name)
	}
}
