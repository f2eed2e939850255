package origins

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
)

// TestHeldUpSplitIsNotLogged has entries hold a split up. The log names each with its reason, once.
func TestHeldUpSplitIsNotLogged(t *testing.T) {
	var out bytes.Buffer
	log := logrus.New()
	log.SetOutput(&out)
	g := New(Options{Self: "a", Peers: link{net: newNetwork(0), self: "a"}, Log: log})
	in := readyInputs()
	in.members = []string{"b", "c", "d"}
	in.progress = map[string]*entryProgress{"b": told(in.now, Progress{}), "d": told(in.now, Progress{})}
	in.isConnected = func(entry string) bool { return entry != "d" }
	_, wait := nextSplits(in)
	now := time.Now()
	for range 40 { // ten seconds
		now = now.Add(reviewInterval)
		g.noteSplitWait(service, wait, now)
		g.logSplitWait(service, now)
	}
	assert.Equal(t, strings.Count(out.String(), "split held up"), 1, out.String())
	for _, want := range []string{"b restarted lately", "c has not told its progress", "d not connected", "count=3"} {
		assert.Assert(t, strings.Contains(out.String(), want), out.String())
	}
	g.noteSplitWait(service, splitWait{}, now)
	assert.Equal(t, len(g.splitWaits), 0)
}
