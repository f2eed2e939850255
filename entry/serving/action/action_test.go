package action

import (
	"context"
	"fmt"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"peridotchute.example/common/fault"
	"peridotchute.example/common/wire"
	"peridotchute.example/entry/serving/dispatch"
	"peridotchute.example/idempotency"
	"peridotchute.example/standin/faults"
	"peridotchute.example/standin/table"
	"peridotchute.example/store"
)

// fakeServer is a backend server with its side process, and also the Sender and
// Querier of its fixture.
type fakeServer struct {
	mu             sync.Mutex
	mark           idempotency.Mark
	runs           int
	forgotten      bool // the side process has lost its record of the action
	breaksAfterRun bool // the connection breaks after the action ran
	breaksEarly    bool // the connection breaks before the attempt arrives
}

func (f *fakeServer) Choose(string) idempotency.Event {
	return idempotency.Chosen{Server: "s0", Incarnation: "i0"}
}

func (f *fakeServer) Send(_ context.Context, rec idempotency.Record) idempotency.Event {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.breaksEarly {
		return idempotency.Broken{}
	}
	mark, ok := f.mark.Start(rec.Attempt)
	if !ok {
		return idempotency.NotStarted{Reason: "barred"}
	}
	f.runs++
	f.mark = mark.Finish(idempotency.EndWhole)
	if f.breaksAfterRun {
		return idempotency.Broken{}
	}
	return idempotency.Answered{Answer: fakeAnswer()}
}

func fakeAnswer() *wire.Answer { return &wire.Answer{Status: 201, Body: []byte("receipt")} }

func (f *fakeServer) QueryOrFence(_ context.Context, rec idempotency.Record, fence bool) idempotency.Event {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.forgotten {
		return idempotency.VerdictResult{Verdict: idempotency.VerdictForgotten}
	}
	verdict := f.mark.Look(rec.Attempt)
	if fence {
		f.mark, verdict = f.mark.Bar(rec.Attempt)
	}
	if verdict == idempotency.VerdictDone {
		return idempotency.VerdictResult{Verdict: verdict, Answer: fakeAnswer()}
	}
	return idempotency.VerdictResult{Verdict: verdict}
}

func (f *fakeServer) Lookup(context.Context, string, string) idempotency.LookupResult {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.runs > 0 {
		return idempotency.LookupResult{Verdict: idempotency.VerdictDone, Answer: fakeAnswer(), Conclusive: true}
	}
	return idempotency.LookupResult{Verdict: idempotency.VerdictAbsent, Conclusive: true}
}

type fixture struct {
	table  *table.Server
	client store.Table
	server *fakeServer
	runner *Runner
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	tab := table.New()
	web := httptest.NewServer(tab)
	t.Cleanup(web.Close)
	f := &fixture{table: tab, server: &fakeServer{}}
	f.client = store.NewTable(store.TableSettings{URL: web.URL, Name: "t"})
	f.runner = NewRunner(f.client, nil, f.server, logrus.New())
	return f
}

func newAction(key, token string) idempotency.Action {
	return idempotency.Action{
		Team: "till/4", Key: key, Entry: "e0", Token: token, Digest: "d",
		Retention: time.Hour, Deadline: time.Now().Add(20 * time.Second),
	}
}

func (f *fixture) run(key, token string) idempotency.Reply {
	_, reply := f.runner.run(context.Background(), newAction(key, token), "tills", f.server)
	return reply
}

func TestRepeatGetsTheStoredAnswer(t *testing.T) {
	f := newFixture(t)
	for _, token := range []string{"a", "b"} {
		reply := f.run("k", token)
		assert.Equal(t, reply.Outcome, wire.OutcomeCompleted)
		assert.Equal(t, string(reply.Answer.Body), "receipt")
	}
	assert.Equal(t, f.server.runs, 1)
	assert.Equal(t, f.table.Counts().Writes, int64(3))
}

func TestLostWriteResponseIsReadBack(t *testing.T) {
	for n := 1; n <= 2; n++ {
		f := newFixture(t)
		f.table.Set(faults.Settings{LoseNext: n, Match: "PutItem"})
		reply := f.run("k", "a")
		assert.Equal(t, reply.Outcome, wire.OutcomeCompleted)
		assert.Equal(t, f.server.runs, 1)
		assert.Assert(t, !reply.Unsettled)
	}
}

func TestStoreDown(t *testing.T) {
	f := newFixture(t)
	f.table.Set(faults.Settings{Down: true})
	reply := f.run("k", "a")
	assert.Equal(t, reply.Outcome, wire.OutcomeNotRun)
	assert.Equal(t, reply.Code, idempotency.CodeStoreDown)
	assert.Equal(t, f.server.runs, 0)

	f.table.Set(faults.Settings{})
	assert.Equal(t, f.run("k", "b").Outcome, wire.OutcomeCompleted)
	f.table.Set(faults.Settings{Down: true})
	reply = f.run("k", "c")
	assert.Equal(t, reply.Outcome, wire.OutcomeCompleted, "a repeat of an action that ran must not get not-run")
	assert.Equal(t, f.server.runs, 1)
}

