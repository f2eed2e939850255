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
	// ringCapacity is the number of records that wait for the writer: two
	// seconds of a burst of 100 requests/s that all fail with five lines each.
	ringCapacity = 1024
	// batchInterval is how long records gather before they are written; a
	// process that is killed loses at most these.
	batchInterval = 100 * time.Millisecond
	// writeBytes is the most that is written with one call: what Linux puts
	// into a pipe as a whole, so that no reader sees half a line.
	writeBytes = 4096
	// reportInterval is how often lines that were left out are told.
	reportInterval = 5 * time.Second
	// runIDBytes make the id of a process's run; it tells restarts of one node apart.
	runIDBytes = 3
)

// Record is one line of the log. The types of this package implement it.
type Record interface {
	// Event returns the catalogue entry of the line.
	Event() event.Event
	encode(e *encoder)
}

// Options of a log.
type Options struct {
	Node    string       // name of the VM
	Out     io.Writer    // gets whole lines, many in one call
	Level   logrus.Level // least severe level that is written; zero stands for Info
	Observe func(Record) // called for each record, also for those left out; may be nil
}

// Log is a process's log of decisions. It is safe for concurrent use.
type Log struct {
	opts    Options
	started time.Time
	lines   *ring.Ring[line]
	limits  *limits
	buffer  bytes.Buffer // of the duty
	format  *formatter   // of the duty
	told    time.Time    // when lines left out were last told; of the duty
}

// line is a record on its way to the writer.
type line struct {
	at      time.Time
	request string
	record  Record
}

// New returns a log. Nothing is written before Run.
func New(opts Options) *Log {
	if opts.Level == logrus.PanicLevel {
		opts.Level = logrus.InfoLevel
	}
	now := time.Now()
	l := &Log{
		opts:    opts,
		started: now,
		lines:   ring.New[line](ringCapacity, ring.Reject),
		limits:  newLimits(now),
		told:    now,
	}
	l.format = newFormatter(&l.buffer, opts.Node, runID(), now)
	return l
}

func runID() string {
	id := make([]byte, runIDBytes)
	_, _ = rand.Read(id) // never fails, by its documentation
	return hex.EncodeToString(id)
}

// Write adds a record that belongs to no request. It never blocks.
func (l *Log) Write(r Record) {
	if l == nil {
		return
	}
	l.observe(r)
	l.offer(line{at: time.Now(), record: r})
}

func (l *Log) observe(r Record) {
	if l.opts.Observe != nil {
		l.opts.Observe(r)
	}
}

// offer passes a line to the writer unless its event is over its limits.
func (l *Log) offer(n line) {
	e := n.record.Event()
	if e.Level > l.opts.Level {
		return
	}
	if !l.limits.admit(e, n.at, l.lines.Len()) {
		return
	}
	if !l.lines.Offer(n) {
		l.limits.leftOut(e)
	}
}

// Run is the duty that writes the lines, until ctx ends; then it writes what is
// left and returns.
func (l *Log) Run(ctx context.Context) {
	for ctx.Err() == nil {
		l.gather(ctx)
		l.drain()
		l.report(time.Now())
		l.flush(l.buffer.Len())
	}
	l.drain()
	l.tellLeftOut()
	l.flush(l.buffer.Len())
}

// gather waits for a first line and then for others to come, but no longer than
// until lines left out are told again.
func (l *Log) gather(ctx context.Context) {
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

// drain formats all waiting lines.
func (l *Log) drain() {
	for {
		n, ok := l.lines.TryTake()
		if !ok {
			return
		}
		l.add(n)
	}
}

// add formats a line, and writes those before it when they would not fit into
// one write together.
func (l *Log) add(n line) {
	before := l.buffer.Len()
	l.format.write(n)
	if before > 0 && l.buffer.Len() > writeBytes {
		l.flush(before)
	}
}

// report tells what was left out, when it is time to.
func (l *Log) report(now time.Time) {
	if now.Sub(l.told) < reportInterval {
		return
	}
	l.told = now
	l.tellLeftOut()
}

func (l *Log) tellLeftOut() {
	counts := l.limits.takeLeftOut()
	if len(counts) == 0 {
		return
	}
	l.add(line{at: time.Now(), record: leftOut{counts: counts}})
}

// flush writes the first n bytes of the formatted lines. An error has no other
// place to be told, and the lines cannot be written later either: they count as
// left out.
func (l *Log) flush(n int) {
	if n == 0 {
		return
	}
	whole := l.buffer.Next(n)
	lines := int64(bytes.Count(whole, []byte{'\n'}))
	if _, err := l.opts.Out.Write(whole); err != nil {
		l.limits.unwritten.Add(lines)
	} else {
		l.limits.written.Add(lines)
	}
}

// Counts are the numbers of lines since the start of the process.
type Counts struct {
	Written int64
	LeftOut int64 // over the rate of their event, the ring was too full, or writing failed
}

// Counts returns the numbers of lines so far.
func (l *Log) Counts() Counts {
	if l == nil {
		return Counts{}
	}
	return l.limits.totals()
}
