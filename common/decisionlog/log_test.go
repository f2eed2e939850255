package decisionlog

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotchute.example/common/event"
)

// written drains the log and returns all lines written so far.
func written(t *testing.T, l *Log, out *bytes.Buffer) []map[string]any {
	t.Helper()
	l.drain()
	l.flush(l.buffer.Len())
	var lines []map[string]any
	for _, text := range strings.Split(strings.TrimSpace(out.String()), "\n") {
		if text == "" {
			continue
		}
		line := map[string]any{}
		assert.NilError(t, json.Unmarshal([]byte(text), &line))
		lines = append(lines, line)
	}
	return lines
}

func events(lines []map[string]any) []int {
	var ids []int
	for _, line := range lines {
		ids = append(ids, int(line[FieldEvent].(float64)))
	}
	return ids
}

func newTestLog() (*Log, *bytes.Buffer) {
	out := &bytes.Buffer{}
	return New(Options{Node: "edge-1", Out: out}), out
}

func TestServedRequestIsOneLine(t *testing.T) {
	l, out := newTestLog()
	trace := l.Trace("a1")
	trace.Add(Routed{Route: "r1", Service: "llm"})
	trace.Add(Chosen{Server: "i-1", Attempt: 1})
	trace.End(Finished{Outcome: OutcomeServed, Server: "i-1", FirstByte: 1500 * time.Microsecond, Attempts: 1})

	lines := written(t, l, out)
	assert.DeepEqual(t, events(lines), []int{event.RequestServed.ID})
	assert.Equal(t, lines[0][FieldNode], "edge-1")
	assert.Equal(t, lines[0][FieldRequest], "a1")
	assert.Equal(t, lines[0]["first_byte_ms"], 1.5)
}

func TestTroubledRequestLogsAllItsDecisions(t *testing.T) {
	ends := map[string]struct {
		middle, end Record
		want        []int
	}{
		"refused": {
			end:  Refused{Reason: RefusedModelNotLoaded, Status: 503},
			want: []int{602, 605},
		},
		"late": {
			end:  Finished{Outcome: OutcomeLate},
			want: []int{602, 607},
		},
		"served after a retry": {
			middle: AttemptFailed{Server: "i-1", Kind: FailureReset, Err: errors.New("reset")},
			end:    Finished{Outcome: OutcomeServed},
			want:   []int{600, 602, 125, 606},
		},
		"caller left": {
			end:  Finished{Outcome: OutcomeCallerLeft},
			want: []int{602, 609},
		},
	}
	for name, c := range ends {
		t.Run(name, func(t *testing.T) {
			l, out := newTestLog()
			trace := l.Trace("a1")
			trace.Add(Routed{Route: "r1"})
			trace.Add(Chosen{Server: "i-1"})
			if c.middle != nil {
				trace.Add(c.middle)
			}
			trace.End(c.end)
			trace.End(Finished{Outcome: OutcomeFailed})
			assert.DeepEqual(t, events(written(t, l, out)), c.want)
		})
	}
}

// A failed attempt must be in the log even if the process is killed before the
// request ends.
func TestFailedAttemptIsWrittenAtOnce(t *testing.T) {
	l, out := newTestLog()
	trace := l.Trace("a1")
	trace.Add(Routed{Route: "r1"})
	trace.Add(AttemptFailed{Server: "i-1", Kind: FailureReset})
	assert.DeepEqual(t, events(written(t, l, out)), []int{600, 125})
}

func TestLongTraceIsBounded(t *testing.T) {
	l, out := newTestLog()
	trace := l.Trace("a1")
	for range traceCapacity + 3 {
		trace.Add(Chosen{Server: "i-1"})
	}
	trace.End(Refused{Reason: RefusedTooLate})
	lines := written(t, l, out)
	assert.Equal(t, len(lines), traceCapacity+2)
	assert.Equal(t, lines[traceCapacity]["count"], 3.0)
}

func TestFloodLeavesOutServedRequestsFirstAndCountsThem(t *testing.T) {
	l, out := newTestLog()
	const flood = 150
	for range flood {
		l.Trace("s").End(Finished{Outcome: OutcomeServed})
		l.Trace("r").End(Refused{Reason: RefusedTooLate})
	}
	l.drain()
	l.logLeftOut()
	lines := written(t, l, out)
	last := lines[len(lines)-1]
	assert.Equal(t, last[FieldEvent], float64(event.LogLinesLeftOut.ID))
	left := last["left_out"].(map[string]any)
	assert.Equal(t, left[event.RequestRefused.Name], nil)
	served := 0
	for _, id := range events(lines) {
		if id == event.RequestServed.ID {
			served++
		}
	}
	assert.Assert(t, served < flood)
	assert.Equal(t, left[event.RequestServed.Name], float64(flood-served))
	assert.Equal(t, l.Counts().LeftOut, int64(flood-served))
	assert.Equal(t, l.Counts().Written, int64(len(lines)))
}

