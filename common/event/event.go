// Package event defines the numbered log events of all processes.
// docs/EVENTS.md lists them for operators; a test compares it with the code.
package event

import (
	"sort"

	"github.com/sirupsen/logrus"
)

// Event is one kind of log event.
type Event struct {
	ID    int          // unique number, never reused
	Name  string       // the msg text of the log line; stable
	Level logrus.Level // severity
	Help  string       // meaning and remedy, shown in docs/EVENTS.md
}

var catalogue = map[int]Event{}

// define registers an event. It panics if the number is already in use.
func define(id int, name string, level logrus.Level, help string) Event {
	if _, taken := catalogue[id]; taken {
		panic("event: number defined twice: " + name)
	}
	e := Event{ID: id, Name: name, Level: level, Help: help}
	catalogue[id] = e
	return e
}

// All returns all events in order of number.
func All() []Event {
	out := make([]Event, 0, len(catalogue))
	for _, e := range catalogue {
		out = append(out, e)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// Field adds one field to a log line.
type Field func(logrus.Fields)

// Peer adds the name or address of the other process.
func Peer(name string) Field { return textField("peer", name) }

// Request adds the id of the request.
func Request(id string) Field { return textField("request", id) }

// Subject adds what the event is about, such as a model or an action key.
func Subject(name string) Field { return textField("subject", name) }

// Reason adds why a decision was made.
func Reason(text string) Field { return textField("reason", text) }

// Count adds a number; the event's Help says what it counts.
func Count(n int64) Field { return func(f logrus.Fields) { f["count"] = n } }

// Err adds an error.
func Err(err error) Field { return func(f logrus.Fields) { f[logrus.ErrorKey] = err } }

func textField(key, value string) Field { return func(f logrus.Fields) { f[key] = value } }

// Log writes the event with its fields.
func Log(log logrus.FieldLogger, e Event, fields ...Field) {
	all := logrus.Fields{"event": e.ID}
	for _, add := range fields {
		add(all)
	}
	entry := log.WithFields(all)
	switch e.Level {
	case logrus.DebugLevel:
		entry.Debug(e.Name)
	case logrus.InfoLevel:
		entry.Info(e.Name)
	case logrus.WarnLevel:
		entry.Warn(e.Name)
	default:
		entry.Error(e.Name)
	}
}
