package decisionlog

import (
	"context"
	"io"
	"testing"
	"time"
)

func recordTrace(l *Log, end Record) {
	t := l.Trace("9c41d07be2a35f68")
	t.Add(Routed{Route: "r1", Service: "llm", Model: "daka510000", PromptTokens: 9190, Deadline: 6 * time.Second, ConfigVersion: 412})
	t.Add(Chosen{Server: "i-7f3a91c2", Zone: "tweed-a", Attempt: 1, Waited: 31 * time.Millisecond, Expected: 310 * time.Millisecond, Backlog: 240 * time.Millisecond, Candidates: 3, ViewAge: 400 * time.Millisecond})
	t.End(end)
}

var (
	benchServed = Finished{Outcome: OutcomeServed, Status: 200, Service: "llm", Route: "r1", Model: "daka510000", Server: "i-7f3a91c2", Attempts: 1, Expected: 310 * time.Millisecond, FirstByte: 300 * time.Millisecond, Total: time.Second, Objective: 800 * time.Millisecond, Bytes: 4000, Events: 13, ConfigVersion: 412}
	benchLate   = func() Finished { f := benchServed; f.Outcome = OutcomeLate; return f }()
)

// BenchmarkServedLeftOut measures a served request whose line is over the rate
// limit.
func BenchmarkServedLeftOut(b *testing.B) {
	l := New(Options{Node: "edge-tweed-a-1", Out: io.Discard})
	for range limitOf[success].burst {
		l.Write(benchServed)
	}
	b.ReportAllocs()
	for b.Loop() {
		recordTrace(l, benchServed)
	}
}

// BenchmarkServedWritten measures a served request, including the formatting of
// its line.
func BenchmarkServedWritten(b *testing.B) { benchmarkWritten(b, benchServed) }

// BenchmarkLateWritten measures a late request, including the formatting of its
// two lines.
func BenchmarkLateWritten(b *testing.B) { benchmarkWritten(b, benchLate) }

func benchmarkWritten(b *testing.B, end Record) {
	out := &countingWriter{}
	l := New(Options{Node: "edge-tweed-a-1", Out: out})
	removeRateLimits(l.limits)
	b.ReportAllocs()
	for b.Loop() {
		recordTrace(l, end)
		l.drain()
	}
	l.flush(l.buffer.Len())
	b.ReportMetric(float64(out.bytes)/float64(b.N), "bytes/request")
}

// removeRateLimits makes the log write every line.
func removeRateLimits(l *limits) {
	for _, el := range l.events {
		el.bucket.SetBurst(1 << 30)
		el.bucket.SetLimit(1 << 30)
	}
}

// BenchmarkRun measures writes while Run is running; most lines are left out.
func BenchmarkRun(b *testing.B) {
	l := New(Options{Node: "edge-tweed-a-1", Out: io.Discard})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); l.Run(ctx) }()
	b.ReportAllocs()
	for b.Loop() {
		l.Write(benchServed)
	}
	cancel()
	<-done
}

type countingWriter struct{ bytes int64 }

func (w *countingWriter) Write(p []byte) (int, error) {
	w.bytes += int64(len(p))
	return len(p), nil
}
