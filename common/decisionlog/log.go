package decisionlog

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"io"
	"time"

	"github.com/sirupsen/logrus"

	"peridotchute.example/common/event"
	"peridotchute.example/common/ring"
)

const (
	// ringCapacity is the maximum number of records that wait for the writer: two
	// seconds of a burst of 100 requests/s that all fail with five lines each.
	ringCapacity = 1024
	// batchInterval is how long records are collected before they are written. A
	// process that is killed loses at most the records of one interval.
	batchInterval = 100 * time.Millisecond
	// maxWriteBytes is the maximum size of a write call: Linux writes up to
	// PIPE_BUF bytes to a pipe atomically, so that no reader sees a partial line.
	maxWriteBytes = 4096
	// reportInterval is how often the numbers of lines left out are logged.
	reportInterval = 5 * time.Second
	// runIDBytes is the length of a run id, which distinguishes restarts of a node.
	runIDBytes = 3
)

// Record is the content of one log line. Only types of this package implement it.
type Record interface {
	// Event returns the event that the record belongs to.
	Event() event.Event
	encode(e *encoder)
}

// Options configure a Log.
type Options struct {
	Node    string       // name of the VM
	Out     io.Writer    // receives whole lines, several per call
	Level   logrus.Level // least severe level that is written; zero means Info
	Observe func(Record) // called for each record, including those left out; may be nil
}

// Log is the decision log of a process. It is safe for concurrent use. The fields
// buffer, formatter and lastReport are used by Run only.
type Log struct {
	opts       Options
	started    time.Time
	lines      *ring.Ring[line]
	limits     *limits
	buffer     bytes.Buffer // formatted lines that are not yet written
	formatter  *formatter   // writes to buffer
	lastReport time.Time    // when the lines left out were last reported
}

// line is a record that waits for the writer.
type line struct {
	timestamp time.Time
	request   string
	record    Record
}

// New returns a log. Nothing is written before Run.
func New(opts Options) *Log {
	if opts.Level == logrus.PanicLevel {
		opts.Level = logrus.InfoLevel
	}
	now := time.Now()
	l := &Log{
		opts:       opts,
		started:    now,
		lines:      ring.New[line](ringCapacity, ring.Reject),
		limits:     newLimits(now),
		lastReport: now,
	}
	l.formatter = newFormatter(&l.buffer, opts.Node, runID(), now)
	return l
}

func runID() string {
	id := make([]byte, runIDBytes)
	_, _ = rand.Read(id) // documented to never fail
	return hex.EncodeToString(id)
}

// Write adds a record that belongs to no request. It never blocks.
func (l *Log) Write(r Record) {
	if l == nil {
		return
	}
	l.observe(r)
	l.offer(line{timestamp: time.Now(), record: r})
}

func (l *Log) observe(r Record) {
	if l.opts.Observe != nil {
		l.opts.Observe(r)
	}
}

// offer queues a line for the writer unless its level or a limit excludes it.
func (l *Log) offer(ln line) {
	e := ln.record.Event()
	if e.Level > l.opts.Level {
		return
	}
	if !l.limits.admit(e, ln.timestamp, l.lines.Len()) {
		return
	}
	if !l.lines.Offer(ln) {
		l.limits.leftOut(e)
	}
}

// Run writes the lines until ctx ends, then writes the remaining ones and
// returns.
func (l *Log) Run(ctx context.Context) {
	for ctx.Err() == nil {
		l.awaitBatch(ctx)
		l.drain()
		l.report(time.Now())
		l.flush(l.buffer.Len())
	}
	l.drain()
	l.logLeftOut()
	l.flush(l.buffer.Len())
}

// awaitBatch waits up to reportInterval for a line, formats it, and then lets
// others collect for batchInterval.
func (l *Log) awaitBatch(ctx context.Context) {
	wait, cancel := context.WithTimeout(ctx, reportInterval)
	defer cancel()
	first, err := l.lines.Take(wait)
	if err != nil {
		return
	}
	l.add(first)
	batch := time.NewTimer(batchInterval)
	defer batch.Stop()
	select {
	case <-batch.C:
	case <-ctx.Done():
	}
}

// drain formats all lines that wait in the ring.
func (l *Log) drain() {
	for {
		ln, ok := l.lines.TryTake()
		if !ok {
			return
		}
		l.add(ln)
	}
}

// add appends a formatted line to the buffer. If the buffer then exceeds
// maxWriteBytes, add writes out the earlier lines.
func (l *Log) add(ln line) {
	before := l.buffer.Len()
	l.formatter.write(ln)
	if before > 0 && l.buffer.Len() > maxWriteBytes {
		l.flush(before)
	}
}

// report logs the lines left out, at most once per reportInterval.
func (l *Log) report(now time.Time) {
	if now.Sub(l.lastReport) < reportInterval {
		return
	}
	l.lastReport = now
	l.logLeftOut()
}

func (l *Log) logLeftOut() {
	counts := l.limits.resetLeftOut()
	if len(counts) == 0 {
		return
	}
	l.add(line{timestamp: time.Now(), record: leftOut{counts: counts}})
}

// flush writes the first n bytes of the buffer. Lines whose write fails are not
// retried but counted as left out, since there is no other place to log the error.
func (l *Log) flush(n int) {
	if n == 0 {
		return
	}
	chunk := l.buffer.Next(n)
	lines := int64(bytes.Count(chunk, []byte{'\n'}))
	if _, err := l.opts.Out.Write(chunk); err != nil {
		l.limits.failedWrites.Add(lines)
	} else {
		l.limits.written.Add(lines)
	}
}

// Counts holds the numbers of lines since the start of the process.
type Counts struct {
	Written int64
	LeftOut int64 // over a rate limit, the ring was too full, or the write failed
}

// Counts returns the numbers of lines since the start of the process.
func (l *Log) Counts() Counts {
	if l == nil {
		return Counts{}
	}
	return l.limits.totals()
}
