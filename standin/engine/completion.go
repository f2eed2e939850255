package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"peridotchute.example/common/wire"
	api "peridotchute.example/engine"
)

const (
	defaultMaxTokens = 16
	maxRequestBytes  = 64 << 20
)

var vocabulary = []string{"river ", "fly ", "beat ", "ridge ", "trail ", "guide ", "permit ", "stock ", "dawn ", "cast ", "climb ", "seat "}

// completionRequest is the part of an OpenAI request that the stand-in reads.
type completionRequest struct {
	Model       string          `json:"model"`
	Prompt      json.RawMessage `json:"prompt"`
	Messages    json.RawMessage `json:"messages"`
	MaxTokens   int             `json:"max_tokens"`
	MaxComplete int             `json:"max_completion_tokens"`
	Stream      bool            `json:"stream"`
	Priority    int             `json:"priority"`
}

// completion is one request in progress.
type completion struct {
	id          string
	chat        bool
	stream      bool
	artifact    wire.Artifact
	prompt      []byte
	tokens      int
	resumeAfter int // number of the last token that the client received
	priority    int
}

func (e *Engine) chat(w http.ResponseWriter, r *http.Request)        { e.serveCompletion(w, r, true) }
func (e *Engine) completions(w http.ResponseWriter, r *http.Request) { e.serveCompletion(w, r, false) }

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request, chat bool) {
	raw, err := io.ReadAll(io.LimitReader(r.Body, maxRequestBytes))
	var req completionRequest
	if err == nil {
		err = json.Unmarshal(raw, &req)
	}
	if err != nil {
		writeError(w, http.StatusBadRequest, "invalid_body", "%v", err)
		return
	}
	name := req.Model
	if artifactHeader := r.Header.Get(wire.HeaderArtifact); artifactHeader != "" {
		name = artifactHeader
	}
	artifact, unpin, ok := e.mem.pin(name)
	if !ok {
		writeError(w, http.StatusNotFound, "model_not_found", "model %q is not loaded", name)
		return
	}
	c := newCompletion(req, r, artifact, chat)
	e.requestLog.started(c.id)
	err = e.runCompletion(r.Context(), w, c)
	unpin(err == nil)
	if err == nil {
		e.requestLog.completed(c.id)
	}
}

func newCompletion(req completionRequest, r *http.Request, artifact wire.Artifact, chat bool) *completion {
	c := &completion{
		id:       r.Header.Get(wire.HeaderRequestID),
		chat:     chat,
		stream:   req.Stream,
		artifact: artifact,
		prompt:   req.Prompt,
		tokens:   max(req.MaxTokens, req.MaxComplete),
		priority: req.Priority,
	}
	if chat {
		c.prompt = req.Messages
	}
	if c.tokens <= 0 {
		c.tokens = defaultMaxTokens
	}
	if p, err := strconv.Atoi(r.Header.Get(wire.HeaderPriority)); err == nil {
		c.priority = p
	}
	if n, err := strconv.Atoi(r.Header.Get(wire.HeaderLastEventID)); err == nil && c.stream {
		c.resumeAfter = max(n, 0)
	}
	return c
}

// token returns the i-th token, which depends only on artifact, prompt and i.
func (c *completion) token(i int) string {
	h := xxhash.Sum64String(c.artifact.String() + "\x00" + string(c.prompt) + "\x00" + strconv.Itoa(i))
	return vocabulary[h%uint64(len(vocabulary))]
}

// runCompletion waits for a batch slot, runs the prefill and writes the response.
func (e *Engine) runCompletion(ctx context.Context, w http.ResponseWriter, c *completion) error {
	if err := e.sched.acquire(ctx, c.priority); err != nil {
		return err
	}
	defer e.sched.release()
	if err := e.prefillPrompt(ctx, c); err != nil {
		return err
	}
	if c.stream {
		return e.writeStream(ctx, w, c)
	}
	return e.writeFull(ctx, w, c)
}

func (e *Engine) prefillPrompt(ctx context.Context, c *completion) error {
	prefixes := api.Prefixes(c.artifact.String(), c.prompt)
	cached := e.cache.match(prefixes) * api.BlockBytes
	tokens := (len(c.prompt)-cached)/api.BytesPerToken + c.resumeAfter
	cost := time.Duration(tokens) * e.scaled(e.opts.Timing.PrefillPerToken)
	if err := e.sched.runPrefill(ctx, cost); err != nil {
		return err
	}
	e.cache.add(prefixes)
	return nil
}

// decodeStep returns the time between two tokens at the current batch size.
func (e *Engine) decodeStep() time.Duration {
	running, _ := e.sched.load()
	slowdown := 1 + e.opts.Timing.DecodeSlowdown*float64(max(running-1, 0))
	return time.Duration(float64(e.scaled(e.opts.Timing.DecodeStep)) * slowdown)
}

func (e *Engine) writeStream(ctx context.Context, w http.ResponseWriter, c *completion) error {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	controller := http.NewResponseController(w)
	next := time.Now()
	for i := c.resumeAfter + 1; i <= c.tokens; i++ {
		if err := c.writeEvent(w, i, c.token(i), ""); err != nil {
			return err
		}
		_ = controller.Flush()
		next = next.Add(e.decodeStep())
		if err := sleepUntil(ctx, next); err != nil {
			return err
		}
	}
	if err := c.writeEvent(w, c.tokens+1, "", "length"); err != nil {
		return err
	}
	_, err := io.WriteString(w, "data: [DONE]\n\n")
	return err
}

func (c *completion) writeEvent(w io.Writer, id int, text, finish string) error {
	raw, err := json.Marshal(c.streamChunk(text, finish))
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", id, raw)
	return err
}

func (e *Engine) writeFull(ctx context.Context, w http.ResponseWriter, c *completion) error {
	var text strings.Builder
	next := time.Now()
	for i := 1; i <= c.tokens; i++ {
		text.WriteString(c.token(i))
		next = next.Add(e.decodeStep())
		if err := sleepUntil(ctx, next); err != nil {
			return err
		}
	}
	w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(w).Encode(c.fullResponse(text.String()))
}

func withoutCancel(r *http.Request) context.Context { return context.WithoutCancel(r.Context()) }
