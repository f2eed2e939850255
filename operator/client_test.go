package operator

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"peridotchute.example/common/fault"
	"peridotchute.example/operator/api"
)

const testKey = "0123456789abcdef-operator"

func newTestClient(t *testing.T, h http.HandlerFunc) *Client {
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	path := filepath.Join(t.TempDir(), "key")
	assert.NilError(t, os.WriteFile(path, []byte(testKey+"\n"), 0o600))
	c, err := New(Options{URL: s.URL, KeyFile: path})
	assert.NilError(t, err)
	return c
}

func TestAcceptRetriesSameDigestAfterLostResponse(t *testing.T) {
	var digests []string
	c := newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
		var req api.AcceptRequest
		assert.Check(t, json.NewDecoder(r.Body).Decode(&req))
		digests = append(digests, req.Digest)
		if len(digests) < 3 {
			panic(http.ErrAbortHandler)
		}
		_ = json.NewEncoder(w).Encode(api.AcceptReply{Version: 7, Digest: req.Digest})
	})
	reply, err := c.Accept(context.Background(), "d")
	assert.NilError(t, err)
	assert.Equal(t, reply.Version, uint64(7))
	assert.DeepEqual(t, digests, []string{"d", "d", "d"})
}

// TestAcceptStaysUnknownAfterLostResponse stops the server after it received an
// accept. The retries cannot connect, but the first request may have taken effect.
func TestAcceptStaysUnknownAfterLostResponse(t *testing.T) {
	var server *httptest.Server
	server = httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		_ = server.Listener.Close()
		panic(http.ErrAbortHandler)
	}))
	defer server.Close()
	path := filepath.Join(t.TempDir(), "key")
	assert.NilError(t, os.WriteFile(path, []byte(testKey), 0o600))
	c, err := New(Options{URL: server.URL, KeyFile: path})
	assert.NilError(t, err)
	_, err = c.Accept(context.Background(), "d")
	assert.Equal(t, fault.KindOf(err), fault.KindUnknown)
	_, err = c.Accept(context.Background(), "d")
	assert.Equal(t, fault.KindOf(err), fault.KindUnavailable, "nothing can be sent to a closed address")
}

func TestAcceptIsNotRetriedAfterConflict(t *testing.T) {
	calls := 0
	c := newTestClient(t, func(w http.ResponseWriter, _ *http.Request) {
		calls++
		w.WriteHeader(http.StatusConflict)
		_ = json.NewEncoder(w).Encode(api.Error{})
	})
	_, err := c.Accept(context.Background(), "d")
	assert.Equal(t, fault.KindOf(err), fault.KindConflict)
	assert.Equal(t, calls, 1)
}

func TestKeyIsNotSentToRedirectTarget(t *testing.T) {
	authorization := ""
	target := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		authorization = r.Header.Get("Authorization")
	}))
	defer target.Close()
	c := newTestClient(t, func(w http.ResponseWriter, r *http.Request) { http.Redirect(w, r, target.URL, http.StatusFound) })
	_, err := c.Status(context.Background())
	assert.Assert(t, err != nil)
	assert.Equal(t, authorization, "")
	assert.Assert(t, !strings.Contains(err.Error(), testKey))
}

func TestFollowReturnsOnceAllMembersHaveVersion(t *testing.T) {
	calls := 0
	c := newTestClient(t, func(w http.ResponseWriter, _ *http.Request) {
		calls++
		versionOfB := uint64(1)
		if calls > 2 {
			versionOfB = 2
		}
		_ = json.NewEncoder(w).Encode(api.Status{Members: []api.Member{
			{Name: "a", Version: 2}, {Name: "b", Version: versionOfB}, {Name: "c", State: api.StateRemoved},
		}})
	})
	var reports []Rollout
	rollout, err := c.Follow(context.Background(), 2, func(r Rollout) { reports = append(reports, r) })
	assert.NilError(t, err)
	assert.Assert(t, rollout.Done())
	assert.DeepEqual(t, reports, []Rollout{{Version: 2, Updated: 1, Behind: []string{"b"}}, {Version: 2, Updated: 2}})
}
