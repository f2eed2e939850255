package decisionlog

import (
	"fmt"
	"io"
	"sort"

	"github.com/sirupsen/logrus"

	"peridotchute.example/common/event"
)

// Logger returns a logger for code that logs events of the catalogue with
// event.Log. Its lines go through the log's ring; lines without a number of the
// catalogue are discarded.
func (l *Log) Logger() logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	log.SetFormatter(noFormat{})
	if l == nil {
		return log
	}
	log.SetLevel(l.opts.Level)
	log.AddHook(hook{log: l})
	return log
}

// hook passes the lines of a logger to a log.
type hook struct{ log *Log }

// Levels implements logrus.Hook.
func (hook) Levels() []logrus.Level { return logrus.AllLevels }

// Fire implements logrus.Hook.
func (h hook) Fire(entry *logrus.Entry) error {
	id, _ := entry.Data[FieldEvent].(int)
	e, known := h.log.limits.event(id)
	if !known {
		return nil
	}
	request, _ := entry.Data[FieldRequest].(string)
	record := logged{event: e, data: entry.Data}
	h.log.observe(record)
	h.log.offer(line{at: entry.Time, request: request, record: record})
	return nil
}

// logged is a line of a logger.
type logged struct {
	event event.Event
	data  logrus.Fields
}

// Event implements Record.
func (r logged) Event() event.Event { return r.event }

func (r logged) encode(e *encoder) {
	keys := make([]string, 0, len(r.data))
	for key := range r.data {
		if key != FieldEvent && key != FieldRequest {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	for _, key := range keys {
		e.any(key, r.data[key])
	}
}

// any writes whole numbers as such and the rest as text.
func (e *encoder) any(key string, value any) {
	if n, ok := value.(int64); ok {
		e.count(key, n)
		return
	}
	e.text(key, fmt.Sprint(value))
}

// noFormat leaves the formatting to the log.
type noFormat struct{}

// Format implements logrus.Formatter.
func (noFormat) Format(*logrus.Entry) ([]byte, error) { return nil, nil }
