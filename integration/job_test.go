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

// postAsync posts a request that may be accepted as an asynchronous job.
func postAsync(t *testing.T, e *cluster.Entry, path, key, body string) response {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, e.URL()+path, strings.NewReader(body))
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer "+cluster.SampleKey)
	req.Header.Set("Prefer", "respond-async, wait=1")
	if key != "" {
		req.Header.Set(wire.HeaderIdempotency, key)
	}
	return doRequest(t, req)
}

func doRequest(t *testing.T, req *http.Request) response {
	t.Helper()
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return response{Response: resp, body: string(raw)}
}

// waitForJob polls a job until it has ended, and returns its response.
func waitForJob(t *testing.T, e *cluster.Entry, location string) response {
	t.Helper()
	var resp response
	cluster.Eventually(t, func() error {
		req, err := http.NewRequest(http.MethodGet, e.URL()+location, nil)
		assert.NilError(t, err)
		req.Header.Set("Authorization", "Bearer "+cluster.SampleKey)
		resp = doRequest(t, req)
		if resp.StatusCode == http.StatusAccepted || resp.StatusCode == http.StatusServiceUnavailable {
			return fmt.Errorf("%d %s", resp.StatusCode, resp.body)
		}
		return nil
	})
	return resp
}

// countCallsTo counts the calls that the services ran on a path.
func countCallsTo(t *testing.T, c *cluster.Cluster, path string) int {
	t.Helper()
	n := 0
	for _, call := range serviceCalls(t, c, "") {
		if call.Path == path {
			n++
		}
	}
	return n
}

func TestJobFetchedByLocation(t *testing.T) {
	c := cluster.Start(t, cluster.Options{Entries: 2, Plain: 1})
	waitForCharge(t, c)
	accepted := postAsync(t, c.Entry(1), chargePath, "k", "x")
	assert.Equal(t, accepted.StatusCode, http.StatusAccepted, accepted.body)
	again := postAsync(t, c.Entry(2), chargePath, "k", "x")
	assert.Equal(t, again.Header.Get("Location"), accepted.Header.Get("Location"))
	resp := waitForJob(t, c.Entry(2), accepted.Header.Get("Location"))
	assert.Equal(t, resp.StatusCode, http.StatusOK, resp.body)
	assert.Equal(t, resp.outcome(), wire.OutcomeCompleted)
	other := postAsync(t, c.Entry(1), chargePath, "k", "y")
	assert.Equal(t, other.StatusCode, http.StatusUnprocessableEntity)

	assert.NilError(t, c.Fault(c.StandIn.Settings.TableAddress, faults.Settings{LoseNext: 1, Match: "PutItem"}))
	lost := postAsync(t, c.Entry(1), slotsPath, "", "x")
	assert.Equal(t, lost.StatusCode, http.StatusAccepted, lost.body)
	assert.Equal(t, waitForJob(t, c.Entry(1), lost.Header.Get("Location")).StatusCode, http.StatusOK)

	assert.NilError(t, c.StoreDown(true))
	refused := postAsync(t, c.Entry(1), chargePath, "", "x")
	assert.Equal(t, refused.StatusCode, http.StatusServiceUnavailable)
	assert.Assert(t, refused.Header.Get("Retry-After") != "")
	assert.Assert(t, refused.Header.Get("Location") == "")
}

// TestJobSurvivesEntryCrash kills the entry that accepted two jobs while they run.
func TestJobSurvivesEntryCrash(t *testing.T) {
	t.Parallel()
	c := cluster.Start(t, cluster.Options{Entries: 2, Plain: 1})
	waitForCharge(t, c)
	charges := countCallsTo(t, c, "/charge")
	setBehaviour(t, c.Plain(1), plain.Behaviour{DelayMS: 2000})
	action := postAsync(t, c.Entry(1), chargePath, "k", "x")
	slots := postAsync(t, c.Entry(1), slotsPath, "", "x")
	cluster.Eventually(t, func() error {
		if countCallsTo(t, c, "/charge") != charges+1 || countCallsTo(t, c, "/slots") != 1 {
			return fmt.Errorf("the jobs are not running yet")
		}
		return nil
	})
	assert.NilError(t, c.Entry(1).Kill())
	for _, accepted := range []response{action, slots} {
		assert.Equal(t, accepted.StatusCode, http.StatusAccepted, accepted.body)
		resp := waitForJob(t, c.Entry(2), accepted.Header.Get("Location"))
		assert.Equal(t, resp.StatusCode, http.StatusOK, resp.body)
		assert.Equal(t, resp.outcome(), wire.OutcomeCompleted)
	}
	assert.Equal(t, countCallsTo(t, c, "/charge"), charges+1, "the charge ran again")
	assert.Equal(t, countCallsTo(t, c, "/slots"), 2)
}