func TestFullRingReservesCapacityForFailures(t *testing.T) {
	now := time.Now()
	l := newLimits(now)
	assert.Assert(t, l.admit(event.RequestServed, now, 0))
	assert.Assert(t, !l.admit(event.RequestServed, now, ringCapacity/4))
	assert.Assert(t, l.admit(event.ServerChosen, now, ringCapacity/4))
	assert.Assert(t, !l.admit(event.ServerChosen, now, ringCapacity/2))
	assert.Assert(t, l.admit(event.RequestRefused, now, ringCapacity-1))
	assert.DeepEqual(t, l.resetLeftOut(), map[string]int64{"request served": 1, "server chosen": 1})
	assert.Equal(t, len(l.resetLeftOut()), 0)
}

func TestRateRefills(t *testing.T) {
	now := time.Now()
	l := newLimits(now)
	for l.admit(event.RequestServed, now, 0) {
	}
	assert.Assert(t, !l.admit(event.RequestServed, now, 0))
	assert.Assert(t, l.admit(event.RequestServed, now.Add(time.Second), 0))
}

// blockedWriter blocks until it is released.
type blockedWriter struct{ release chan struct{} }

func (w blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	return len(p), nil
}

func TestBlockedWriterNeverBlocksARequest(t *testing.T) {
	out := blockedWriter{release: make(chan struct{})}
	l := New(Options{Node: "edge-1", Out: out})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); l.Run(ctx) }()
	for range 10 * ringCapacity {
		l.Write(StoreLost{Call: "servers"})
		l.Write(Refused{Reason: RefusedTooLate})
	}
	assert.Assert(t, l.Counts().LeftOut > 0)
	close(out.release)
	cancel()
	<-done
	assert.Equal(t, l.Counts().Written+l.Counts().LeftOut, int64(20*ringCapacity)+1) // one line reports those left out
}

func TestRunWritesRemainingLinesAtItsEnd(t *testing.T) {
	l, out := newTestLog()
	l.Write(Started{Role: "entry"})
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	l.Run(ctx)
	assert.Assert(t, strings.Contains(out.String(), `"process started"`))
}

// wholeLineWriter fails the test on a write with a partial line or of more than
// maxWriteBytes.
type wholeLineWriter struct{ t *testing.T }

func (w wholeLineWriter) Write(p []byte) (int, error) {
	assert.Assert(w.t, len(p) <= maxWriteBytes, "%d bytes", len(p))
	assert.Equal(w.t, p[len(p)-1], byte('\n'))
	return len(p), nil
}

func TestWritesContainWholeLines(t *testing.T) {
	l := New(Options{Node: "edge-1", Out: wholeLineWriter{t}})
	const lines = 100
	for range lines {
		l.Write(Refused{Reason: RefusedTooLate, Detail: strings.Repeat("x", 300)})
	}
	l.drain()
	l.flush(l.buffer.Len())
	assert.Equal(t, l.Counts().Written, int64(lines))
}

func TestObserverSeesEveryRecord(t *testing.T) {
	seen := 0
	l := New(Options{Out: io.Discard, Observe: func(Record) { seen++ }})
	trace := l.Trace("a1")
	trace.Add(Chosen{})
	trace.End(Finished{})
	l.Write(StoreLost{})
	assert.Equal(t, seen, 3)
}

func TestNilLogAcceptsEverything(t *testing.T) {
	var l *Log
	l.Write(StoreLost{})
	trace := l.Trace("a1")
	trace.Add(Chosen{})
	trace.End(Finished{})
	event.Log(l.Logger(), event.PeerLost)
	assert.Equal(t, l.Counts(), Counts{})
}

func TestLoggerWritesKnownEvents(t *testing.T) {
	l, out := newTestLog()
	log := l.Logger()
	event.Log(log, event.PeerLost, event.Peer("edge-2"), event.Request("a1"), event.Count(3), event.Err(errors.New("reset")))
	log.Info("without a number")
	lines := written(t, l, out)
	assert.DeepEqual(t, events(lines), []int{event.PeerLost.ID})
	assert.Equal(t, lines[0]["peer"], "edge-2")
	assert.Equal(t, lines[0][FieldRequest], "a1")
	assert.Equal(t, lines[0]["count"], 3.0)
	assert.Equal(t, lines[0]["error"], "reset")
}
