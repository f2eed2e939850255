package decisionlog

import (
	"io"
	"time"

	"github.com/sirupsen/logrus"
)

// Keys of the fields that lines have besides those of logrus.
const (
	FieldEvent   = "event"     // number of the event, see package event
	FieldNode    = "node"      // name of the VM
	FieldRun     = "run"       // random id that distinguishes runs of the process
	FieldOffset  = "offset_ms" // since the start of the process, by the monotonic clock
	FieldRequest = "request"   // id of the request; absent for lines about the process
)

const timestampFormat = "2006-01-02T15:04:05.000Z07:00"

// lineKey is the key under which a line is passed through logrus.
const lineKey = "line"

// formatter turns lines into JSON. It is not safe for concurrent use.
type formatter struct {
	log     *logrus.Logger
	node    string
	run     string
	started time.Time
	encoder encoder
}

func newFormatter(out io.Writer, node, run string, started time.Time) *formatter {
	f := &formatter{log: logrus.New(), node: node, run: run, started: started}
	f.log.SetNoLock()
	f.log.SetOutput(out)
	f.log.SetLevel(logrus.TraceLevel) // offer has already filtered by level
	f.log.SetFormatter(f)
	return f
}

func (f *formatter) write(ln line) {
	entry := logrus.Entry{Logger: f.log, Data: logrus.Fields{lineKey: ln}, Time: ln.timestamp}
	e := ln.record.Event()
	entry.Log(e.Level, e.Name)
}

// Format implements logrus.Formatter. Unlike logrus's own formatter it builds no
// map of fields, which would make a line ten times as expensive.
func (f *formatter) Format(entry *logrus.Entry) ([]byte, error) {
	ln := entry.Data[lineKey].(line) // set by write, the only caller of the logger
	f.encoder.begin()
	f.encoder.time(logrus.FieldKeyTime, entry.Time)
	f.encoder.text(logrus.FieldKeyLevel, entry.Level.String())
	f.encoder.text(logrus.FieldKeyMsg, entry.Message)
	f.encoder.count(FieldEvent, int64(ln.record.Event().ID))
	f.encoder.text(FieldNode, f.node)
	f.encoder.text(FieldRun, f.run)
	f.encoder.duration(FieldOffset, ln.timestamp.Sub(f.started))
	f.encoder.textIfSet(FieldRequest, ln.request)
	ln.record.encode(&f.encoder)
	return f.encoder.end(), nil
}
