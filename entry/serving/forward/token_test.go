package forward

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const token = "id: 17\ndata: {\"id\":\"cmpl-1\",\"object\":\"text_completion\",\"choices\":[{\"index\":0,\"text\":\"river \",\"finish_reason\":null}]}\n\n"

// counter is a response that counts what it is given.
type counter struct {
	header  http.Header
	writes  int
	flushes int
	bytes   int
}

func (c *counter) Header() http.Header { return c.header }
func (c *counter) WriteHeader(int)     {}
func (c *counter) Flush()              { c.flushes++ }

func (c *counter) Write(p []byte) (int, error) {
	c.writes++
	c.bytes += len(p)
	return len(p), nil
}

// stream returns a stream of n tokens and its explicit end.
func stream(n int) io.ReadCloser {
	return io.NopCloser(io.MultiReader(strings.NewReader(strings.Repeat(token, n)), strings.NewReader("data: [DONE]\n\n")))
}

func TestOneWriteAndOneFlushForEachToken(t *testing.T) {
	const tokens = 1000
	c := &counter{header: http.Header{}}
	assert.NilError(t, NewRelay(c).Copy(stream(tokens)))
	assert.Equal(t, c.writes, tokens+1)
	assert.Equal(t, c.flushes, tokens+1)
	assert.Equal(t, c.bytes, tokens*len(token)+len("data: [DONE]\n\n"))
}

// TestTokensAllocateNothing compares what a long stream allocates with a short one.
func TestTokensAllocateNothing(t *testing.T) {
	const short, long, slack = 100, 10_000, 10
	allocated := func(tokens int) float64 {
		body := stream(tokens)
		text, err := io.ReadAll(body)
		assert.NilError(t, err)
		return testing.AllocsPerRun(20, func() {
			c := &counter{header: http.Header{}}
			assert.NilError(t, NewRelay(c).Copy(io.NopCloser(strings.NewReader(string(text)))))
		})
	}
	assert.Assert(t, allocated(long) <= allocated(short)+slack, "short %v, long %v", allocated(short), allocated(long))
}

func BenchmarkRelayToken(b *testing.B) {
	c := &counter{header: http.Header{}}
	b.ReportAllocs()
	if err := NewRelay(c).Copy(stream(b.N)); err != nil {
		b.Fatal(err)
	}
}
