package adminapi

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"github.com/gorilla/mux"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"peridotchute.example/common/fault"
	"peridotchute.example/config"
	"peridotchute.example/config/publish"
	"peridotchute.example/entry/action"
	"peridotchute.example/operator/api"
	"peridotchute.example/platform"
	"peridotchute.example/standin/faults"
	"peridotchute.example/standin/objects"
	"peridotchute.example/standin/table"
	"peridotchute.example/standin/vmlist"
)

// Keys of the operators in tests.
const (
	readKey   = "key-of-the-reader-0000"
	planKey   = "key-of-the-planner-000"
	acceptKey = "key-of-the-acceptor-00"
)

const declaration = `{
  "regions": [{"name": "east", "zones": ["e1"]}],
  "pools": [{"name": "gpu", "memory_bytes": 100, "servers": 1}],
  "models": [{"name": "fly", "version": "1", "pool": "gpu", "memory_bytes": 60}],
  "teams": [{"name": "shop", "key_hashes": ["%064d"]}],
  "policy": {"attainment_weight": 1}
}`

func declared(n int) string { return fmt.Sprintf(declaration, n) }

// losing loses the answers of writes of one key after they took effect, and
// holds reads of the head until several have come.
type losing struct {
	platform.Table
	mu     sync.Mutex
	key    string
	left   int
	meet   int            // reads still to be held
	answer sync.WaitGroup // released by the last of them
}

// hold makes the next n reads of the head answer together.
func (l *losing) hold(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.meet = n
	l.answer.Add(n)
}

func (l *losing) Get(ctx context.Context, key string) (platform.Row, error) {
	row, err := l.Table.Get(ctx, key)
	l.mu.Lock()
	held := l.meet > 0 && key == "config/head"
	if held {
		l.meet--
		l.answer.Done()
	}
	l.mu.Unlock()
	if held {
		l.answer.Wait()
	}
	return row, err
}

func (l *losing) lose(key string, row platform.Row, err error) (platform.Row, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil || key != l.key || l.left == 0 {
		return row, err
	}
	l.left--
	return platform.Row{}, fault.Newf(fault.KindUnknown, "table.put", "", "answer lost")
}

func (l *losing) PutIfAbsent(ctx context.Context, key string, value []byte) (platform.Row, error) {
	row, err := l.Table.PutIfAbsent(ctx, key, value)
	return l.lose(key, row, err)
}

func (l *losing) CompareAndSet(ctx context.Context, key, version string, value []byte) (platform.Row, error) {
	row, err := l.Table.CompareAndSet(ctx, key, version, value)
	return l.lose(key, row, err)
}

// fixture is one entry's API over stand-ins of the platform.
type fixture struct {
	t       *testing.T
	router  *mux.Router
	table   *table.Server
	objects *objects.Server
	vms     *vmlist.Server
	losing  *losing
	holder  *config.Holder
	log     bytes.Buffer
	drained []string
	settled []action.Verdict
}

// Unresolved lists one action.
func (f *fixture) Unresolved(context.Context, string, int) ([]action.Unresolved, string, error) {
	return []action.Unresolved{{Team: "shop", Key: "charge-1", Attempt: 1, Server: "till-1", Reason: "side process gone"}}, "shop/charge-1", nil
}

// Resolve records the call.
func (f *fixture) Resolve(_ context.Context, v action.Verdict) error {
	if v.Key != "charge-1" {
		return fault.Newf(fault.KindNotFound, "settle", "", "%q is not known", v.Key)
	}
	f.settled = append(f.settled, v)
	return nil
}

func serve(t *testing.T, h http.Handler) string {
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return s.URL
}

func keyFile(t *testing.T) string {
	path := filepath.Join(t.TempDir(), "operators.json")
	text := fmt.Sprintf(`{"operators": [
		{"name": "rita", "key_sha256": %q, "roles": ["read"]},
		{"name": "paul", "key_sha256": %q, "roles": ["plan"]},
		{"name": "anna", "key_sha256": %q, "roles": ["plan", "accept"]}, // both
	]}`, config.HashKey(readKey), config.HashKey(planKey), config.HashKey(acceptKey))
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{t: t, table: table.New(), objects: objects.New(), vms: vmlist.New(), holder: config.NewHolder(), router: mux.NewRouter()}
	log := logrus.New()
	log.SetOutput(&f.log)
	keys, err := LoadKeys(keyFile(t), log)
	assert.NilError(t, err)
	tab := platform.NewTable(platform.TableSettings{URL: serve(t, f.table), Name: "t"})
	obj := platform.NewObjects(platform.ObjectSettings{URL: serve(t, f.objects), Bucket: "b"})
	f.losing = &losing{Table: tab}
	New(Options{
		Entry: "entry-1", Keys: keys, Store: publish.New(f.losing, obj), Holder: f.holder, Table: tab, Objects: obj,
		VMs: platform.NewVMs(platform.VMSettings{URL: serve(t, f.vms)}),
		Members: func(context.Context) []api.Member {
			return []api.Member{{Name: "entry-1", Role: "entry", State: "serving"}}
		},
		Actions: f,
		Drain: func(_ context.Context, server string) (int, error) {
			f.drained = append(f.drained, server)
			return 3, nil
		},
		Dump: func() map[string]any { return map[string]any{"identity": "entry-1"} },
		Log:  log,
	}).Register(f.router)
	return f
}

