package explain

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"peridotchute.example/common/decisionlog"
)

// Field is one detail of a line, in the order of the log.
type Field struct {
	Key, Value string
}

// Line is one line of a decision log.
type Line struct {
	Event     int
	Name      string // of the event
	Node      string // name of the VM
	Run       string // id of the process's run
	Request   string
	Offset    time.Duration // since the start of the process, on its steady clock
	HasOffset bool
	Clock     time.Time     // the VM's time of day
	Collected time.Duration // the collector's time, when it put one before the line
	HasTime   bool          // Collected is set
	Fields    []Field
}

// Text returns a detail, or "".
func (l *Line) Text(key string) string {
	for _, f := range l.Fields {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}

// Duration returns a detail in milliseconds, or 0.
func (l *Line) Duration(key string) time.Duration {
	ms, err := strconv.ParseFloat(l.Text(key), 64)
	if err != nil {
		return 0 // absent: such details are left out when they are 0
	}
	return milliseconds(ms)
}

// milliseconds rounds to what the log tells, a tenth of a millisecond.
func milliseconds(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond)).Round(100 * time.Microsecond)
}

// ParseLine reads the JSON object of a line, whatever a collector put before
// it. It reports false for a line that is none of a decision log.
func ParseLine(text string) (*Line, bool) {
	start := strings.IndexByte(text, '{')
	if start < 0 {
		return nil, false
	}
	l := &Line{}
	if err := l.decode(text[start:]); err != nil || l.Event == 0 {
		return nil, false
	}
	l.setPrefix(strings.Fields(text[:start]))
	return l, true
}

// setPrefix takes what a collector put before the line: seconds since its
// start, and the name of the node when the line itself has none.
func (l *Line) setPrefix(words []string) {
	for _, word := range words {
		word = strings.Trim(word, "[]():")
		seconds, err := strconv.ParseFloat(strings.TrimSuffix(word, "s"), 64)
		switch {
		case err == nil && !l.HasTime:
			l.Collected, l.HasTime = milliseconds(seconds*1000), true
		case err != nil && l.Node == "":
			l.Node = word
		}
	}
}

// decode reads a JSON object and keeps the order of its fields.
func (l *Line) decode(text string) error {
	dec := json.NewDecoder(strings.NewReader(text))
	if _, err := dec.Token(); err != nil {
		return err
	}
	for dec.More() {
		key, err := dec.Token()
		if err != nil {
			return err
		}
		var value json.RawMessage
		if err := dec.Decode(&value); err != nil {
			return err
		}
		if err := l.set(fmt.Sprint(key), value); err != nil {
			return err
		}
	}
	_, err := dec.Token()
	return err
}

func (l *Line) set(key string, value json.RawMessage) error {
	switch key {
	case "level":
		return nil
	case "time":
		return json.Unmarshal(value, &l.Clock)
	case "msg":
		return json.Unmarshal(value, &l.Name)
	case decisionlog.FieldEvent:
		return json.Unmarshal(value, &l.Event)
	case decisionlog.FieldNode:
		return json.Unmarshal(value, &l.Node)
	case decisionlog.FieldRun:
		return json.Unmarshal(value, &l.Run)
	case decisionlog.FieldRequest:
		return json.Unmarshal(value, &l.Request)
	case decisionlog.FieldOffset:
		return l.setOffset(value)
	}
	l.Fields = append(l.Fields, Field{Key: key, Value: plain(value)})
	return nil
}

func (l *Line) setOffset(value json.RawMessage) error {
	var ms float64
	if err := json.Unmarshal(value, &ms); err != nil {
		return err
	}
	l.Offset, l.HasOffset = milliseconds(ms), true
	return nil
}

// plain returns texts without their quotes and other values as they stand.
func plain(value json.RawMessage) string {
	var text string
	if json.Unmarshal(value, &text) == nil {
		return text
	}
	return string(value)
}
