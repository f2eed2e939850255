package metrics

import (
	"fmt"
	"io"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil/promlint"
	"gotest.tools/v3/assert"

	"peridotchute.example/common/decisionlog"
	"peridotchute.example/common/event"
)

// scrape returns the metrics as text.
func scrape(t *testing.T, m *Metrics) string {
	t.Helper()
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	assert.Equal(t, w.Code, 200)
	body, err := io.ReadAll(w.Result().Body)
	assert.NilError(t, err)
	return string(body)
}

// newFilledMetrics returns metrics in which every metric has a value.
func newFilledMetrics() *Metrics {
	m := New()
	m.RegisterSources(Sources{
		Log:           func() decisionlog.Counts { return decisionlog.Counts{Written: 7, LeftOut: 3} },
		Waiting:       func() int { return 2 },
		InProgress:    func() int { return 5 },
		BudgetLeft:    func() map[string]float64 { return map[string]float64{"llm": 4.5} },
		Servers:       func() map[ServerState]int { return map[ServerState]int{{"llm", "ready"}: 17} },
		ConfigVersion: func() int64 { return 412 },
		ConfigAge:     func() time.Duration { return 1500 * time.Millisecond },
		ConfigDoubt:   func() time.Duration { return 2500 * time.Millisecond },
		ServersAge:    func() time.Duration { return 400 * time.Millisecond },
		LeaseHeld:     func() bool { return true },
		ServerCalls:   func() map[string]int64 { return map[string]int64{"report": 9} },
	})
	for _, r := range []decisionlog.Record{
		decisionlog.Finished{Service: "llm", Outcome: decisionlog.OutcomeLate, FirstByte: time.Second, Total: 2 * time.Second, Waited: time.Millisecond, LongestPause: 300 * time.Millisecond},
		decisionlog.Refused{Service: "llm", Reason: decisionlog.RefusedModelNotLoaded},
		decisionlog.Refused{Reason: decisionlog.RefusedNoRoute},
		decisionlog.AttemptFailed{Kind: decisionlog.FailureReset},
		decisionlog.ServerSilent{Server: "i-1", Silent: 2 * time.Second},
		decisionlog.StreamResumed{LastEventID: "4"},
		decisionlog.OriginSought{Origin: "unknown"},
		decisionlog.Retried{Resumed: true},
		decisionlog.RetryWithheld{Reason: decisionlog.WithheldBudget},
		decisionlog.ServerChanged{Change: decisionlog.ServerLeft},
		decisionlog.StoreLost{},
	} {
		m.Observe(r)
	}
	log := decisionlog.New(decisionlog.Options{Out: io.Discard, Observe: m.Observe})
	event.Log(log.Logger(), event.OrderIssued)
	return m
}

func TestRecordsAndSourcesAreExported(t *testing.T) {
	text := scrape(t, newFilledMetrics())
	for _, want := range []string{
		`peridotchute_requests_total{outcome="late",service="llm"} 1`,
		`peridotchute_requests_total{outcome="refused",service="llm"} 1`,
		`peridotchute_requests_refused_total{reason="no server holds the model",service="llm"} 1`,
		`peridotchute_requests_refused_total{reason="no route",service="none"} 1`,
		`peridotchute_request_first_byte_seconds_bucket{service="llm",le="0.8"} 0`,
		`peridotchute_request_first_byte_seconds_bucket{service="llm",le="1.5"} 1`,
		`peridotchute_request_wait_seconds_count{service="llm"} 2`,
		`peridotchute_stream_longest_pause_seconds_sum{service="llm"} 0.3`,
		`peridotchute_request_duration_seconds_sum{service="llm"} 2`,
		`peridotchute_attempts_failed_total{kind="reset",not_run="false"} 1`,
		`peridotchute_attempts_silent_total 1`,
		`peridotchute_streams_resumed_by_client_total 1`,
		`peridotchute_stream_origins_sought_total{origin="unknown"} 1`,
		`peridotchute_retries_total{kind="resumed"} 1`,
		`peridotchute_retries_withheld_total{reason="retry budget spent"} 1`,
		`peridotchute_events_total{event="server left"} 1`,
		`peridotchute_events_total{event="store lost"} 1`,
		`peridotchute_events_total{event="order given"} 1`,
		`peridotchute_log_lines_written_total 7`,
		`peridotchute_log_lines_left_out_total 3`,
		`peridotchute_requests_waiting 2`,
		`peridotchute_requests_in_progress 5`,
		`peridotchute_retry_budget_left{service="llm"} 4.5`,
		`peridotchute_servers{service="llm",state="ready"} 17`,
		`peridotchute_config_version 412`,
		`peridotchute_config_age_seconds 1.5`,
		`peridotchute_config_wait_doubted_seconds 2.5`,
		`peridotchute_servers_age_seconds 0.4`,
		`peridotchute_lease_held 1`,
		`peridotchute_server_calls_total{outcome="report"} 9`,
	} {
		assert.Assert(t, strings.Contains(text, want+"\n"), "missing %s", want)
	}
}

func TestNamesAndUnitsPassPromlint(t *testing.T) {
	problems, err := promlint.New(strings.NewReader(scrape(t, newFilledMetrics()))).Lint()
	assert.NilError(t, err)
	assert.Equal(t, len(problems), 0, "%v", problems)
}

func TestServiceLabelsAreBounded(t *testing.T) {
	m := New()
	for i := range 3 * maxServices {
		m.Observe(decisionlog.Finished{Service: fmt.Sprintf("s%d", i)})
	}
	text := scrape(t, m)
	assert.Equal(t, strings.Count(text, "\nperidotchute_requests_total{"), maxServices+1)
	assert.Assert(t, strings.Contains(text, fmt.Sprintf(`peridotchute_requests_total{outcome="served",service="other"} %d`, 2*maxServices)))
}

// A process may leave callbacks of Sources nil.
func TestAbsentSourcesAreLeftOut(t *testing.T) {
	m := New()
	m.RegisterSources(Sources{})
	assert.Assert(t, !strings.Contains(scrape(t, m), "peridotchute_requests_waiting"))
}

func BenchmarkObserve(b *testing.B) {
	m := New()
	r := decisionlog.Finished{Service: "llm", FirstByte: time.Second, Total: time.Second}
	b.ReportAllocs()
	for b.Loop() {
		m.Observe(r)
	}
}