// send returns the status and the body of one request.
func (f *fixture) send(key, method, path, body string) (int, string) {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	w := httptest.NewRecorder()
	f.router.ServeHTTP(w, r)
	return w.Code, w.Body.String()
}

// post sends a request that must have the given status and decodes its answer.
func post[T any](f *fixture, key, path, body string, status int) T {
	f.t.Helper()
	code, text := f.send(key, http.MethodPost, api.Prefix+path, body)
	assert.Equal(f.t, code, status, text)
	return decode[T](f, text)
}

func get[T any](f *fixture, path string) T {
	f.t.Helper()
	code, text := f.send(readKey, http.MethodGet, api.Prefix+path, "")
	assert.Equal(f.t, code, http.StatusOK, text)
	return decode[T](f, text)
}

func decode[T any](f *fixture, text string) T {
	f.t.Helper()
	var v T
	assert.NilError(f.t, json.Unmarshal([]byte(text), &v))
	return v
}

func (f *fixture) acceptNew(n int) api.AcceptReply {
	f.t.Helper()
	plan := post[api.Plan](f, planKey, api.PathPlan, declared(n), http.StatusOK)
	return post[api.AcceptReply](f, acceptKey, api.PathAccept, digestBody(plan.Digest), http.StatusOK)
}

func digestBody(digest string) string { return fmt.Sprintf(`{"digest": %q}`, digest) }

func TestEveryRouteRequiresItsRole(t *testing.T) {
	f := newFixture(t)
	granted := map[api.Role][]string{
		api.RoleRead:   {readKey, planKey, acceptKey},
		api.RolePlan:   {planKey, acceptKey},
		api.RoleAccept: {acceptKey},
	}
	roles := map[string]api.Role{}
	for _, rt := range (&API{}).routes() {
		roles[rt.method+" "+api.Prefix+rt.path] = rt.role
	}
	walked := 0
	err := f.router.Walk(func(r *mux.Route, _ *mux.Router, _ []*mux.Route) error {
		methods, err := r.GetMethods()
		if err != nil {
			return nil // the subrouter itself
		}
		path, err := r.GetPathTemplate()
		assert.NilError(t, err)
		for _, method := range methods {
			walked++
			role, known := roles[method+" "+path]
			assert.Assert(t, known, "%s %s", method, path)
			for _, wrong := range []string{"", "no such key", readKey + "x", config.HashKey(acceptKey)} {
				code, _ := f.send(wrong, method, path, "{}")
				assert.Equal(t, code, http.StatusUnauthorized, "%s %s with %q", method, path, wrong)
			}
			for _, key := range []string{readKey, planKey, acceptKey} {
				code, _ := f.send(key, method, path, "{}")
				allowed := strings.Contains(strings.Join(granted[role], " "), key)
				assert.Equal(t, code != http.StatusForbidden, allowed, "%s %s with %s: %d", method, path, key, code)
				assert.Assert(t, code != http.StatusUnauthorized)
			}
		}
		return nil
	})
	assert.NilError(t, err)
	assert.Equal(t, walked, len(roles))
	for _, key := range []string{readKey, planKey, acceptKey, "no such key"} {
		assert.Assert(t, !strings.Contains(f.log.String(), key), "a key is in the log")
	}
}

func TestPlanThenAcceptByDigest(t *testing.T) {
	f := newFixture(t)
	plan := post[api.Plan](f, planKey, api.PathPlan, declared(1), http.StatusOK)
	assert.Equal(t, plan.Configuration.Version, uint64(1))
	assert.Equal(t, len(plan.Effects.Moves), 1)
	assert.Equal(t, plan.Effects.Memory[0].After, int64(60))
	assert.Equal(t, f.holder.Version(), uint64(0), "a plan changed something")

	reply := post[api.AcceptReply](f, acceptKey, api.PathAccept, digestBody(plan.Digest), http.StatusOK)
	assert.Equal(t, reply.Version, uint64(1))
	again := post[api.AcceptReply](f, acceptKey, api.PathAccept, digestBody(plan.Digest), http.StatusOK)
	assert.Equal(t, again.Version, uint64(1), "repeating an accept made another version")

	status := get[api.Status](f, api.PathStatus)
	assert.Equal(t, status.Version, uint64(1))
	assert.Equal(t, status.Digest, plan.Digest)
	history := get[api.History](f, api.PathHistory)
	assert.Equal(t, len(history.Versions), 1)
	assert.Equal(t, history.Versions[0].Operator, "anna")
	audit := get[api.Audit](f, api.PathAudit)
	assert.Equal(t, len(audit.Records), 2)
	assert.Equal(t, audit.Records[0].Operator, "anna")
	assert.Equal(t, audit.Records[0].Result, "done")
}

