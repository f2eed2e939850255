package explain

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"peridotchute.example/common/decisionlog"
)

// Field is one key of a log line with its value as text.
type Field struct {
	Key, Value string
}

// Line is one parsed line of a decision log.
type Line struct {
	Event        int
	Name         string // of the event
	Node         string // name of the VM
	Run          string // id of the process's run
	Request      string
	Offset       time.Duration // since the start of the process, on its monotonic clock
	HasOffset    bool
	Clock        time.Time     // the VM's wall clock
	Collected    time.Duration // timestamp that the log collector put before the line
	HasCollected bool          // Collected is set
	Fields       []Field
}

// Text returns the value of a field, or "" if the line has no such field.
func (l *Line) Text(key string) string {
	for _, f := range l.Fields {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}

// Duration returns the value of a field in milliseconds, or 0 if the line has no
// such field.
func (l *Line) Duration(key string) time.Duration {
	ms, err := strconv.ParseFloat(l.Text(key), 64)
	if err != nil {
		return 0 // fields with the value 0 are omitted from the log
	}
	return milliseconds(ms)
}

// milliseconds converts ms to a duration, rounded to the precision of the log,
// 0.1 ms.
func milliseconds(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond)).Round(100 * time.Microsecond)
}

// ParseLine parses the JSON object of a line and the prefix that a log collector
// may have put before it. It returns false if the line is not from a decision log.
func ParseLine(text string) (*Line, bool) {
	start := strings.IndexByte(text, '{')
	if start < 0 {
		return nil, false
	}
	l := &Line{}
	if err := l.decode(text[start:]); err != nil || l.Event == 0 {
		return nil, false
	}
	l.parsePrefix(strings.Fields(text[:start]))
	return l, true
}

// parsePrefix parses the words that a collector put before the line: the first
// number is the collector's timestamp in seconds, and the first other word is the
// name of the node if the line itself has none.
func (l *Line) parsePrefix(words []string) {
	for _, word := range words {
		word = strings.Trim(word, "[]():")
		seconds, err := strconv.ParseFloat(strings.TrimSuffix(word, "s"), 64)
		switch {
		case err == nil && !l.HasCollected:
			l.Collected, l.HasCollected = milliseconds(seconds*1000), true
		case err != nil && l.Node == "":
			l.Node = word
		}
	}
}

// decode parses a JSON object and preserves the order of its fields.
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
	l.Fields = append(l.Fields, Field{Key: key, Value: fieldText(value)})
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

// fieldText returns JSON strings unquoted and other values unchanged.
func fieldText(value json.RawMessage) string {
	var text string
	if json.Unmarshal(value, &text) == nil {
		return text
	}
	return string(value)
}
