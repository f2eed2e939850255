package integration

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"peridotchute.example/common/wire"
	"peridotchute.example/integration/cluster"
	"peridotchute.example/standin/plain"
)

const chargePath = "/services/" + cluster.SampleService + "/charge"

// postWithKey posts a request with an idempotency key, or without one if key is
// empty.
func postWithKey(e *cluster.Entry, path, key, body string) (response, error) {
	return postWithClient(http.DefaultClient, e, path, key, body)
}

// postWithClient is postWithKey with a given HTTP client.
func postWithClient(client *http.Client, e *cluster.Entry, path, key, body string) (response, error) {
	req, err := http.NewRequest(http.MethodPost, e.URL()+path, strings.NewReader(body))
	if err != nil {
		return response{}, err
	}
	req.Header.Set("Authorization", "Bearer "+cluster.SampleKey)
	if key != "" {
		req.Header.Set(wire.HeaderIdempotency, key)
	}
	resp, err := client.Do(req)
	if err != nil {
		return response{}, err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	return response{Response: resp, body: string(raw), err: err}, nil
}

// charge sends a charge and fails the test unless a complete response arrives.
func charge(t *testing.T, e *cluster.Entry, key, body string) response {
	t.Helper()
	resp, err := postWithKey(e, chargePath, key, body)
	assert.NilError(t, err)
	assert.NilError(t, resp.err)
	return resp
}

// chargeAsync sends a charge in the background and delivers its response or error.
func chargeAsync(e *cluster.Entry, key, body string) <-chan response {
	out := make(chan response, 1)
	go func() {
		resp, err := postWithKey(e, chargePath, key, body)
		if err != nil {
			resp.err = err
		}
		out <- resp
	}()
	return out
}

// serviceCalls returns the calls that the plain services ran under the key, or
// all calls if key is empty.
func serviceCalls(t *testing.T, c *cluster.Cluster, key string) []plain.Call {
	t.Helper()
	var out []plain.Call
	for _, s := range c.Sides() {
		if s.Settings.Backend.Kind != "plain" {
			continue
		}
		resp, err := http.Get(s.BackendURL() + "/control/calls")
		assert.NilError(t, err)
		var all []plain.Call
		assert.NilError(t, json.NewDecoder(resp.Body).Decode(&all))
		assert.NilError(t, resp.Body.Close())
		for _, call := range all {
			if key == "" || strings.HasSuffix(call.Key, "/"+key) {
				out = append(out, call)
			}
		}
	}
	return out
}

// setBehaviour sets how a plain service responds.
func setBehaviour(t *testing.T, s *cluster.Side, b plain.Behaviour) {
	t.Helper()
	raw, err := json.Marshal(b)
	assert.NilError(t, err)
	req, err := http.NewRequest(http.MethodPut, s.BackendURL()+"/control/behaviour", bytes.NewReader(raw))
	assert.NilError(t, err)
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	assert.Equal(t, resp.StatusCode, http.StatusOK)
}

// waitForCharge waits until every entry completes a charge.
func waitForCharge(t *testing.T, c *cluster.Cluster) {
	t.Helper()
	for _, e := range c.Entries() {
		cluster.Eventually(t, func() error {
			resp, err := postWithKey(e, chargePath, "", "warm")
			if err == nil && resp.outcome() != wire.OutcomeCompleted {
				err = fmt.Errorf("%d %s", resp.StatusCode, resp.body)
			}
			return err
		})
	}
}

// waitForRun waits until the services have run the action exactly once.
func waitForRun(t *testing.T, c *cluster.Cluster, key string) {
	t.Helper()
	cluster.Eventually(t, func() error {
		if n := len(serviceCalls(t, c, key)); n != 1 {
			return fmt.Errorf("%s ran %d times", key, n)
		}
		return nil
	})
}

// storedOutcome requests the outcome of an action from an entry. It returns the
// HTTP status and the outcome.
func storedOutcome(t *testing.T, e *cluster.Entry, key string) (int, wire.Outcome) {
	t.Helper()
	req, err := http.NewRequest(http.MethodGet, e.URL()+"/v1/actions/"+key, nil)
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer "+cluster.SampleKey)
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer resp.Body.Close()
	return resp.StatusCode, wire.Outcome(resp.Header.Get(wire.HeaderOutcome))
}

func TestRepeatedActionRunsOnce(t *testing.T) {
	c := cluster.Start(t, cluster.Options{Entries: 2, Plain: 2})
	waitForCharge(t, c)
	first := charge(t, c.Entry(1), "k", "10 pounds")
	assert.Equal(t, first.outcome(), wire.OutcomeCompleted)
	again := charge(t, c.Entry(2), "k", "10 pounds")
	assert.Equal(t, again.body, first.body)
	assert.Equal(t, again.outcome(), wire.OutcomeCompleted)
	other := charge(t, c.Entry(2), "k", "20 pounds")
	assert.Equal(t, other.StatusCode, http.StatusUnprocessableEntity)
	assert.Equal(t, len(serviceCalls(t, c, "k")), 1)

	generated := charge(t, c.Entry(1), "", "10 pounds").Header.Get(wire.HeaderIdempotency)
	assert.Assert(t, generated != "")
	status, outcome := storedOutcome(t, c.Entry(2), generated)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, outcome, wire.OutcomeCompleted)
	status, _ = storedOutcome(t, c.Entry(2), "never")
	assert.Equal(t, status, http.StatusNotFound)
}

func TestOneKeyAtTwoEntriesAtOnce(t *testing.T) {
	c := cluster.Start(t, cluster.Options{Entries: 2, Plain: 2})
	waitForCharge(t, c)
	for i := range 20 {
		key := fmt.Sprint("both-", i)
		a, b := chargeAsync(c.Entry(1), key, "x"), chargeAsync(c.Entry(2), key, "x")
		one, two := <-a, <-b
		assert.Equal(t, one.outcome(), wire.OutcomeCompleted, one.body)
		assert.Equal(t, two.outcome(), wire.OutcomeCompleted, two.body)
		assert.Equal(t, one.body, two.body)
		assert.Equal(t, len(serviceCalls(t, c, key)), 1)
	}
}