func TestUnseenDigestIsRefused(t *testing.T) {
	f := newFixture(t)
	post[api.Error](f, acceptKey, api.PathAccept, digestBody(strings.Repeat("0", 64)), http.StatusNotFound)
	post[api.Error](f, acceptKey, api.PathAccept, digestBody("../../etc"), http.StatusBadRequest)

	plan := post[api.Plan](f, planKey, api.PathPlan, declared(1), http.StatusOK)
	plan.Configuration.Models[0].MemoryBytes = 1
	forged, err := json.Marshal(plan)
	assert.NilError(t, err)
	obj := platform.NewObjects(platform.ObjectSettings{URL: serve(t, f.objects), Bucket: "b"})
	assert.NilError(t, obj.Put(context.Background(), planPrefix+plan.Digest, forged))
	post[api.Error](f, acceptKey, api.PathAccept, digestBody(plan.Digest), http.StatusInternalServerError)
	assert.Equal(t, f.holder.Version(), uint64(0))
}

func TestStaleDigestIsRefusedWithTheDifference(t *testing.T) {
	f := newFixture(t)
	f.acceptNew(1)
	stale := post[api.Plan](f, planKey, api.PathPlan, declared(2), http.StatusOK)
	other := strings.Replace(declared(1), `"memory_bytes": 60`, `"memory_bytes": 70`, 1)
	plan := post[api.Plan](f, planKey, api.PathPlan, other, http.StatusOK)
	post[api.AcceptReply](f, acceptKey, api.PathAccept, digestBody(plan.Digest), http.StatusOK)

	refused := post[api.Error](f, acceptKey, api.PathAccept, digestBody(stale.Digest), http.StatusConflict)
	assert.Equal(t, refused.Difference.String(), "~ models fly: memory_bytes: 60 -> 70")
	edited := strings.Replace(declared(3), "{", `{"version": 1,`, 1)
	refused = post[api.Error](f, planKey, api.PathPlan, edited, http.StatusConflict)
	assert.Equal(t, refused.Difference.String(), "~ models fly: memory_bytes: 60 -> 70")
	assert.Equal(t, f.holder.Version(), uint64(2))
}

func TestOneOfTwoOperatorsWins(t *testing.T) {
	f := newFixture(t)
	const rounds = 200
	for round := range rounds {
		var codes [2]int
		var bodies [2]string
		var plans [2]api.Plan
		for i := range plans {
			plans[i] = post[api.Plan](f, planKey, api.PathPlan, declared(2*round+i), http.StatusOK)
		}
		f.losing.hold(len(plans))
		var wg sync.WaitGroup
		for i, plan := range plans {
			wg.Go(func() {
				codes[i], bodies[i] = f.send(acceptKey, http.MethodPost, api.Prefix+api.PathAccept, digestBody(plan.Digest))
			})
		}
		wg.Wait()
		assert.Equal(t, codes[0]+codes[1], http.StatusOK+http.StatusConflict, "round %d: %s", round, bodies)
		assert.Equal(t, f.holder.Version(), uint64(round+1))
	}
}

func TestAcceptWhoseAnswerWasLostTakesEffectOnce(t *testing.T) {
	f := newFixture(t)
	f.acceptNew(1)
	f.losing.key, f.losing.left = "config/head", 1
	assert.Equal(t, f.acceptNew(2).Version, uint64(2))
	assert.Equal(t, f.losing.left, 0)
	assert.Equal(t, get[api.Status](f, api.PathStatus).Head, uint64(2))
}

