package integration

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"peridotchute.example/common/wire"
	"peridotchute.example/entry"
	"peridotchute.example/integration/cluster"
	"peridotchute.example/side"
	"peridotchute.example/standin/plain"
)

// shortDrain is the longest graceful shutdown of the process that a test stops, in seconds.
const shortDrain = 1

func drainShortly(_ int, s *side.Settings) { s.DrainSeconds = shortDrain }

// TestStopAnswersUnfinishedCompletion stops an entry whose time for a graceful shutdown is
// shorter than a request takes. Its caller must get a whole answer, which does not say that the
// request has not run.
func TestStopAnswersUnfinishedCompletion(t *testing.T) {
	c := cluster.Start(t, cluster.Options{TimeScale: 1, EditEntry: func(_ int, s *entry.Settings) { s.DrainSeconds = shortDrain }})
	waitForSampleModel(t, c.Entry(1))
	done := make(chan response, 1)
	go func() {
		resp, err := post(c.Entry(1), "/v1/completions", completion(cluster.SampleModel, 1_000_000, false))
		if err != nil {
			resp.err = err
		}
		done <- resp
	}()
	waitForBusySide(t, c)
	stopAndAwait(t, c.Entry(1).Process, done)
}

// TestStopAnswersUnfinishedAction does the same with an action, at an entry and at the side
// process that runs it.
func TestStopAnswersUnfinishedAction(t *testing.T) {
	for name, stopped := range map[string]func(*cluster.Cluster) *cluster.Process{
		"entry": func(c *cluster.Cluster) *cluster.Process { return c.Entry(1).Process },
		"side":  func(c *cluster.Cluster) *cluster.Process { return c.Plain(1).Process },
	} {
		t.Run(name, func(t *testing.T) {
			c := cluster.Start(t, cluster.Options{Plain: 1, EditPlain: drainShortly, EditEntry: func(_ int, s *entry.Settings) { s.DrainSeconds = shortDrain }})
			waitForCharge(t, c)
			setBehaviour(t, c.Plain(1), plain.Behaviour{DelayMS: 20_000})
			done := chargeAsync(c.Entry(1), "k", "x")
			waitForRun(t, c, "k")
			stopAndAwait(t, stopped(c), done)
			assert.Equal(t, len(serviceCalls(t, c, "k")), 1)
		})
	}
}

// stopAndAwait stops a process and asserts that a request in progress is answered as one that may
// have run.
func stopAndAwait(t *testing.T, p *cluster.Process, done <-chan response) {
	t.Helper()
	assert.NilError(t, p.Terminate())
	assertMayHaveRun(t, <-done)
	<-p.Exited()
	assert.Equal(t, p.ExitCode(), 0, p.Stderr())
}

// assertMayHaveRun asserts that a response is whole and says that the request may have run.
func assertMayHaveRun(t *testing.T, resp response) {
	t.Helper()
	assert.NilError(t, resp.err)
	assert.Assert(t, resp.StatusCode >= http.StatusInternalServerError, "status %d", resp.StatusCode)
	assert.Assert(t, resp.StatusCode != http.StatusServiceUnavailable)
	assert.Equal(t, resp.outcome(), wire.OutcomeUnknown, resp.body)
}
