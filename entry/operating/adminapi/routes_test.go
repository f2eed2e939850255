package adminapi

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/gorilla/mux"
	"gotest.tools/v3/assert"

	"peridotchute.example/config"
	"peridotchute.example/entry/serving/action"
	"peridotchute.example/operator/api"
	"peridotchute.example/standin/faults"
	"peridotchute.example/store"
)

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
	visited := 0
	err := f.router.Walk(func(r *mux.Route, _ *mux.Router, _ []*mux.Route) error {
		methods, err := r.GetMethods()
		if err != nil {
			return nil // the subrouter itself
		}
		path, err := r.GetPathTemplate()
		assert.NilError(t, err)
		for _, method := range methods {
			visited++
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
	assert.Equal(t, visited, len(roles))
	for _, key := range []string{readKey, planKey, acceptKey, "no such key"} {
		assert.Assert(t, !strings.Contains(f.log.String(), key), "a key is in the log")
	}
}

func TestPlanThenAcceptByDigest(t *testing.T) {
	f := newFixture(t)
	plan := post[api.Plan](f, planKey, api.PathPlan, declarationFor(1), http.StatusOK)
	assert.Equal(t, plan.Configuration.Version, uint64(1))
	assert.Equal(t, len(plan.Effects.Moves), 1)
	assert.Equal(t, plan.Effects.Memory[0].After, int64(60))
	assert.Equal(t, f.holder.Version(), uint64(0), "a plan changed the configuration")

	reply := post[api.AcceptReply](f, acceptKey, api.PathAccept, digestBody(plan.Digest), http.StatusOK)
	assert.Equal(t, reply.Version, uint64(1))
	repeated := post[api.AcceptReply](f, acceptKey, api.PathAccept, digestBody(plan.Digest), http.StatusOK)
	assert.Equal(t, repeated.Version, uint64(1), "repeating an accept made another version")

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

func TestUnknownOrForgedDigestIsRejected(t *testing.T) {
	f := newFixture(t)
	post[api.Error](f, acceptKey, api.PathAccept, digestBody(strings.Repeat("0", 64)), http.StatusNotFound)
	post[api.Error](f, acceptKey, api.PathAccept, digestBody("../../etc"), http.StatusBadRequest)

	plan := post[api.Plan](f, planKey, api.PathPlan, declarationFor(1), http.StatusOK)
	plan.Configuration.Models[0].MemoryBytes = 1
	forged, err := json.Marshal(plan)
	assert.NilError(t, err)
	obj := store.NewObjects(store.ObjectSettings{URL: startServer(t, f.objects), Bucket: "b"})
	assert.NilError(t, obj.Put(context.Background(), planPrefix+plan.Digest, forged))
	post[api.Error](f, acceptKey, api.PathAccept, digestBody(plan.Digest), http.StatusInternalServerError)
	assert.Equal(t, f.holder.Version(), uint64(0))
}

func TestStaleDigestIsRejectedWithDifference(t *testing.T) {
	f := newFixture(t)
	f.acceptNew(1)
	stale := post[api.Plan](f, planKey, api.PathPlan, declarationFor(2), http.StatusOK)
	other := strings.Replace(declarationFor(1), `"memory_bytes": 60`, `"memory_bytes": 70`, 1)
	plan := post[api.Plan](f, planKey, api.PathPlan, other, http.StatusOK)
	post[api.AcceptReply](f, acceptKey, api.PathAccept, digestBody(plan.Digest), http.StatusOK)

	rejected := post[api.Error](f, acceptKey, api.PathAccept, digestBody(stale.Digest), http.StatusConflict)
	assert.Equal(t, rejected.Difference.String(), "~ models fly: memory_bytes: 60 -> 70")
	edited := strings.Replace(declarationFor(3), "{", `{"version": 1,`, 1)
	rejected = post[api.Error](f, planKey, api.PathPlan, edited, http.StatusConflict)
	assert.Equal(t, rejected.Difference.String(), "~ models fly: memory_bytes: 60 -> 70")
	assert.Equal(t, f.holder.Version(), uint64(2))
}

func TestOneOfTwoConcurrentAcceptsSucceeds(t *testing.T) {
	f := newFixture(t)
	const rounds = 200
	for round := range rounds {
		var codes [2]int
		var bodies [2]string
		var plans [2]api.Plan
		for i := range plans {
			plans[i] = post[api.Plan](f, planKey, api.PathPlan, declarationFor(2*round+i), http.StatusOK)
		}
		f.faulty.holdHeadReads(len(plans))
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

func TestAcceptWithLostResponseTakesEffectOnce(t *testing.T) {
	f := newFixture(t)
	f.acceptNew(1)
	f.faulty.lossyKey, f.faulty.lossesLeft = "config/head", 1
	assert.Equal(t, f.acceptNew(2).Version, uint64(2))
	assert.Equal(t, f.faulty.lossesLeft, 0)
	assert.Equal(t, get[api.Status](f, api.PathStatus).Head, uint64(2))
}

func TestNoChangeWhileStoreIsDown(t *testing.T) {
	f := newFixture(t)
	f.acceptNew(1)
	plan := post[api.Plan](f, planKey, api.PathPlan, declarationFor(2), http.StatusOK)

	f.table.Set(faults.Settings{Down: true})
	rejected := post[api.Error](f, acceptKey, api.PathAccept, digestBody(plan.Digest), http.StatusServiceUnavailable)
	assert.Equal(t, rejected.Error.Code, api.CodeUnavailable)
	post[api.Error](f, acceptKey, api.PathDrain, `{"server": "gpu-1"}`, http.StatusServiceUnavailable)
	assert.Equal(t, len(f.drained), 0, "drained without an audit record")
	status := get[api.Status](f, api.PathStatus)
	assert.Equal(t, status.Version, uint64(1))
	assert.Assert(t, status.StoreErr != "")

	f.table.Set(faults.Settings{})
	f.objects.Set(faults.Settings{Down: true})
	post[api.Error](f, planKey, api.PathPlan, declarationFor(3), http.StatusServiceUnavailable)
	f.objects.Set(faults.Settings{})
	post[api.AcceptReply](f, acceptKey, api.PathAccept, digestBody(plan.Digest), http.StatusOK)
}

func TestRevertPlansNewVersion(t *testing.T) {
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
		{"declaration unknown field", api.PathPlan, strings.Replace(declarationFor(1), "pools", "pool", 1), http.StatusUnprocessableEntity},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			rejected := post[api.Error](f, acceptKey, tc.path, tc.body, tc.status)
			assert.Assert(t, rejected.Error.Message != "")
			if tc.status == http.StatusUnprocessableEntity {
				assert.Equal(t, rejected.Problems[0].Line, 3)
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
				assert.Equal(t, errorStatusOf(err).httpStatus, http.StatusBadRequest)
			}
		}
	})
}
