package engine

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotchute.example/common/fault"
	"peridotchute.example/common/wire"
	api "peridotchute.example/engine"
)

var (
	baseModel = wire.Artifact{Kind: wire.KindModel, Name: "base", Version: "1"}
	adapter   = wire.Artifact{Kind: wire.KindAdapter, Name: "flies", Version: "1"}
)

func startEngine(t *testing.T, opts Options) (*Engine, *httptest.Server, *api.HTTPClient) {
	t.Helper()
	e := New(opts)
	srv := httptest.NewServer(e)
	t.Cleanup(srv.Close)
	return e, srv, api.NewHTTPClient(srv.URL)
}

func loadArtifact(t *testing.T, c *api.HTTPClient, a wire.Artifact, base string, bytes int64) {
	t.Helper()
	order := api.Order{Verb: api.VerbLoad, Artifact: a, Base: base, Bytes: bytes, FencingToken: 1, TTL: time.Minute}
	assert.NilError(t, c.Order(context.Background(), order))
}

func post(t *testing.T, url, path, lastEventID, body string) (*http.Response, string) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, url+path, strings.NewReader(body))
	assert.NilError(t, err)
	req.Header.Set(wire.HeaderRequestID, "r1")
	if lastEventID != "" {
		req.Header.Set(wire.HeaderLastEventID, lastEventID)
	}
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	raw, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	return resp, string(raw)
}

// withoutCreationTime zeroes the creation times in a stream, which differ
// between engines.
func withoutCreationTime(t *testing.T, events string) string {
	t.Helper()
	var out []string
	for _, line := range strings.Split(events, "\n") {
		data, ok := strings.CutPrefix(line, "data: {")
		if !ok {
			out = append(out, line)
			continue
		}
		var a response
		assert.NilError(t, json.Unmarshal([]byte("{"+data), &a))
		a.Created = 0
		raw, err := json.Marshal(a)
		assert.NilError(t, err)
		out = append(out, string(raw))
	}
	return strings.Join(out, "\n")
}

func TestStreamResumesOnAnotherEngine(t *testing.T) {
	_, srv1, c1 := startEngine(t, Options{MemoryBytes: 100})
	_, srv2, c2 := startEngine(t, Options{MemoryBytes: 100})
	loadArtifact(t, c1, baseModel, "", 10)
	loadArtifact(t, c2, baseModel, "", 10)
	body := `{"model":"base","stream":true,"max_tokens":6,"messages":[{"role":"user","content":"hatch?"}]}`
	resp, full := post(t, srv1.URL, "/v1/chat/completions", "", body)
	assert.Equal(t, resp.Header.Get(wire.HeaderRequestID), "r1")
	_, resumed := post(t, srv2.URL, "/v1/chat/completions", "4", body)
	offset := strings.Index(full, "id: 5\n")
	assert.Assert(t, offset > 0)
	assert.Equal(t, withoutCreationTime(t, resumed), withoutCreationTime(t, full[offset:]))
	assert.Assert(t, strings.HasSuffix(full, "data: [DONE]\n\n"))
}

func TestFullResponseHonorsMaxTokens(t *testing.T) {
	_, srv, c := startEngine(t, Options{MemoryBytes: 100})
	loadArtifact(t, c, baseModel, "", 10)
	_, raw := post(t, srv.URL, "/v1/completions", "", `{"model":"base@1","prompt":"dawn","max_tokens":3}`)
	var a response
	assert.NilError(t, json.Unmarshal([]byte(raw), &a))
	assert.Equal(t, a.Usage.CompletionTokens, 3)
	assert.Equal(t, len(strings.Fields(*a.Choices[0].Text)), 3)
}

