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

// answer is a response that was read to its end, or to where it broke.
type answer struct {
	*http.Response
	body string
	cut  error
}

func (a answer) outcome() wire.Outcome {
	if o := a.Trailer.Get(wire.HeaderOutcome); o != "" {
		return wire.Outcome(o)
	}
	return wire.Outcome(a.Header.Get(wire.HeaderOutcome))
}

// detail returns the OpenAI-style error of the answer.
func (a answer) detail(t *testing.T) wire.ErrorDetail {
	t.Helper()
	var body wire.ErrorBody
	assert.NilError(t, json.Unmarshal([]byte(a.body), &body), a.body)
	return body.Error
}

// post sends a body to the callers' API of an entry.
func post(e *cluster.Entry, path, body string) (answer, error) {
	req, err := http.NewRequest(http.MethodPost, e.URL()+path, strings.NewReader(body))
	if err != nil {
		return answer{}, err
	}
	req.Header.Set("Authorization", "Bearer "+cluster.SampleKey)
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return answer{}, err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	return answer{Response: resp, body: string(raw), cut: err}, nil
}

func mustPost(t *testing.T, e *cluster.Entry, path, body string) answer {
	t.Helper()
	a, err := post(e, path, body)
	assert.NilError(t, err)
	assert.NilError(t, a.cut)
	return a
}

func completion(model string, tokens int, stream bool) string {
	return fmt.Sprintf(`{"model":%q,"prompt":"a fly for low water","max_tokens":%d,"stream":%t}`, model, tokens, stream)
}

// served waits until the entry answers for the sample model.
func served(t *testing.T, e *cluster.Entry) {
	t.Helper()
	cluster.Eventually(t, func() error {
		a, err := post(e, "/v1/completions", completion(cluster.SampleModel, 1, false))
		if err == nil && a.StatusCode != http.StatusOK {
			err = errors.New(a.body)
		}
		return err
	})
}

func TestAnswersAndRefusals(t *testing.T) {
	c := cluster.Start(t, cluster.Options{})
	e := c.Entry(1)
	served(t, e)
	t.Run("a streamed answer is whole", func(t *testing.T) {
		a := mustPost(t, e, "/v1/completions", completion(cluster.SampleModel, 20, true))
		assert.Equal(t, a.StatusCode, http.StatusOK)
		assert.Equal(t, strings.Count(a.body, "data: {"), 21, a.body)
		assert.Assert(t, strings.HasSuffix(a.body, streamEnd+"\n\n"), a.body)
		assert.Equal(t, a.outcome(), wire.OutcomeCompleted)
	})
	t.Run("an OpenAI client streams a chat", func(t *testing.T) { chat(t, e) })
	t.Run("an adapter answers", func(t *testing.T) {
		a := mustPost(t, e, "/v1/completions", completion(cluster.SampleAdapter, 3, false))
		assert.Equal(t, a.StatusCode, http.StatusOK, a.body)
		assert.Equal(t, a.outcome(), wire.OutcomeCompleted)
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
			a := mustPost(t, e, r.path, r.body)
			assert.Equal(t, a.StatusCode, r.status)
			assert.Equal(t, a.detail(t).Code, r.code)
			assert.Assert(t, a.detail(t).Message != "")
			assert.Equal(t, a.outcome(), wire.OutcomeNotRun)
		})
	}
	t.Run("no server in reach", func(t *testing.T) { unreachable(t, c) })
}

// chat streams a chat with a published client library.
func chat(t *testing.T, e *cluster.Entry) {
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

// unreachable ends every side process and asks on.
func unreachable(t *testing.T, c *cluster.Cluster) {
	for _, s := range c.Sides() {
		assert.NilError(t, s.Kill())
	}
	cluster.Eventually(t, func() error {
		a, err := post(c.Entry(1), "/v1/completions", completion(cluster.SampleModel, 1, false))
		if err != nil {
			return err
		}
		assert.Equal(t, a.outcome(), wire.OutcomeNotRun, a.body)
		if a.StatusCode != http.StatusServiceUnavailable {
			return fmt.Errorf("status %s", a.Status)
		}
		assert.Assert(t, a.Header.Get("Retry-After") != "")
		assert.Equal(t, a.detail(t).Code, "no_server")
		return nil
	})
}

func TestCutStreamNeverLooksWhole(t *testing.T) {
	const tokens, keptBytes = 300, 3000
	proxies := proxy.NewServer()
	defer proxies.Close()
	c := cluster.Start(t, cluster.Options{Sides: 1, Proxies: proxies})
	e := c.Entry(1)
	served(t, e)
	link := proxies.Channel("entry-1", "side-1", cluster.ChannelData)
	assert.NilError(t, link.CutAnswerAfter(keptBytes))
	a, err := post(e, "/v1/completions", completion(cluster.SampleModel, tokens, true))
	if err == nil {
		assert.Assert(t, a.StatusCode != http.StatusOK || a.cut != nil, "a cut stream was ended as if it were whole")
		assert.Assert(t, !strings.Contains(a.body, streamEnd))
		assert.Assert(t, a.outcome() != wire.OutcomeCompleted)
	}
	assert.NilError(t, link.Heal(context.Background()))
	a = mustPost(t, e, "/v1/completions", completion(cluster.SampleModel, tokens, true))
	assert.Equal(t, strings.Count(a.body, "data: {"), tokens+1)
	assert.Assert(t, strings.HasSuffix(a.body, streamEnd+"\n\n"))
	assert.Equal(t, a.outcome(), wire.OutcomeCompleted)
}
