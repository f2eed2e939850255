package front

import (
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotchute.example/common/decisionlog"
	"peridotchute.example/fleet"
)

// finished returns how the log says that a request ended of which record recorded the end.
func finished(t *testing.T, recordEnd func(r *record)) decisionlog.Finished {
	t.Helper()
	var ends []decisionlog.Finished
	log := decisionlog.New(decisionlog.Options{Out: io.Discard, Observe: func(r decisionlog.Record) {
		if end, ok := r.(decisionlog.Finished); ok {
			ends = append(ends, end)
		}
	}})
	req := &request{Request: fleet.Request{ID: "1"}, arrived: time.Now(), route: &fleet.Route{Name: "r"}, service: testService}
	r := newRecord(log, req, &fleet.View{Config: &fleet.Config{}})
	recordEnd(r)
	r.close()
	assert.Equal(t, len(ends), 1)
	return ends[0]
}

// TestPanickedRequestIsLoggedAsServed ends the handling of a request without an end, as a panic
// does.
func TestPanickedRequestIsLoggedAsServed(t *testing.T) {
	end := finished(t, func(*record) {})
	assert.Equal(t, end.Outcome, decisionlog.OutcomeCut)
	assert.Equal(t, end.Reason, unfinishedReason)
}

func TestServedRequestHasNoReason(t *testing.T) {
	end := finished(t, func(r *record) { r.finishServed(http.StatusOK, 0) })
	assert.Equal(t, end.Outcome, decisionlog.OutcomeServed)
	assert.Equal(t, end.Reason, "")
}