func TestStoreDownChangesNothing(t *testing.T) {
	f := newFixture(t)
	f.acceptNew(1)
	plan := post[api.Plan](f, planKey, api.PathPlan, declared(2), http.StatusOK)

	f.table.Set(faults.Settings{Down: true})
	refused := post[api.Error](f, acceptKey, api.PathAccept, digestBody(plan.Digest), http.StatusServiceUnavailable)
	assert.Equal(t, refused.Error.Code, api.CodeUnavailable)
	post[api.Error](f, acceptKey, api.PathDrain, `{"server": "gpu-1"}`, http.StatusServiceUnavailable)
	assert.Equal(t, len(f.drained), 0, "drained without an audit record")
	status := get[api.Status](f, api.PathStatus)
	assert.Equal(t, status.Version, uint64(1))
	assert.Assert(t, status.StoreErr != "")

	f.table.Set(faults.Settings{})
	f.objects.Set(faults.Settings{Down: true})
	post[api.Error](f, planKey, api.PathPlan, declared(3), http.StatusServiceUnavailable)
	f.objects.Set(faults.Settings{})
	post[api.AcceptReply](f, acceptKey, api.PathAccept, digestBody(plan.Digest), http.StatusOK)
}

func TestRevertIsPlannedAsANewVersion(t *testing.T) {
	f := newFixture(t)
	f.acceptNew(1)
	f.acceptNew(2)
	plan := post[api.Plan](f, planKey, api.PathRevert, `{"version": 1}`, http.StatusOK)
	assert.Equal(t, plan.Configuration.Version, uint64(3))
	assert.Equal(t, plan.RevertOf, uint64(1))
	post[api.AcceptReply](f, acceptKey, api.PathAccept, digestBody(plan.Digest), http.StatusOK)
	now := get[config.Configuration](f, api.PathConfiguration)
	assert.Equal(t, now.Version, uint64(3))
	assert.Equal(t, now.Teams[0].KeyHashes[0], fmt.Sprintf("%064d", 1))
	post[api.Error](f, planKey, api.PathRevert, `{"version": 9}`, http.StatusNotFound)
}

func TestBadBodies(t *testing.T) {
	f := newFixture(t)
	tests := []struct {
		name, path, body string
		status           int
	}{
		{"unknown field", api.PathAccept, `{"digest": "x", "force": true}`, http.StatusBadRequest},
		{"field twice", api.PathDrain, `{"server": "a", "server": "b"}`, http.StatusBadRequest},
		{"wrong type", api.PathSettle, `{"key": 1}`, http.StatusBadRequest},
		{"note missing", api.PathSettle, `{"team": "shop", "key": "charge-1", "ran": true}`, http.StatusBadRequest},
		{"not listed", api.PathSettle, `{"team": "shop", "key": "other", "ran": true, "note": "n"}`, http.StatusNotFound},
		{"no server", api.PathDrain, `{}`, http.StatusBadRequest},
		{"too large", api.PathAccept, strings.Repeat(" ", api.MaxRequestBytes+1), http.StatusRequestEntityTooLarge},
		{"declaration too large", api.PathPlan, strings.Repeat(" ", api.MaxDeclarationBytes+1), http.StatusRequestEntityTooLarge},
		{"declaration unknown field", api.PathPlan, strings.Replace(declared(1), "pools", "pool", 1), http.StatusUnprocessableEntity},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			refused := post[api.Error](f, acceptKey, tc.path, tc.body, tc.status)
			assert.Assert(t, refused.Error.Message != "")
			if tc.status == http.StatusUnprocessableEntity {
				assert.Equal(t, refused.Problems[0].Line, 3)
			}
		})
	}
	assert.Equal(t, len(f.drained)+len(f.settled), 0)
}

func TestSettleAndDrain(t *testing.T) {
	f := newFixture(t)
	list := get[api.UnresolvedList](f, api.PathUnresolved+"?limit=1")
	assert.Equal(t, list.Next, "shop/charge-1")
	post[api.SettleReply](f, acceptKey, api.PathSettle, `{"team": "shop", "key": "charge-1", "ran": true, "note": "seen in the bank's list"}`, http.StatusOK)
	assert.Equal(t, f.settled[0], action.Verdict{Team: "shop", Key: "charge-1", Ran: true, Operator: "anna", Note: "seen in the bank's list"})
	reply := post[api.DrainReply](f, acceptKey, api.PathDrain, `{"server": "gpu-1"}`, http.StatusOK)
	assert.Equal(t, reply.InFlight, 3)
	assert.Equal(t, len(get[api.Audit](f, api.PathAudit).Records), 2)
}

func FuzzBodies(f *testing.F) {
	f.Add(`{"digest": "00"}`)
	f.Add(`{"team": "shop", "key": "charge-1", "ran": true, "note": "n"}`)
	f.Add(`{"server": "a"} // c`)
	f.Add(`{"version": 18446744073709551615}`)
	f.Fuzz(func(t *testing.T, body string) {
		for _, target := range []any{&api.AcceptRequest{}, &api.SettleRequest{}, &api.DrainRequest{}, &api.RevertRequest{}} {
			if err := parseBody([]byte(body), target); err != nil {
				assert.Equal(t, answerOf(err).status, http.StatusBadRequest)
			}
		}
	})
}
