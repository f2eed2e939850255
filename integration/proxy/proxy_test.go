package proxy

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const responseBytes = 64 << 10

// get returns the length of the response read through the proxy on a new
// connection.
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
		_, _ = io.WriteString(w, strings.Repeat("x", responseBytes))
	}))
	defer upstream.Close()
	s := NewServer()
	defer s.Close()
	address, err := s.Open("a", "b", "data", strings.TrimPrefix(upstream.URL, "http://"))
	assert.NilError(t, err)
	link := s.Between("a", "b")
	assertFullResponse := func() {
		t.Helper()
		n, err := get(address)
		assert.NilError(t, err)
		assert.Equal(t, n, responseBytes)
	}
	assertFullResponse()
	faults := []func() error{
		func() error { return link.CutResponseAfter(1000) },
		link.DropResponses,
		link.Blackhole,
		func() error { return link.ResetConnections(0) },
	}
	for _, fault := range faults {
		assert.NilError(t, fault())
		_, err := get(address)
		assert.Assert(t, err != nil)
		assert.NilError(t, link.Heal(context.Background()))
		assertFullResponse()
	}
	assert.NilError(t, link.Cut())
	_, err = get(address)
	assert.Assert(t, err != nil)
	assert.NilError(t, link.Restore())
	assertFullResponse()
	assert.ErrorContains(t, s.Between("b", "a").Cut(), "no proxy")
	assert.NilError(t, s.LinksOf("b").Cut())
}

// ephemeralRange is the file with the ports that the kernel gives to outgoing
// connections and to listeners without a fixed port.
const ephemeralRange = "/proc/sys/net/ipv4/ip_local_port_range"

// TestAddressIsKeptWhileCut checks that the kernel gives a proxy's port to nobody
// else while the link is cut.
func TestAddressIsKeptWhileCut(t *testing.T) {
	s := NewServer()
	defer s.Close()
	address, err := s.Open("a", "b", "data", "127.0.0.1:1")
	assert.NilError(t, err)
	_, text, err := net.SplitHostPort(address)
	assert.NilError(t, err)
	port, err := strconv.Atoi(text)
	assert.NilError(t, err)
	content, err := os.ReadFile(ephemeralRange)
	assert.NilError(t, err)
	var first, last int
	_, err = fmt.Sscan(string(content), &first, &last)
	assert.NilError(t, err)
	assert.Assert(t, port < first || port > last, "port %d lies in %d to %d", port, first, last)
}
