package action

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"peridotchute.example/common/wire"
	"peridotchute.example/idempotency"
)

const incarnation = "i1"

func newTestRegister(opts Options) *Register {
	opts.Incarnation = incarnation
	if opts.Retention == nil {
		opts.Retention = func() time.Duration { return time.Hour }
	}
	return NewRegister(opts)
}

func claim(key string, attempt int) wire.Claim {
	return wire.Claim{Key: key, Attempt: attempt, Incarnation: incarnation}
}

func TestActionStartsOnceAndOnlyInItsIncarnation(t *testing.T) {
	r := newTestRegister(Options{})
	assert.Equal(t, r.Start(wire.Claim{Key: "k", Attempt: 1, Incarnation: "i0"}), RefusedIncarnation)
	assert.Equal(t, r.Start(claim("k", 1)), Refusal(""))
	assert.Equal(t, r.Start(claim("k", 1)), RefusedStarted)
	assert.Equal(t, r.Start(claim("k", 2)), RefusedStarted)
}

func TestFencedAttemptNeverStarts(t *testing.T) {
	r := newTestRegister(Options{})
	verdict, _ := r.Fence(claim("k", 1))
	assert.Equal(t, verdict, idempotency.VerdictFenced)
	assert.Equal(t, r.Start(claim("k", 1)), RefusedFenced)
	assert.Equal(t, r.Start(claim("k", 2)), Refusal(""))
	verdict, _ = r.Fence(claim("k", 2))
	assert.Equal(t, verdict, idempotency.VerdictRunning)
	verdict, _ = r.Fence(wire.Claim{Key: "k", Attempt: 2, Incarnation: "i0"})
	assert.Equal(t, verdict, idempotency.VerdictForgotten)
}

func TestNextAttemptStartsAfterABrokenOne(t *testing.T) {
	r := newTestRegister(Options{})
	assert.Equal(t, r.Start(claim("k", 1)), Refusal(""))
	r.Finish(claim("k", 1), idempotency.EndBroken, nil)
	assert.Equal(t, r.Start(claim("k", 1)), RefusedStarted)
	assert.Equal(t, r.Start(claim("k", 2)), Refusal(""))
}

func TestFullRegisterRejectsAttemptsUntilRetentionEnds(t *testing.T) {
	now := time.Unix(0, 0)
	r := newTestRegister(Options{MaxActions: 2, Now: func() time.Time { return now }})
	assert.Equal(t, r.Start(claim("a", 1)), Refusal(""))
	_, _ = r.Fence(claim("b", 1))
	assert.Equal(t, r.Start(claim("c", 1)), RefusedFull)
	verdict, _ := r.Fence(claim("c", 1))
	assert.Equal(t, verdict, idempotency.VerdictAbsent)
	now = now.Add(2 * time.Hour)
	assert.Equal(t, r.Start(claim("c", 1)), Refusal(""))
	verdict, _ = r.Outcome(claim("a", 1))
	assert.Equal(t, verdict, idempotency.VerdictRunning)
}

func TestOldAnswersAreDroppedButActionsAreRemembered(t *testing.T) {
	r := newTestRegister(Options{MaxBytes: 10})
	for _, key := range []string{"a", "b"} {
		r.Start(claim(key, 1))
		r.Finish(claim(key, 1), idempotency.EndComplete, &wire.Answer{Body: []byte("12345678")})
	}
	verdict, answer := r.Outcome(claim("a", 1))
	assert.Equal(t, verdict, idempotency.VerdictDone)
	assert.Assert(t, answer == nil)
	_, answer = r.Outcome(wire.Claim{Key: "b"})
	assert.Equal(t, string(answer.Body), "12345678")
}

// runAttempt runs one attempt behind an HTTP server and returns the register, the
// verdict on the attempt and the recorded answer.
func runAttempt(t *testing.T, serve http.HandlerFunc) (*Register, idempotency.Verdict, *wire.Answer) {
	t.Helper()
	register := newTestRegister(Options{})
	runner := NewRunner(register, logrus.New())
	done := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer close(done)
		runner.Run(w, r, claim("k", 1), serve)
	}))
	defer server.Close()
	resp, err := http.Post(server.URL, "text/plain", strings.NewReader("body"))
	if err == nil {
		assert.NilError(t, resp.Body.Close())
	}
	<-done
	verdict, answer := register.Outcome(claim("k", 1))
	return register, verdict, answer
}

func TestVerdictAfterAnAttempt(t *testing.T) {
	_, verdict, answer := runAttempt(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Location", "/charges/1")
		w.WriteHeader(http.StatusCreated)
		_, _ = w.Write([]byte("whole"))
	})
	assert.Equal(t, verdict, idempotency.VerdictDone)
	assert.Equal(t, answer.Status, http.StatusCreated)
	assert.Equal(t, answer.Header.Get("Location"), "/charges/1")
	assert.Equal(t, string(answer.Body), "whole")

	_, verdict, _ = runAttempt(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("cu"))
		panic(http.ErrAbortHandler)
	})
	assert.Equal(t, verdict, idempotency.VerdictLost)

	register, verdict, _ := runAttempt(t, func(w http.ResponseWriter, _ *http.Request) {
		wire.NewFailure(http.StatusBadGateway, wire.OutcomeNotRun, "backend_unreachable", "refused").Write(w)
	})
	assert.Equal(t, verdict, idempotency.VerdictFenced)
	assert.Equal(t, register.Start(claim("k", 2)), Refusal(""))
}

func TestRunContinuesAfterItsEntryDisconnects(t *testing.T) {
	register := newTestRegister(Options{})
	runner := NewRunner(register, logrus.New())
	started, finish, done := make(chan struct{}), make(chan struct{}), make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer close(done)
		runner.Run(w, r, claim("k", 1), func(w http.ResponseWriter, r *http.Request) {
			close(started)
			<-finish
			assert.Check(t, r.Context().Err() == nil)
			_, _ = w.Write([]byte("whole"))
		})
	}))
	defer server.Close()
	client := &http.Client{Transport: &http.Transport{}}
	go func() {
		<-started
		server.CloseClientConnections()
		close(finish)
	}()
	_, err := client.Post(server.URL, "text/plain", strings.NewReader("body"))
	assert.Assert(t, err != nil)
	<-done
	verdict, answer := register.Outcome(claim("k", 1))
	assert.Equal(t, verdict, idempotency.VerdictDone)
	assert.Equal(t, string(answer.Body), "whole")
}
