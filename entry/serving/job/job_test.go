package job

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"peridotchute.example/common/wire"
	"peridotchute.example/config"
	"peridotchute.example/entry/serving/dispatch"
	"peridotchute.example/standin/faults"
	"peridotchute.example/standin/table"
	"peridotchute.example/store"
)

// fakeBackend counts its runs and returns the configured response or failure.
type fakeBackend struct {
	runs   int
	answer http.HandlerFunc
	fail   *wire.Failure
}

func (b *fakeBackend) Serve(_ context.Context, w http.ResponseWriter, _ dispatch.Request) *wire.Failure {
	b.runs++
	if b.fail == nil {
		b.answer(w, nil)
	}
	return b.fail
}

func newServers(t *testing.T, b *fakeBackend) (*table.Server, *Server, *Server) {
	t.Helper()
	tab := table.New()
	web := httptest.NewServer(tab)
	t.Cleanup(web.Close)
	holder := config.NewHolder()
	holder.SetIfNewer(&config.Configuration{Version: 1})
	newServer := func(name string) *Server {
		return New(Options{
			Entry: name, Holder: holder, Backend: b, Actions: b, Log: logrus.New(),
			Table:       store.NewTable(store.TableSettings{URL: web.URL, Name: "t"}),
			ShardFilter: func(context.Context, int) func(string) bool { return func(string) bool { return true } },
		})
	}
	return tab, newServer("e1"), newServer("e2")
}

func accept(t *testing.T, s *Server) ref {
	t.Helper()
	w := httptest.NewRecorder()
	f := s.Accept(context.Background(), w, dispatch.Request{Team: "a/b", Key: "k", Method: "POST", Path: "/briefing", Idempotent: true})
	assert.Assert(t, f == nil)
	assert.Equal(t, w.Code, http.StatusAccepted)
	return ref{team: "a/b", id: jobID("a/b", "k")}
}

func serveComplete(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("whole")) }

func TestFailedAndAbortedAttemptsAreRetried(t *testing.T) {
	b := &fakeBackend{fail: wire.NewFailure(http.StatusServiceUnavailable, wire.OutcomeNotRun, "no_server", "none")}
	_, s, _ := newServers(t, b)
	job := accept(t, s)
	ctx := context.Background()
	s.run(ctx, job)
	b.fail, b.answer = nil, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("wh"))
		panic(http.ErrAbortHandler)
	}
	s.run(ctx, job)
	b.answer = serveComplete
	s.run(ctx, job)
	s.run(ctx, job)
	assert.Equal(t, b.runs, 3)
	rec, _, err := s.read(ctx, job.team, job.id)
	assert.NilError(t, err)
	assert.Equal(t, rec.State, StateDone)
	assert.Equal(t, string(rec.Answer.Body), "whole")
}

func TestLostWriteResponsesKeepLease(t *testing.T) {
	b := &fakeBackend{answer: serveComplete}
	tab, s, _ := newServers(t, b)
	job := accept(t, s)
	tab.Set(faults.Settings{LoseNext: 2, Match: "PutItem"})
	s.run(context.Background(), job)
	rec, _, err := s.read(context.Background(), job.team, job.id)
	assert.NilError(t, err)
	assert.Equal(t, rec.State, StateDone)
	assert.Equal(t, b.runs, 1)
}

// TestLateWriteOfPreviousLeaseHolderIsRejected guards against a frozen lease
// holder that overwrites the result of the entry that took over its job.
func TestLateWriteOfPreviousLeaseHolderIsRejected(t *testing.T) {
	b := &fakeBackend{answer: serveComplete}
	_, frozen, other := newServers(t, b)
	job := accept(t, frozen)
	ctx := context.Background()
	l, ok := frozen.acquireLease(ctx, job)
	assert.Assert(t, ok)
	scanner := newScanner(other)
	now := time.Now()
	scanner.scan(ctx, now)
	scanner.scan(ctx, now.Add(leaseDuration-time.Second))
	assert.Equal(t, other.queue.Len(), 0)
	scanner.scan(ctx, now.Add(leaseDuration))
	assert.Equal(t, other.queue.Len(), 1)
	other.run(ctx, job)
	l.finish(ctx, &wire.Answer{Status: 200, Body: []byte("late")}, nil)
	rec, _, err := other.read(ctx, job.team, job.id)
	assert.NilError(t, err)
	assert.Equal(t, string(rec.Answer.Body), "whole")
	assert.Equal(t, rec.Holder, "e2")
}
