package decisionlog

import (
	"io"
	"time"

	"github.com/sirupsen/logrus"
)

// Names of the fields that every line carries, besides logrus's own.
const (
	FieldEvent   = "event"     // number of the catalogue
	FieldNode    = "node"      // name of the VM
	FieldRun     = "run"       // id of the process's run
	FieldOffset  = "offset_ms" // since the start of the process, on its steady clock
	FieldRequest = "request"   // id of the request, when the line is about one
)

const timestampFormat = "2006-01-02T15:04:05.000Z07:00"

// dataLine is the key under which a line travels through logrus.
const dataLine = "line"

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
	f.log.SetLevel(logrus.TraceLevel) // lines below the level never get here
	f.log.SetFormatter(f)
	return f
}

func (f *formatter) write(n line) {
	entry := logrus.Entry{Logger: f.log, Data: logrus.Fields{dataLine: n}, Time: n.at}
	e := n.record.Event()
	entry.Log(e.Level, e.Name)
}

// Format implements logrus.Formatter. Unlike logrus's own it needs no map of
// fields, which would cost ten times as much a line.
func (f *formatter) Format(entry *logrus.Entry) ([]byte, error) {
	n := entry.Data[dataLine].(line) // set by write, the only caller of the logger
	f.encoder.begin()
	f.encoder.time(logrus.FieldKeyTime, entry.Time)
	f.encoder.text(logrus.FieldKeyLevel, entry.Level.String())
	f.encoder.text(logrus.FieldKeyMsg, entry.Message)
	f.encoder.count(FieldEvent, int64(n.record.Event().ID))
	f.encoder.text(FieldNode, f.node)
	f.encoder.text(FieldRun, f.run)
	f.encoder.duration(FieldOffset, n.at.Sub(f.started))
	f.encoder.textIfSet(FieldRequest, n.request)
	n.record.encode(&f.encoder)
	return f.encoder.end(), nil
}
