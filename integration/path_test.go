package integration

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/openai/openai-go"
	"github.com/openai/openai-go/option"
	"gotest.tools/v3/assert"

	"encoding/json"

	"peridotchute.example/common/wire"
	"peridotchute.example/integration/cluster"
	"peridotchute.example/integration/proxy"
)

func TestMain(m *testing.M) { cluster.Main(m) }

const streamEnd = "data: [DONE]"

// response is an HTTP response whose body was read to its end or to an error.
type response struct {
	*http.Response
	body string
	err  error
}

func (resp response) outcome() wire.Outcome {
	if o := resp.Trailer.Get(wire.HeaderOutcome); o != "" {
		return wire.Outcome(o)
	}
	return wire.Outcome(resp.Header.Get(wire.HeaderOutcome))
}

// errorDetail returns the OpenAI-style error in the body.
func (resp response) errorDetail(t *testing.T) wire.ErrorDetail {
	t.Helper()
	var body wire.ErrorBody
	assert.NilError(t, json.Unmarshal([]byte(resp.body), &body), resp.body)
	return body.Error
}

// post sends a JSON body to an entry's caller API.
func post(e *cluster.Entry, path, body string) (response, error) {
	req, err := http.NewRequest(http.MethodPost, e.URL()+path, strings.NewReader(body))
	if err != nil {
		return response{}, err
	}
	req.Header.Set("Authorization", "Bearer "+cluster.SampleKey)
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return response{}, err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	return response{Response: resp, body: string(raw), err: err}, nil
}

func mustPost(t *testing.T, e *cluster.Entry, path, body string) response {
	t.Helper()
	resp, err := post(e, path, body)
	assert.NilError(t, err)
	assert.NilError(t, resp.err)
	return resp
}

func completion(model string, tokens int, stream bool) string {
	return fmt.Sprintf(`{"model":%q,"prompt":"a fly for low water","max_tokens":%d,"stream":%t}`, model, tokens, stream)
}

// waitForSampleModel waits until requests for the sample model succeed at the
// entry.
func waitForSampleModel(t *testing.T, e *cluster.Entry) {
	t.Helper()
	cluster.Eventually(t, func() error {
		resp, err := post(e, "/v1/completions", completion(cluster.SampleModel, 1, false))
		if err == nil && resp.StatusCode != http.StatusOK {
			err = errors.New(resp.body)
		}
		return err
	})
}

func TestAnswersAndRefusals(t *testing.T) {
	c := cluster.Start(t, cluster.Options{})
	e := c.Entry(1)
	waitForSampleModel(t, e)
	t.Run("a streamed answer is whole", func(t *testing.T) {
		resp := mustPost(t, e, "/v1/completions", completion(cluster.SampleModel, 20, true))
		assert.Equal(t, resp.StatusCode, http.StatusOK)
		assert.Equal(t, strings.Count(resp.body, "data: {"), 21, resp.body)
		assert.Assert(t, strings.HasSuffix(resp.body, streamEnd+"\n\n"), resp.body)
		assert.Equal(t, resp.outcome(), wire.OutcomeCompleted)
	})
	t.Run("an OpenAI client streams a chat", func(t *testing.T) { streamChat(t, e) })
	t.Run("an adapter answers", func(t *testing.T) {
		resp := mustPost(t, e, "/v1/completions", completion(cluster.SampleAdapter, 3, false))
		assert.Equal(t, resp.StatusCode, http.StatusOK, resp.body)
		assert.Equal(t, resp.outcome(), wire.OutcomeCompleted)
	})
	refusals := []struct {
		name, path, body string
		status           int
		code             string
	}{
		{"unknown model", "/v1/completions", completion("none", 1, false), http.StatusNotFound, "model_not_found"},
		{"malformed JSON", "/v1/chat/completions", `{"model":`, http.StatusBadRequest, "invalid_json"},
		{"body too large", "/v1/completions", `{"model":"` + strings.Repeat("x", 1<<20) + `"}`, http.StatusRequestEntityTooLarge, "request_too_large"},
		{"unknown service", "/services/none/slots", "", http.StatusNotFound, "service_not_found"},
	}
	for _, r := range refusals {
		t.Run(r.name, func(t *testing.T) {
			resp := mustPost(t, e, r.path, r.body)
			assert.Equal(t, resp.StatusCode, r.status)
			assert.Equal(t, resp.errorDetail(t).Code, r.code)
			assert.Assert(t, resp.errorDetail(t).Message != "")
			assert.Equal(t, resp.outcome(), wire.OutcomeNotRun)
		})
	}
	t.Run("no server in reach", func(t *testing.T) { checkNoServer(t, c) })
}

