package gate

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"peridotchute.example/common/wire"
)

const (
	testKey   = "key"
	streamEnd = "data: [DONE]\n\n"
)

// startGate starts a gate and its backend server and returns the gate's URL.
func startGate(t *testing.T, backend http.HandlerFunc) string {
	engine := httptest.NewServer(backend)
	t.Cleanup(engine.Close)
	log := logrus.New()
	log.SetOutput(io.Discard)
	gate := httptest.NewServer(New(Options{Key: testKey, BackendURL: engine.URL, Incarnation: "i", Log: log}))
	t.Cleanup(gate.Close)
	return gate.URL
}

func send(t *testing.T, url string, body io.Reader) (*http.Response, error) {
	req, err := http.NewRequest(http.MethodPost, url+"/v1/completions", body)
	assert.NilError(t, err)
	req.Header.Set(wire.HeaderDeployment, testKey)
	return http.DefaultClient.Do(req)
}

// TestStreamsAreCompleteWhileOtherConnectionsClose closes each response after its
// final event without reading to EOF, as an entry may. The connection then closes
// during the next request, whose stream must not break off.
func TestStreamsAreCompleteWhileOtherConnectionsClose(t *testing.T) {
	const requests, events = 2000, 16
	url := startGate(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		for i := range events {
			fmt.Fprintf(w, "data: %d\n\n", i)
			_ = http.NewResponseController(w).Flush()
		}
		_, _ = io.WriteString(w, streamEnd)
	})
	for range requests {
		resp, err := send(t, url, strings.NewReader("prompt"))
		assert.NilError(t, err)
		lines := bufio.NewScanner(resp.Body)
		for lines.Scan() && lines.Text() != strings.TrimSpace(streamEnd) {
		}
		assert.NilError(t, lines.Err())
		assert.Equal(t, lines.Text(), strings.TrimSpace(streamEnd))
		assert.NilError(t, resp.Body.Close())
	}
}

func TestTruncatedRequestBodyIsNotRun(t *testing.T) {
	called := false
	url := startGate(t, func(http.ResponseWriter, *http.Request) { called = true })
	body, broken := io.Pipe()
	go func() {
		_, _ = broken.Write([]byte("half"))
		_ = broken.CloseWithError(io.ErrUnexpectedEOF)
	}()
	resp, err := send(t, url, body)
	if err == nil {
		defer resp.Body.Close()
		assert.Equal(t, resp.Header.Get(wire.HeaderOutcome), string(wire.OutcomeNotRun))
	}
	assert.Assert(t, !called)
}
