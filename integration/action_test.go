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

// act sends an action with a key, none when key is empty.
func act(e *cluster.Entry, path, key, body string) (answer, error) {
	return sendOn(http.DefaultClient, e, path, key, body)
}

// sendOn sends a call with a client, without a key when key is empty.
func sendOn(client *http.Client, e *cluster.Entry, path, key, body string) (answer, error) {
	req, err := http.NewRequest(http.MethodPost, e.URL()+path, strings.NewReader(body))
	if err != nil {
		return answer{}, err
	}
	req.Header.Set("Authorization", "Bearer "+cluster.SampleKey)
	if key != "" {
		req.Header.Set(wire.HeaderIdempotency, key)
	}
	resp, err := client.Do(req)
	if err != nil {
		return answer{}, err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	return answer{Response: resp, body: string(raw), cut: err}, nil
}

// charge sends one charge that is expected to be answered.
func charge(t *testing.T, e *cluster.Entry, key, body string) answer {
	t.Helper()
	a, err := act(e, chargePath, key, body)
	assert.NilError(t, err)
	assert.NilError(t, a.cut)
	return a
}

// charging sends a charge in the background.
func charging(e *cluster.Entry, key, body string) <-chan answer {
	out := make(chan answer, 1)
	go func() {
		a, err := act(e, chargePath, key, body)
		if err != nil {
			a.cut = err
		}
		out <- a
	}()
	return out
}

// calls returns what the plain services ran under the key, everything when it
// is empty.
func calls(t *testing.T, c *cluster.Cluster, key string) []plain.Call {
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

// behave sets how a plain service answers.
func behave(t *testing.T, s *cluster.Side, b plain.Behaviour) {
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

// charged waits until every entry completes a charge.
func charged(t *testing.T, c *cluster.Cluster) {
	t.Helper()
	for _, e := range c.Entries() {
		cluster.Eventually(t, func() error {
			a, err := act(e, chargePath, "", "warm")
			if err == nil && a.outcome() != wire.OutcomeCompleted {
				err = fmt.Errorf("%d %s", a.StatusCode, a.body)
			}
			return err
		})
	}
}

// ran waits until the services have run the action once.
func ran(t *testing.T, c *cluster.Cluster, key string) {
	t.Helper()
	cluster.Eventually(t, func() error {
		if n := len(calls(t, c, key)); n != 1 {
			return fmt.Errorf("%s ran %d times", key, n)
		}
		return nil
	})
}

// outcomeOf asks an entry what became of an action.
func outcomeOf(t *testing.T, e *cluster.Entry, key string) (int, wire.Outcome) {
	t.Helper()
	req, err := http.NewRequest(http.MethodGet, e.URL()+"/v1/actions/"+key, nil)
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer "+cluster.SampleKey)
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer resp.Body.Close()
	return resp.StatusCode, wire.Outcome(resp.Header.Get(wire.HeaderOutcome))
}

func TestActionRunsOnceAndIsRemembered(t *testing.T) {
	c := cluster.Start(t, cluster.Options{Entries: 2, Plain: 2})
	charged(t, c)
	first := charge(t, c.Entry(1), "k", "10 pounds")
	assert.Equal(t, first.outcome(), wire.OutcomeCompleted)
	again := charge(t, c.Entry(2), "k", "10 pounds")
	assert.Equal(t, again.body, first.body)
	assert.Equal(t, again.outcome(), wire.OutcomeCompleted)
	other := charge(t, c.Entry(2), "k", "20 pounds")
	assert.Equal(t, other.StatusCode, http.StatusUnprocessableEntity)
	assert.Equal(t, len(calls(t, c, "k")), 1)

	minted := charge(t, c.Entry(1), "", "10 pounds").Header.Get(wire.HeaderIdempotency)
	assert.Assert(t, minted != "")
	status, outcome := outcomeOf(t, c.Entry(2), minted)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, outcome, wire.OutcomeCompleted)
	status, _ = outcomeOf(t, c.Entry(2), "never")
	assert.Equal(t, status, http.StatusNotFound)
}

func TestOneKeyAtTwoEntriesAtOnce(t *testing.T) {
	c := cluster.Start(t, cluster.Options{Entries: 2, Plain: 2})
	charged(t, c)
	for i := range 20 {
		key := fmt.Sprint("both-", i)
		a, b := charging(c.Entry(1), key, "x"), charging(c.Entry(2), key, "x")
		one, two := <-a, <-b
		assert.Equal(t, one.outcome(), wire.OutcomeCompleted, one.body)
		assert.Equal(t, two.outcome(), wire.OutcomeCompleted, two.body)
		assert.Equal(t, one.body, two.body)
		assert.Equal(t, len(calls(t, c, key)), 1)
	}
}
