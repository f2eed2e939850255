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

// booking is a chat that offers the model a non-idempotent tool.
func booking(tokens int) string {
	return fmt.Sprintf(`{"model":%q,"max_tokens":%d,"stream":true,"messages":[{"role":"user","content":"Book a beat."}],`+
		`"tools":[{"type":"function","function":{"name":%q}}]}`, cluster.SampleModel, tokens, bookingTool)
}

// TestStreamedActionIsWholeAfterACut cuts the stream of a non-idempotent chat on
// its way to the entry. The rest comes from the side process, from the same run.
func TestStreamedActionIsWholeAfterACut(t *testing.T) {
	const path, tokens = "/v1/chat/completions", 200
	proxies := proxy.NewServer()
	t.Cleanup(proxies.Close)
	declared := cluster.Sample(cluster.SampleZones(1))
	declared.Models[0].Tools = []string{bookingTool}
	c := cluster.Start(t, cluster.Options{Entries: 2, Sides: 1, Proxies: proxies, Config: declared})
	served(t, c.Entry(1))
	assert.NilError(t, proxies.Channel("entry-1", "side-1", cluster.ChannelData).CutAnswerAfter(9000))
	a, err := act(c.Entry(1), path, "k", booking(tokens))
	assert.NilError(t, err)
	assert.NilError(t, a.cut)
	assert.Equal(t, a.outcome(), wire.OutcomeCompleted, a.body)
	assert.Equal(t, strings.Count(a.body, "data: {"), tokens+1)
	assert.Assert(t, strings.HasSuffix(a.body, streamEnd+"\n\n"), a.body)
	again, err := act(c.Entry(2), path, "k", booking(tokens))
	assert.NilError(t, err)
	assert.Equal(t, again.body, a.body)
	assert.Equal(t, again.outcome(), wire.OutcomeCompleted)
	assert.Equal(t, engineRequests(t, c.Side(1))[a.Header.Get(wire.HeaderRequestID)].Started, 1)
}
