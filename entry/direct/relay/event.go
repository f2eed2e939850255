package relay

import (
	"bytes"
	"errors"
	"slices"
	"strconv"
)

// ErrNoEventID means that a server sent lines and a blank line without an event ID.
var ErrNoEventID = errors.New("the event has no ID")

// ErrForeignBytes means that a server sent lines and a blank line that are not all of one event:
// it broke off within an event and wrote something else.
var ErrForeignBytes = errors.New("the event holds bytes of something else")

// ErrEventOrder means that a server sent an event that the client has, or one before it.
var ErrEventOrder = errors.New("the event does not follow the one before it")

// Format is the format of the events of a stream: that of text/event-stream, with further fields.
type Format struct {
	Fields []string // names of the further fields
}

var (
	fieldID        = []byte("id")
	standardFields = [][]byte{[]byte("data"), []byte("event"), []byte("retry")}

	lineFeed         = []byte("\n")
	carriageReturnLF = []byte("\r\n")
)

// checkEvent returns the ID of an event, which ends with its blank line. The error is
// ErrNoEventID or ErrForeignBytes.
func (f *Format) checkEvent(event []byte) (id string, err error) {
	var value []byte
	ids := 0
	foreign := false
	lineEnd := endOfLine(event)
	for line := range bytes.Lines(event) {
		name, rest, _ := bytes.Cut(bytes.TrimRight(line, "\r\n"), []byte(":"))
		if bytes.Equal(name, fieldID) {
			value = bytes.TrimSpace(rest)
			ids++
		}
		foreign = foreign || !f.isField(name) || !bytes.Equal(endOfLine(line), lineEnd)
	}
	switch {
	case len(value) == 0:
		return "", ErrNoEventID
	case foreign, ids > 1:
		return "", ErrForeignBytes
	}
	return string(value), nil
}

// follows reports whether an event may follow another one, given their IDs. IDs that are
// numbers rise. An empty after is no event.
func follows(after, id string) bool {
	if after == "" {
		return true
	}
	before, err := strconv.ParseInt(after, 10, 64)
	if err != nil {
		return id != after
	}
	number, err := strconv.ParseInt(id, 10, 64)
	return err != nil || number > before
}

// isField reports whether a line of an event may begin with the name. A comment and the blank
// line have none.
func (f *Format) isField(name []byte) bool {
	if len(name) == 0 || bytes.Equal(name, fieldID) {
		return true
	}
	for _, field := range standardFields {
		if bytes.Equal(name, field) {
			return true
		}
	}
	return slices.Contains(f.Fields, string(name))
}

// endOfLine returns the bytes with which the first line ends.
func endOfLine(lines []byte) []byte {
	if i := bytes.IndexByte(lines, '\n'); i > 0 && lines[i-1] == '\r' {
		return carriageReturnLF
	}
	return lineFeed
}
