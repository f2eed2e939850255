package integration

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"peridotchute.example/common/wire"
	"peridotchute.example/integration/cluster"
	"peridotchute.example/standin/faults"
	"peridotchute.example/standin/plain"
)

// later asks for work that may be answered later.
func later(t *testing.T, e *cluster.Entry, path, key, body string) answer {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, e.URL()+path, strings.NewReader(body))
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer "+cluster.SampleKey)
	req.Header.Set("Prefer", "respond-async, wait=1")
	if key != "" {
		req.Header.Set(wire.HeaderIdempotency, key)
	}
	return fetch(t, req)
}

func fetch(t *testing.T, req *http.Request) answer {
	t.Helper()
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return answer{Response: resp, body: string(raw)}
}

// jobResult waits for the end of a job.
func jobResult(t *testing.T, e *cluster.Entry, location string) answer {
	t.Helper()
	var a answer
	cluster.Eventually(t, func() error {
		req, err := http.NewRequest(http.MethodGet, e.URL()+location, nil)
		assert.NilError(t, err)
		req.Header.Set("Authorization", "Bearer "+cluster.SampleKey)
		a = fetch(t, req)
		if a.StatusCode == http.StatusAccepted || a.StatusCode == http.StatusServiceUnavailable {
			return fmt.Errorf("%d %s", a.StatusCode, a.body)
		}
		return nil
	})
	return a
}

// callsTo counts the calls that the services ran on a path.
func callsTo(t *testing.T, c *cluster.Cluster, path string) int {
	t.Helper()
	n := 0
	for _, call := range calls(t, c, "") {
		if call.Path == path {
			n++
		}
	}
	return n
}

func TestJobIsFetchedByLocation(t *testing.T) {
	c := cluster.Start(t, cluster.Options{Entries: 2, Plain: 1})
	charged(t, c)
	accepted := later(t, c.Entry(1), chargePath, "k", "x")
	assert.Equal(t, accepted.StatusCode, http.StatusAccepted, accepted.body)
	again := later(t, c.Entry(2), chargePath, "k", "x")
	assert.Equal(t, again.Header.Get("Location"), accepted.Header.Get("Location"))
	a := jobResult(t, c.Entry(2), accepted.Header.Get("Location"))
	assert.Equal(t, a.StatusCode, http.StatusOK, a.body)
	assert.Equal(t, a.outcome(), wire.OutcomeCompleted)
	other := later(t, c.Entry(1), chargePath, "k", "y")
	assert.Equal(t, other.StatusCode, http.StatusUnprocessableEntity)

	assert.NilError(t, c.Fault(c.StandIn.Settings.TableAddress, faults.Settings{LoseNext: 1, Match: "PutItem"}))
	lost := later(t, c.Entry(1), slotsPath, "", "x")
	assert.Equal(t, lost.StatusCode, http.StatusAccepted, lost.body)
	assert.Equal(t, jobResult(t, c.Entry(1), lost.Header.Get("Location")).StatusCode, http.StatusOK)

	assert.NilError(t, c.StoreDown(true))
	refused := later(t, c.Entry(1), chargePath, "", "x")
	assert.Equal(t, refused.StatusCode, http.StatusServiceUnavailable)
	assert.Assert(t, refused.Header.Get("Retry-After") != "")
	assert.Assert(t, refused.Header.Get("Location") == "")
}

// TestJobOutlivesItsEntry kills the entry that accepted jobs while they run.
func TestJobOutlivesItsEntry(t *testing.T) {
	t.Parallel()
	c := cluster.Start(t, cluster.Options{Entries: 2, Plain: 1})
	charged(t, c)
	charges := callsTo(t, c, "/charge")
	behave(t, c.Plain(1), plain.Behaviour{DelayMS: 2000})
	action := later(t, c.Entry(1), chargePath, "k", "x")
	briefing := later(t, c.Entry(1), slotsPath, "", "x")
	cluster.Eventually(t, func() error {
		if callsTo(t, c, "/charge") != charges+1 || callsTo(t, c, "/slots") != 1 {
			return fmt.Errorf("the jobs do not run yet")
		}
		return nil
	})
	assert.NilError(t, c.Entry(1).Kill())
	for _, accepted := range []answer{action, briefing} {
		assert.Equal(t, accepted.StatusCode, http.StatusAccepted, accepted.body)
		a := jobResult(t, c.Entry(2), accepted.Header.Get("Location"))
		assert.Equal(t, a.StatusCode, http.StatusOK, a.body)
		assert.Equal(t, a.outcome(), wire.OutcomeCompleted)
	}
	assert.Equal(t, callsTo(t, c, "/charge"), charges+1, "the charge ran again")
	assert.Equal(t, callsTo(t, c, "/slots"), 2)
}
