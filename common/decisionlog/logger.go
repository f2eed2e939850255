package decisionlog

import (
	"fmt"
	"io"
	"sort"

	"github.com/sirupsen/logrus"

	"peridotchute.example/common/event"
)

// Logger returns a logger for use with event.Log. Its lines go through the ring
// of the decision log; lines without the number of a known event are discarded.
func (l *Log) Logger() logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	log.SetFormatter(discardFormatter{})
	if l == nil {
		return log
	}
	log.SetLevel(l.opts.Level)
	log.AddHook(loggerHook{log: l})
	return log
}

// loggerHook passes the lines of a logrus logger to a Log.
type loggerHook struct{ log *Log }

// Levels implements logrus.Hook.
func (loggerHook) Levels() []logrus.Level { return logrus.AllLevels }

// Fire implements logrus.Hook.
func (h loggerHook) Fire(entry *logrus.Entry) error {
	id, _ := entry.Data[FieldEvent].(int)
	e, known := h.log.limits.event(id)
	if !known {
		return nil
	}
	request, _ := entry.Data[FieldRequest].(string)
	record := loggerRecord{event: e, data: entry.Data}
	h.log.observe(record)
	h.log.offer(line{timestamp: entry.Time, request: request, record: record})
	return nil
}

// loggerRecord is a line that was logged through Logger.
type loggerRecord struct {
	event event.Event
	data  logrus.Fields
}

// Event implements Record.
func (r loggerRecord) Event() event.Event { return r.event }

func (r loggerRecord) encode(e *encoder) {
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

// any writes an int64 as a number and other values as text.
func (e *encoder) any(key string, value any) {
	switch v := value.(type) {
	case int64:
		e.count(key, v)
	case error:
		e.text(key, errorText(v))
	default:
		e.text(key, fmt.Sprint(v))
	}
}

// discardFormatter writes nothing, since the Log formats the line.
type discardFormatter struct{}

// Format implements logrus.Formatter.
func (discardFormatter) Format(*logrus.Entry) ([]byte, error) { return nil, nil }
