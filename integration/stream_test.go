package integration

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotchute.example/common/wire"
	"peridotchute.example/integration/cluster"
	"peridotchute.example/integration/proxy"
	"peridotchute.example/standin/engine"
)

const streamTokens = 400

// streamCluster starts two model servers that have both loaded the sample model,
// and returns the body of a complete stream to compare others with.
func streamCluster(t *testing.T, timeScale float64) (*cluster.Cluster, *proxy.Server, string) {
	t.Helper()
	proxies := proxy.NewServer()
	t.Cleanup(proxies.Close)
	c := cluster.Start(t, cluster.Options{Sides: 2, Proxies: proxies, TimeScale: timeScale})
	for _, s := range c.Sides() {
		assert.NilError(t, c.Warm(s, cluster.SampleModel))
	}
	waitForSampleModel(t, c.Entry(1))
	whole := mustPost(t, c.Entry(1), "/v1/completions", completion(cluster.SampleModel, streamTokens, true))
	assert.Equal(t, whole.outcome(), wire.OutcomeCompleted)
	return c, proxies, whole.body
}

// streamEvents returns the ids and texts of a stream's events. It leaves out the
// fields that differ between two responses to the same request.
func streamEvents(t *testing.T, body string) []string {
	t.Helper()
	var out []string
	for _, event := range strings.Split(strings.TrimSuffix(body, "\n\n"), "\n\n") {
		id, data, _ := strings.Cut(event, "\ndata: ")
		var chunk struct {
			Choices []struct {
				Text string `json:"text"`
			} `json:"choices"`
		}
		if data != "" {
			assert.NilError(t, json.Unmarshal([]byte(data), &chunk), event)
			event = id + " " + chunk.Choices[0].Text
		}
		out = append(out, event)
	}
	return out
}

func TestCutStreamResumesOnAnotherServer(t *testing.T) {
	c, proxies, whole := streamCluster(t, 0)
	assert.NilError(t, proxies.Channel("entry-1", "side-1", cluster.ChannelData).CutAnswerAfter(9000))
	for range 6 {
		resp := mustPost(t, c.Entry(1), "/v1/completions", completion(cluster.SampleModel, streamTokens, true))
		assert.Equal(t, resp.outcome(), wire.OutcomeCompleted)
		assert.DeepEqual(t, streamEvents(t, resp.body), streamEvents(t, whole))
	}
}

func TestStreamSurvivesSideProcessCrash(t *testing.T) {
	c, _, whole := streamCluster(t, 0.2)
	for i := 1; i <= 2; i++ {
		done := make(chan response, 1)
		go func() {
			resp, err := post(c.Entry(1), "/v1/completions", completion(cluster.SampleModel, streamTokens, true))
			if err != nil {
				resp.err = err
			}
			done <- resp
		}()
		serving := waitForBusySide(t, c)
		assert.NilError(t, serving.Kill())
		resp := <-done
		assert.NilError(t, resp.err)
		assert.Equal(t, resp.outcome(), wire.OutcomeCompleted)
		assert.DeepEqual(t, streamEvents(t, resp.body), streamEvents(t, whole))
		assert.NilError(t, serving.Start())
		assert.NilError(t, c.Warm(serving, cluster.SampleModel))
	}
}

// waitForBusySide waits until a model server has a request in progress, and returns
// its side process.
func waitForBusySide(t *testing.T, c *cluster.Cluster) *cluster.Side {
	t.Helper()
	var found *cluster.Side
	cluster.Eventually(t, func() error {
		for _, s := range c.Sides() {
			if inFlight(t, s) > 0 {
				found = s
				return nil
			}
		}
		return fmt.Errorf("no request in progress")
	})
	return found
}

func inFlight(t *testing.T, s *cluster.Side) int {
	t.Helper()
	var d struct {
		InFlight int `json:"in_flight"`
	}
	readState(t, s.AdminURL(), "gate", &d)
	return d.InFlight
}

