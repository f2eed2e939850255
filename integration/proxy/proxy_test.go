package proxy

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const answerBytes = 64 << 10

// get reads the answer through the link on a connection of its own.
func get(address string) (int, error) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + address)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return len(body), err
}

func TestFaultsApplyAndHeal(t *testing.T) {
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, strings.Repeat("x", answerBytes))
	}))
	defer upstream.Close()
	s := NewServer()
	defer s.Close()
	address, err := s.Open("a", "b", "data", strings.TrimPrefix(upstream.URL, "http://"))
	assert.NilError(t, err)
	link := s.Between("a", "b")
	whole := func() {
		t.Helper()
		n, err := get(address)
		assert.NilError(t, err)
		assert.Equal(t, n, answerBytes)
	}
	whole()
	faults := []func() error{
		func() error { return link.CutAnswerAfter(1000) },
		link.LoseAnswers,
		link.Blackhole,
		func() error { return link.ResetAnswers(0) },
	}
	for _, fault := range faults {
		assert.NilError(t, fault())
		_, err := get(address)
		assert.Assert(t, err != nil)
		assert.NilError(t, link.Heal(context.Background()))
		whole()
	}
	assert.NilError(t, link.Cut())
	_, err = get(address)
	assert.Assert(t, err != nil)
	assert.NilError(t, link.Restore())
	whole()
	assert.ErrorContains(t, s.Between("b", "a").Cut(), "no proxy")
	assert.NilError(t, s.Around("b").Cut())
}
