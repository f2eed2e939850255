package integration

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"peridotchute.example/common/wire"
	"peridotchute.example/integration/cluster"
	"peridotchute.example/integration/proxy"
)

const bookingTool = "book_beat"

// bookingRequest returns a streaming chat request that offers the model a
// non-idempotent tool.
func bookingRequest(tokens int) string {
	return fmt.Sprintf(`{"model":%q,"max_tokens":%d,"stream":true,"messages":[{"role":"user","content":"Book a beat."}],`+
		`"tools":[{"type":"function","function":{"name":%q}}]}`, cluster.SampleModel, tokens, bookingTool)
}

// TestStreamedActionResumedAfterCut cuts the connection from which an entry reads
// a non-idempotent chat. The entry must fetch the rest of the same run from the
// side process.
func TestStreamedActionResumedAfterCut(t *testing.T) {
	const path, tokens = "/v1/chat/completions", 200
	proxies := proxy.NewServer()
	t.Cleanup(proxies.Close)
	declared := cluster.Sample(cluster.SampleZones(1))
	declared.Models[0].Tools = []string{bookingTool}
	c := cluster.Start(t, cluster.Options{Entries: 2, Sides: 1, Proxies: proxies, Config: declared})
	waitForSampleModel(t, c.Entry(1))
	assert.NilError(t, proxies.Channel("entry-1", "side-1", cluster.ChannelData).CutAnswerAfter(9000))
	resp, err := postWithKey(c.Entry(1), path, "k", bookingRequest(tokens))
	assert.NilError(t, err)
	assert.NilError(t, resp.err)
	assert.Equal(t, resp.outcome(), wire.OutcomeCompleted, resp.body)
	assert.Equal(t, strings.Count(resp.body, "data: {"), tokens+1)
	assert.Assert(t, strings.HasSuffix(resp.body, streamEnd+"\n\n"), resp.body)
	again, err := postWithKey(c.Entry(2), path, "k", bookingRequest(tokens))
	assert.NilError(t, err)
	assert.Equal(t, again.body, resp.body)
	assert.Equal(t, again.outcome(), wire.OutcomeCompleted)
	assert.Equal(t, engineRequests(t, c.Side(1))[resp.Header.Get(wire.HeaderRequestID)].Started, 1)
}
