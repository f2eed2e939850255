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

func newClient(t *testing.T, h http.HandlerFunc) *Client {
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	path := filepath.Join(t.TempDir(), "key")
	assert.NilError(t, os.WriteFile(path, []byte(testKey+"\n"), 0o600))
	c, err := New(Options{URL: s.URL, KeyFile: path})
	assert.NilError(t, err)
	return c
}

func TestAcceptIsRepeatedWithTheSameDigestWhenItsAnswerIsLost(t *testing.T) {
	var digests []string
	c := newClient(t, func(w http.ResponseWriter, r *http.Request) {
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

// TestAcceptStaysUnknownAfterALostAnswer lets the server die after it took an
// accept: that nothing more can be sent does not mean that nothing was done.
func TestAcceptStaysUnknownAfterALostAnswer(t *testing.T) {
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
	assert.Equal(t, fault.KindOf(err), fault.KindUnavailable, "nothing was sent to a dead address")
}

func TestAcceptIsNotRepeatedAfterARefusal(t *testing.T) {
	calls := 0
	c := newClient(t, func(w http.ResponseWriter, _ *http.Request) {
		calls++
		w.WriteHeader(http.StatusConflict)
		_ = json.NewEncoder(w).Encode(api.Error{})
	})
	_, err := c.Accept(context.Background(), "d")
	assert.Equal(t, fault.KindOf(err), fault.KindConflict)
	assert.Equal(t, calls, 1)
}

func TestKeyIsNotSentToARedirect(t *testing.T) {
	stolen := ""
	thief := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		stolen = r.Header.Get("Authorization")
	}))
	defer thief.Close()
	c := newClient(t, func(w http.ResponseWriter, r *http.Request) { http.Redirect(w, r, thief.URL, http.StatusFound) })
	_, err := c.Status(context.Background())
	assert.Assert(t, err != nil)
	assert.Equal(t, stolen, "")
	assert.Assert(t, !strings.Contains(err.Error(), testKey))
}

func TestFollowEndsWhenEveryMemberHasTheVersion(t *testing.T) {
	looks := 0
	c := newClient(t, func(w http.ResponseWriter, _ *http.Request) {
		looks++
		second := uint64(1)
		if looks > 2 {
			second = 2
		}
		_ = json.NewEncoder(w).Encode(api.Status{Members: []api.Member{
			{Name: "a", Version: 2}, {Name: "b", Version: second}, {Name: "c", State: api.StateGone},
		}})
	})
	var seen []Spread
	spread, err := c.Follow(context.Background(), 2, func(s Spread) { seen = append(seen, s) })
	assert.NilError(t, err)
	assert.Assert(t, spread.Done())
	assert.DeepEqual(t, seen, []Spread{{Version: 2, Have: 1, Behind: []string{"b"}}, {Version: 2, Have: 2}})
}
