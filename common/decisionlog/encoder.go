package decisionlog

import (
	"encoding/json"
	"math"
	"strconv"
	"time"
)

// encoder builds one JSON object at a time in a reused buffer.
type encoder struct {
	buffer []byte
}

func (e *encoder) begin() { e.buffer = append(e.buffer[:0], '{') }

// end returns the object with a newline; it is valid until the next begin.
func (e *encoder) end() []byte {
	e.buffer = append(e.buffer, '}', '\n')
	return e.buffer
}

func (e *encoder) key(key string) {
	if len(e.buffer) > 1 {
		e.buffer = append(e.buffer, ',')
	}
	e.buffer = append(e.buffer, '"')
	e.buffer = append(e.buffer, key...)
	e.buffer = append(e.buffer, '"', ':')
}

func (e *encoder) text(key, value string) {
	e.key(key)
	e.string(value)
}

// string appends a JSON string.
func (e *encoder) string(value string) {
	if !isPlain(value) {
		quoted, _ := json.Marshal(value) // never fails for a string
		e.buffer = append(e.buffer, quoted...)
		return
	}
	e.buffer = append(e.buffer, '"')
	e.buffer = append(e.buffer, value...)
	e.buffer = append(e.buffer, '"')
}

// isPlain reports whether a string needs no escapes in JSON.
func isPlain(s string) bool {
	for i := range len(s) {
		if c := s[i]; c < ' ' || c > '~' || c == '"' || c == '\\' {
			return false
		}
	}
	return true
}

func (e *encoder) time(key string, value time.Time) {
	e.key(key)
	e.buffer = append(e.buffer, '"')
	e.buffer = value.AppendFormat(e.buffer, timestampFormat)
	e.buffer = append(e.buffer, '"')
}

func (e *encoder) count(key string, value int64) {
	e.key(key)
	e.buffer = strconv.AppendInt(e.buffer, value, 10)
}

func (e *encoder) boolean(key string, value bool) {
	e.key(key)
	e.buffer = strconv.AppendBool(e.buffer, value)
}

// number writes a value rounded to one decimal, or null for NaN and infinities,
// which JSON lacks.
func (e *encoder) number(key string, value float64) {
	e.key(key)
	if math.IsNaN(value) || math.IsInf(value, 0) {
		e.buffer = append(e.buffer, "null"...)
		return
	}
	e.buffer = strconv.AppendFloat(e.buffer, math.Round(value*10)/10, 'f', -1, 64)
}

// duration writes a duration in milliseconds.
func (e *encoder) duration(key string, value time.Duration) {
	e.number(key, float64(value)/float64(time.Millisecond))
}

func (e *encoder) counts(key string, values map[string]int64) {
	e.key(key)
	quoted, _ := json.Marshal(values) // never fails for such a map
	e.buffer = append(e.buffer, quoted...)
}

// textIfSet, countIfSet, durationIfSet and errorIfSet omit zero values.
func (e *encoder) textIfSet(key, value string) {
	if value != "" {
		e.text(key, value)
	}
}

func (e *encoder) countIfSet(key string, value int64) {
	if value != 0 {
		e.count(key, value)
	}
}

func (e *encoder) durationIfSet(key string, value time.Duration) {
	if value != 0 {
		e.duration(key, value)
	}
}

func (e *encoder) errorIfSet(err error) {
	if err != nil {
		e.text("error", errorText(err))
	}
}

// maxErrorBytes limits the text of an error in a line: errors of package json and others
// quote what they could not decode.
const maxErrorBytes = 1 << 10

// errorText returns the text of an error, without its middle if it is too long.
func errorText(err error) string {
	text := err.Error()
	if len(text) <= maxErrorBytes {
		return text
	}
	return text[:maxErrorBytes/2] + " ... " + text[len(text)-maxErrorBytes/2:]
}
