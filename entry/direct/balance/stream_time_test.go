package balance

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotchute.example/fleet"
)

// TestRefusedThoughStreamsEndInTime asks for a long answer with less time left than the
// initial estimate of its length, after many streams took less than that.
func TestRefusedThoughStreamsEndInTime(t *testing.T) {
	b, _ := newTestBalancer(t, map[string][]fleet.Resident{"s1": {{Model: "m"}}}, "s1")
	long := func() Query {
		q := query("")
		q.Request.TokensOut, q.Request.LengthHint = 2000, 1000
		q.Deadline = time.Now().Add(4 * time.Second)
		return q
	}
	_, refused := b.Admit(t.Context(), long())
	assert.Assert(t, refused != nil)
	assert.Equal(t, refused.Reason, "the time left does not suffice")

	go b.Run(t.Context())
	for range 40 {
		q := query("")
		q.Request.TokensIn = 10 // too few for the server to seem fast
		q.Request.TokensOut, q.Request.LengthHint = 200, 100
		ticket := admitWhile(b, q, func() bool { return false })
		ticket.Event()
		ticket.Succeeded()
		ticket.End()
	}
	ticket, refused := b.Admit(t.Context(), long())
	assert.Assert(t, refused == nil, "%+v", refused)
	ticket.End()
}
