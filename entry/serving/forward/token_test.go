package forward

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const tokenEvent = "id: 17\ndata: {\"id\":\"cmpl-1\",\"object\":\"text_completion\",\"choices\":[{\"index\":0,\"text\":\"river \",\"finish_reason\":null}]}\n\n"

// countingWriter is a response writer that counts writes, flushes and bytes.
type countingWriter struct {
	header  http.Header
	writes  int
	flushes int
	bytes   int
}

func (c *countingWriter) Header() http.Header { return c.header }
func (c *countingWriter) WriteHeader(int)     {}
func (c *countingWriter) Flush()              { c.flushes++ }

func (c *countingWriter) Write(p []byte) (int, error) {
	c.writes++
	c.bytes += len(p)
	return len(p), nil
}

// tokenStream returns a stream of n token events and the [DONE] event.
func tokenStream(n int) io.ReadCloser {
	return io.NopCloser(io.MultiReader(strings.NewReader(strings.Repeat(tokenEvent, n)), strings.NewReader("data: [DONE]\n\n")))
}

func TestOneWriteAndOneFlushForEachToken(t *testing.T) {
	const tokens = 1000
	c := &countingWriter{header: http.Header{}}
	assert.NilError(t, NewRelay(c).Copy(tokenStream(tokens)))
	assert.Equal(t, c.writes, tokens+1)
	assert.Equal(t, c.flushes, tokens+1)
	assert.Equal(t, c.bytes, tokens*len(tokenEvent)+len("data: [DONE]\n\n"))
}

// TestTokensAllocateNothing checks that the number of allocations does not grow
// with the length of the stream.
func TestTokensAllocateNothing(t *testing.T) {
	const short, long, slack = 100, 10_000, 10
	allocated := func(tokens int) float64 {
		body := tokenStream(tokens)
		text, err := io.ReadAll(body)
		assert.NilError(t, err)
		return testing.AllocsPerRun(20, func() {
			c := &countingWriter{header: http.Header{}}
			assert.NilError(t, NewRelay(c).Copy(io.NopCloser(strings.NewReader(string(text)))))
		})
	}
	assert.Assert(t, allocated(long) <= allocated(short)+slack, "short %v, long %v", allocated(short), allocated(long))
}

func BenchmarkRelayToken(b *testing.B) {
	c := &countingWriter{header: http.Header{}}
	b.ReportAllocs()
	if err := NewRelay(c).Copy(tokenStream(b.N)); err != nil {
		b.Fatal(err)
	}
}