func TestRejectedRepeatIsNotReportedNotRun(t *testing.T) {
	f := newFixture(t)
	ctx := context.Background()
	s := NewServer(Options{Runner: f.runner})
	refuse := func(key string) wire.Outcome {
		failure := wire.NewFailure(429, wire.OutcomeNotRun, "overloaded", "too many requests")
		return s.Refuse(ctx, dispatch.Request{Team: "till/4", Key: key}, failure).Outcome
	}
	assert.Equal(t, refuse("k"), wire.OutcomeNotRun)
	assert.Equal(t, f.run("k", "a").Outcome, wire.OutcomeCompleted)
	assert.Equal(t, refuse("k"), wire.OutcomeUnknown)
	assert.Equal(t, refuse(""), wire.OutcomeNotRun)
}

func TestActionIsNotRepeatedAfterBrokenConnection(t *testing.T) {
	f := newFixture(t)
	f.server.breaksAfterRun = true
	assert.Equal(t, f.run("k", "a").Outcome, wire.OutcomeCompleted)
	assert.Equal(t, f.server.runs, 1)
}

func TestReconcilerSettlesAnOpenClaim(t *testing.T) {
	f := newFixture(t)
	ctx := context.Background()
	claim := idempotency.Record{Team: "till/4", Key: "k", Token: "dead.1", BodyDigest: "d", Attempt: 1, State: idempotency.StateClaimed}
	_, written := f.runner.rows.putIfAbsent(ctx, claim).(idempotency.Written)
	assert.Assert(t, written)
	r := NewReconciler(f.runner, noVMs{}, "e1", logrus.New())
	now := time.Now()
	r.Scan(ctx, now)
	r.Scan(ctx, now.Add(minOpenAge))
	row := f.runner.rows.read(ctx, "till/4", "k").(idempotency.Row)
	assert.Equal(t, row.Record.State, idempotency.StateNotRun)
	assert.Equal(t, f.run("k", "b").Outcome, wire.OutcomeCompleted)
}

func TestExpiredRowIsRemoved(t *testing.T) {
	f := newFixture(t)
	ctx := context.Background()
	assert.Equal(t, f.run("k", "a").Outcome, wire.OutcomeCompleted)
	r := NewReconciler(f.runner, noVMs{}, "e1", logrus.New())
	r.Scan(ctx, time.Now().Add(30*time.Minute))
	_, err := f.client.Get(ctx, actionKey("till/4", "k"))
	assert.NilError(t, err)
	r.Scan(ctx, time.Now().Add(2*time.Hour))
	_, err = f.client.Get(ctx, actionKey("till/4", "k"))
	assert.Assert(t, fault.Is(err, fault.KindNotFound))
}

type noVMs struct{}

func (noVMs) List(context.Context) ([]store.VM, error) { return nil, nil }

func TestUnresolvedIsListedAndSettled(t *testing.T) {
	f := newFixture(t)
	ctx := context.Background()
	f.server.breaksEarly, f.server.forgotten = true, true
	reply := f.run("k", "a")
	assert.Equal(t, reply.Outcome, wire.OutcomeUnknown)
	list, next, err := f.runner.Unresolved(ctx, "", 10)
	assert.NilError(t, err)
	assert.Equal(t, next, "")
	assert.Equal(t, len(list), 1)
	assert.Equal(t, list[0].Server, "s0")

	verdict := Verdict{Team: "till/4", Key: "k", Operator: "ann", Note: "not on the till's roll"}
	assert.NilError(t, f.runner.Resolve(ctx, verdict))
	assert.Assert(t, fault.Is(f.runner.Resolve(ctx, verdict), fault.KindConflict))
	list, _, err = f.runner.Unresolved(ctx, "", 10)
	assert.NilError(t, err)
	assert.Equal(t, len(list), 0)
	f.server.breaksEarly, f.server.forgotten = false, false
	assert.Equal(t, f.run("k", "b").Outcome, wire.OutcomeCompleted)
	assert.Equal(t, f.server.runs, 1)
}

func TestShardsAreDividedAmongEntries(t *testing.T) {
	entries := []string{"e0", "e1", "e2", "e3"}
	firsts := map[string]int{}
	for n := range shardCount {
		shard := fmt.Sprintf("%02x", n)
		ranks := map[int]string{}
		for _, e := range entries {
			ranks[rank(e, shard, entries)] = e
		}
		assert.Equal(t, len(ranks), len(entries), "two entries have the same rank in shard %s", shard)
		firsts[ranks[0]]++
		for _, e := range entries[:3] {
			assert.Assert(t, rank(e, shard, entries[:3]) <= rank(e, shard, entries), "the departure of an entry increased the rank of %s", e)
		}
	}
	assert.Equal(t, len(firsts), len(entries))
}

func TestBackupEntriesScanLessOften(t *testing.T) {
	scans := map[int]int{}
	for pass := range 18 {
		for r := range 5 {
			if due(r, pass) {
				scans[r]++
			}
		}
	}
	assert.DeepEqual(t, scans, map[int]int{0: 18, 1: 9, 2: 5})
}
