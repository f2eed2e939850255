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
	"peridotchute.example/entry/serving/action"
	"peridotchute.example/operator/api"
	"peridotchute.example/standin/objects"
	"peridotchute.example/standin/table"
	"peridotchute.example/standin/vmlist"
	"peridotchute.example/store"
)

// Operator keys.
const (
	readKey   = "key-of-the-reader-0000"
	planKey   = "key-of-the-planner-000"
	acceptKey = "key-of-the-acceptor-00"
)

const declarationFormat = `{
  "regions": [{"name": "east", "zones": ["e1"]}],
  "pools": [{"name": "gpu", "memory_bytes": 100, "servers": 1}],
  "models": [{"name": "fly", "version": "1", "pool": "gpu", "memory_bytes": 60}],
  "teams": [{"name": "shop", "key_hashes": ["%064d"]}],
  "policy": {"attainment_weight": 1}
}`

func declarationFor(n int) string { return fmt.Sprintf(declarationFormat, n) }

// faultyTable loses the responses of writes to one key after they took effect, and
// delays reads of the head until a number of them have arrived.
type faultyTable struct {
	store.Table
	mu           sync.Mutex
	lossyKey     string // whose write responses are lost
	lossesLeft   int
	pendingReads int            // reads of the head that still have to arrive
	release      sync.WaitGroup // done when they have all arrived
}

// holdHeadReads delays the next n reads of the head until all of them have arrived.
func (f *faultyTable) holdHeadReads(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pendingReads = n
	f.release.Add(n)
}

func (f *faultyTable) Get(ctx context.Context, key string) (store.Row, error) {
	row, err := f.Table.Get(ctx, key)
	f.mu.Lock()
	wait := f.pendingReads > 0 && key == "config/head"
	if wait {
		f.pendingReads--
		f.release.Done()
	}
	f.mu.Unlock()
	if wait {
		f.release.Wait()
	}
	return row, err
}

func (f *faultyTable) loseResponse(key string, row store.Row, err error) (store.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil || key != f.lossyKey || f.lossesLeft == 0 {
		return row, err
	}
	f.lossesLeft--
	return store.Row{}, fault.Newf(fault.KindUnknown, "table.put", "", "response lost")
}

func (f *faultyTable) PutIfAbsent(ctx context.Context, key string, value []byte) (store.Row, error) {
	row, err := f.Table.PutIfAbsent(ctx, key, value)
	return f.loseResponse(key, row, err)
}

func (f *faultyTable) CompareAndSet(ctx context.Context, key, version string, value []byte) (store.Row, error) {
	row, err := f.Table.CompareAndSet(ctx, key, version, value)
	return f.loseResponse(key, row, err)
}

// fixture is the API of one entry, with stand-ins for the platform's services.
type fixture struct {
	t       *testing.T
	router  *mux.Router
	table   *table.Server
	objects *objects.Server
	vms     *vmlist.Server
	faulty  *faultyTable
	holder  *config.Holder
	log     bytes.Buffer
	drained []string
	settled []action.Verdict
}

// Unresolved lists one action.
func (f *fixture) Unresolved(context.Context, string, int) ([]action.Unresolved, string, error) {
	return []action.Unresolved{{Team: "shop", Key: "charge-1", Attempt: 1, Server: "till-1", Reason: "side process gone"}}, "shop/charge-1", nil
}

// Resolve records the verdict.
func (f *fixture) Resolve(_ context.Context, v action.Verdict) error {
	if v.Key != "charge-1" {
		return fault.Newf(fault.KindNotFound, "settle", "", "%q is not known", v.Key)
	}
	f.settled = append(f.settled, v)
	return nil
}

func startServer(t *testing.T, h http.Handler) string {
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
	tab := store.NewTable(store.TableSettings{URL: startServer(t, f.table), Name: "t"})
	obj := store.NewObjects(store.ObjectSettings{URL: startServer(t, f.objects), Bucket: "b"})
	f.faulty = &faultyTable{Table: tab}
	New(Options{
		Entry: "entry-1", Keys: keys, Store: publish.New(f.faulty, obj), Holder: f.holder, Table: tab, Objects: obj,
		VMs: store.NewVMs(store.VMSettings{URL: startServer(t, f.vms)}),
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

// post sends a request, checks the status and decodes the response.
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
	plan := post[api.Plan](f, planKey, api.PathPlan, declarationFor(n), http.StatusOK)
	return post[api.AcceptReply](f, acceptKey, api.PathAccept, digestBody(plan.Digest), http.StatusOK)
}

func digestBody(digest string) string { return fmt.Sprintf(`{"digest": %q}`, digest) }