// streamChat streams a chat with the OpenAI client library.
func streamChat(t *testing.T, e *cluster.Entry) {
	client := openai.NewClient(option.WithBaseURL(e.URL()+"/v1/"), option.WithAPIKey(cluster.SampleKey), option.WithMaxRetries(0))
	stream := client.Chat.Completions.NewStreaming(context.Background(), openai.ChatCompletionNewParams{
		Model:     cluster.SampleModel,
		MaxTokens: openai.Int(12),
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage("Which beat is free at dawn?")},
	})
	var all openai.ChatCompletionAccumulator
	for stream.Next() {
		all.AddChunk(stream.Current())
	}
	assert.NilError(t, stream.Err())
	assert.Equal(t, len(all.Choices), 1)
	assert.Equal(t, len(strings.Fields(all.Choices[0].Message.Content)), 12)
	assert.Equal(t, all.Choices[0].FinishReason, "length")
}

// checkNoServer kills every side process and checks that requests are then
// rejected with the code no_server.
func checkNoServer(t *testing.T, c *cluster.Cluster) {
	for _, s := range c.Sides() {
		assert.NilError(t, s.Kill())
	}
	cluster.Eventually(t, func() error {
		resp, err := post(c.Entry(1), "/v1/completions", completion(cluster.SampleModel, 1, false))
		if err != nil {
			return err
		}
		assert.Equal(t, resp.outcome(), wire.OutcomeNotRun, resp.body)
		if resp.StatusCode != http.StatusServiceUnavailable {
			return fmt.Errorf("status %s", resp.Status)
		}
		assert.Assert(t, resp.Header.Get("Retry-After") != "")
		assert.Equal(t, resp.errorDetail(t).Code, "no_server")
		return nil
	})
}

func TestCutStreamNotReportedComplete(t *testing.T) {
	const tokens, keptBytes = 300, 3000
	proxies := proxy.NewServer()
	defer proxies.Close()
	c := cluster.Start(t, cluster.Options{Sides: 1, Proxies: proxies})
	e := c.Entry(1)
	waitForSampleModel(t, e)
	link := proxies.Channel("entry-1", "side-1", cluster.ChannelData)
	assert.NilError(t, link.CutAnswerAfter(keptBytes))
	resp, err := post(e, "/v1/completions", completion(cluster.SampleModel, tokens, true))
	if err == nil {
		assert.Assert(t, resp.StatusCode != http.StatusOK || resp.err != nil, "a cut stream ended as if it were complete")
		assert.Assert(t, !strings.Contains(resp.body, streamEnd))
		assert.Assert(t, resp.outcome() != wire.OutcomeCompleted)
	}
	assert.NilError(t, link.Heal(context.Background()))
	resp = mustPost(t, e, "/v1/completions", completion(cluster.SampleModel, tokens, true))
	assert.Equal(t, strings.Count(resp.body, "data: {"), tokens+1)
	assert.Assert(t, strings.HasSuffix(resp.body, streamEnd+"\n\n"))
	assert.Equal(t, resp.outcome(), wire.OutcomeCompleted)
}