// TestCancellationReachesEngine cancels requests in the middle of long responses.
func TestCancellationReachesEngine(t *testing.T) {
	c, _, _ := streamCluster(t, 1)
	for _, stream := range []bool{true, false} {
		id := fmt.Sprint("leaving-", stream)
		ctx, cancel := context.WithCancel(context.Background())
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.Entry(1).URL()+"/v1/completions", strings.NewReader(completion(cluster.SampleModel, 1_000_000, stream)))
		assert.NilError(t, err)
		req.Header.Set("Authorization", "Bearer "+cluster.SampleKey)
		req.Header.Set(wire.HeaderRequestID, id)
		req.Header.Set("X-Request-Timeout-Ms", "3600000")
		done := make(chan error, 1)
		go func() {
			resp, err := http.DefaultClient.Do(req)
			if err == nil {
				_, err = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
			}
			done <- err
		}()
		side := waitForBusySide(t, c)
		cancel()
		assert.ErrorContains(t, <-done, "canceled")
		cluster.Eventually(t, func() error {
			if n := inFlight(t, side); n != 0 {
				return fmt.Errorf("%d in progress", n)
			}
			return nil
		})
		assert.Equal(t, engineRequests(t, side)[id], engine.RequestCount{Started: 1})
	}
}

func engineRequests(t *testing.T, s *cluster.Side) map[string]engine.RequestCount {
	t.Helper()
	resp, err := http.Get(s.BackendURL() + "/control/requests")
	assert.NilError(t, err)
	defer resp.Body.Close()
	counts := map[string]engine.RequestCount{}
	assert.NilError(t, json.NewDecoder(resp.Body).Decode(&counts))
	return counts
}

// TestGracefulShutdownCompletesStreams stops a side process, and then the entry,
// while a stream is in progress.
func TestGracefulShutdownCompletesStreams(t *testing.T) {
	c, _, whole := streamCluster(t, 1)
	done := make(chan response, 1)
	go func() {
		resp, err := post(c.Entry(1), "/v1/completions", completion(cluster.SampleModel, streamTokens, true))
		if err != nil {
			resp.err = err
		}
		done <- resp
	}()
	leaving := waitForBusySide(t, c)
	assert.NilError(t, leaving.Terminate())
	cluster.Eventually(t, func() error { return checkDraining(t, c, leaving) })
	before := len(engineRequests(t, leaving))
	end := time.Now().Add(time.Second)
	for time.Now().Before(end) {
		resp := mustPost(t, c.Entry(1), "/v1/completions", completion(cluster.SampleModel, 1, false))
		assert.Equal(t, resp.outcome(), wire.OutcomeCompleted)
	}
	assert.Equal(t, len(engineRequests(t, leaving)), before, "a leaving server received new requests")
	assert.NilError(t, c.Entry(1).Terminate())
	resp := <-done
	assert.NilError(t, resp.err)
	assert.Equal(t, resp.outcome(), wire.OutcomeCompleted)
	assert.DeepEqual(t, streamEvents(t, resp.body), streamEvents(t, whole))
	for id, count := range engineRequests(t, leaving) {
		assert.Equal(t, count.Started, count.Completed, "request %s did not complete at the leaving server", id)
	}
	<-leaving.Exited()
	assert.Equal(t, leaving.ExitCode(), 0, leaving.Stderr())
	<-c.Entry(1).Exited()
	assert.Equal(t, c.Entry(1).ExitCode(), 0, c.Entry(1).Stderr())
}

// checkDraining returns an error until the side process is draining.
func checkDraining(t *testing.T, c *cluster.Cluster, leaving *cluster.Side) error {
	t.Helper()
	var d struct {
		Draining bool `json:"draining"`
	}
	readState(t, leaving.AdminURL(), "gate", &d)
	if !d.Draining {
		return fmt.Errorf("%s is not draining yet", leaving.Name)
	}
	return nil
}