func TestRequestForUnloadedArtifactReturnsNotFound(t *testing.T) {
	_, srv, c := startEngine(t, Options{MemoryBytes: 100})
	resp, _ := post(t, srv.URL, "/v1/completions", "", `{"model":"base","prompt":"x"}`)
	assert.Equal(t, resp.StatusCode, http.StatusNotFound)
	loadArtifact(t, c, adapter, "base", 1)
	resp, _ = post(t, srv.URL, "/v1/completions", "", `{"model":"flies","prompt":"x"}`)
	assert.Equal(t, resp.StatusCode, http.StatusNotFound, "its base model is not loaded")
	loadArtifact(t, c, baseModel, "", 10)
	resp, _ = post(t, srv.URL, "/v1/completions", "", `{"model":"flies","prompt":"x"}`)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
}

func TestOvercommitIsCountedNotRejected(t *testing.T) {
	e, _, c := startEngine(t, Options{MemoryBytes: 15})
	loadArtifact(t, c, baseModel, "", 10)
	assert.Equal(t, e.Breaches().Overcommits, 0)
	loadArtifact(t, c, adapter, "base", 10)
	assert.Equal(t, e.Breaches().Overcommits, 1)
	inv, err := c.Inventory(context.Background())
	assert.NilError(t, err)
	assert.Equal(t, inv.UsedBytes, int64(20))
}

func TestStaleFencingTokenRejectedOnlyWhenChecked(t *testing.T) {
	for _, checks := range []bool{true, false} {
		_, _, c := startEngine(t, Options{MemoryBytes: 100, Fencing: checks})
		ctx := context.Background()
		assert.NilError(t, c.Order(ctx, api.Order{Verb: api.VerbLoad, Artifact: baseModel, Bytes: 1, FencingToken: 7}))
		err := c.Order(ctx, api.Order{Verb: api.VerbUnload, Artifact: baseModel, FencingToken: 6})
		assert.Equal(t, fault.Is(err, fault.KindRefused), checks)
	}
}

func TestLoadMetrics(t *testing.T) {
	e, _, c := startEngine(t, Options{MemoryBytes: 100})
	assert.NilError(t, e.sched.acquire(context.Background(), 0))
	_, err := c.Load(context.Background())
	assert.NilError(t, err)
	lagging, err := c.Load(context.Background())
	assert.NilError(t, err)
	assert.Equal(t, lagging.Running, 1)
}

func TestKVCacheExportAndImport(t *testing.T) {
	e1, srv, c1 := startEngine(t, Options{MemoryBytes: 100})
	e2, _, c2 := startEngine(t, Options{MemoryBytes: 100})
	loadArtifact(t, c1, baseModel, "", 10)
	prompt := strings.Repeat("a long shared prefix ", 60)
	post(t, srv.URL, "/v1/completions", "", `{"model":"base","prompt":"`+prompt+`"}`)
	ctx := context.Background()
	events, err := c1.CacheEvents(ctx, 0)
	assert.NilError(t, err)
	prefixes := api.Prefixes(baseModel.String(), []byte(`"`+prompt+`"`))
	assert.Equal(t, len(events), len(prefixes))
	last := prefixes[len(prefixes)-1]
	data, err := c1.ExportKV(ctx, last)
	assert.NilError(t, err)
	assert.NilError(t, c2.ImportKV(ctx, last, data))
	assert.Equal(t, e2.cache.match(prefixes), e1.cache.match(prefixes))
}

func TestCanceledRequestLeavesQueue(t *testing.T) {
	s := newScheduler(1)
	assert.NilError(t, s.acquire(context.Background(), 0))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	assert.ErrorIs(t, s.acquire(ctx, 0), context.Canceled)
	s.release()
	running, waiting := s.load()
	assert.Equal(t, running+waiting, 0)
}

func TestInUseUnloadIsCounted(t *testing.T) {
	e := New(Options{MemoryBytes: 100})
	assert.Assert(t, e.mem.beginLoad(baseModel, "", 1))
	e.mem.finishLoad(baseModel, true)
	_, unpin, ok := e.mem.pin("base")
	assert.Assert(t, ok)
	e.mem.remove(baseModel)
	unpin(true)
	assert.Equal(t, e.Breaches().InUseUnloads, 1)
}
