// Package event defines the numbered log events of every process. The
// catalogue in docs/EVENTS.md lists them for operators; a test keeps both equal.
package event

import (
	"sort"

	"github.com/sirupsen/logrus"
)

// Event is one entry of the catalogue.
type Event struct {
	ID    int          // unique number, never reused
	Name  string       // short stable name
	Level logrus.Level // severity
	Help  string       // what it means and what to do
}

var catalogue = map[int]Event{}

// define registers an event; a number used twice is a programming error.
func define(id int, name string, level logrus.Level, help string) Event {
	if _, taken := catalogue[id]; taken {
		panic("event: number defined twice: " + name)
	}
	e := Event{ID: id, Name: name, Level: level, Help: help}
	catalogue[id] = e
	return e
}

// All returns the catalogue in order of number.
func All() []Event {
	out := make([]Event, 0, len(catalogue))
	for _, e := range catalogue {
		out = append(out, e)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// Field adds one detail to a log line.
type Field func(logrus.Fields)

// Peer names the other party.
func Peer(name string) Field { return str("peer", name) }

// Request names the request by its id.
func Request(id string) Field { return str("request", id) }

// Subject names what the event is about, such as a model or an action key.
func Subject(name string) Field { return str("subject", name) }

// Reason says why a decision was taken.
func Reason(text string) Field { return str("reason", text) }

// Count gives a number.
func Count(n int64) Field { return func(f logrus.Fields) { f["count"] = n } }

// Err attaches an error.
func Err(err error) Field { return func(f logrus.Fields) { f[logrus.ErrorKey] = err } }

func str(key, value string) Field { return func(f logrus.Fields) { f[key] = value } }

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
