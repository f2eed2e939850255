package relay

import (
	"errors"
	"io"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"
)

// testFormat has one further field.
var testFormat = Format{Fields: []string{"x-f"}}

// TestOnlyWholeEventsAreForwarded ends the source at various positions.
func TestOnlyWholeEventsAreForwarded(t *testing.T) {
	const two = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	broken := errors.New("connection reset")
	for name, c := range map[string]struct {
		source    io.Reader
		forwarded string
		lastID    string
		err       error
	}{
		"whole":                    {strings.NewReader(two), two, "2", nil},
		"one byte at a time":       {iotest.OneByteReader(strings.NewReader(two)), two, "2", nil},
		"ends within a line":       {strings.NewReader(two + "id: 3\nda"), two, "2", io.ErrUnexpectedEOF},
		"ends before a blank line": {strings.NewReader(two + "id: 3\ndata: c\n"), two, "2", io.ErrUnexpectedEOF},
		"breaks between events":    {io.MultiReader(strings.NewReader(two), iotest.ErrReader(broken)), two, "2", broken},
		"breaks within an event":   {io.MultiReader(strings.NewReader(two+"id: 3\n"), iotest.ErrReader(broken)), two, "2", broken},
		"nothing":                  {strings.NewReader(""), "", "", nil},
		"no id":                    {strings.NewReader(two + "garbage\r\n\r\n" + two), two, "2", ErrNoEventID},
		"no id at the start":       {strings.NewReader("garbage\n\n" + two), "", "", ErrNoEventID},
		"blank lines":              {strings.NewReader(two + "\n\n"), two, "2", ErrNoEventID},
		"further field":            {strings.NewReader("x-f: 1\nid: 1\ndata: a\n\n"), "x-f: 1\nid: 1\ndata: a\n\n", "1", nil},
		"comment, event, retry":    {strings.NewReader(": c\nevent: e\nretry: 5\nid: 1\ndata\n\n"), ": c\nevent: e\nretry: 5\nid: 1\ndata\n\n", "1", nil},
		"unknown field":            {strings.NewReader(two + "id: 3\nContent-Length: 0\n\n"), two, "2", ErrForeignBytes},
		"line without a field":     {strings.NewReader(two + "id: 3\nHTTP/1.1 500 No\n\n"), two, "2", ErrForeignBytes},
		"two ends of lines":        {strings.NewReader(two + "id: 3\ndata: cHTTP/1.1 500 No\r\n\r\n"), two, "2", ErrForeignBytes},
		"two IDs":                  {strings.NewReader(two + "id: 3\ndata: c\nid: 5\n\n"), two, "2", ErrForeignBytes},
		"event again":              {strings.NewReader(two + "id: 2\ndata: b\n\n"), two, "2", ErrEventOrder},
		"earlier event":            {strings.NewReader(two + "id: 1\ndata: a\n\n"), two, "2", ErrEventOrder},
		"IDs that are no numbers":  {strings.NewReader("id: b\ndata: a\n\nid: a\n\n"), "id: b\ndata: a\n\nid: a\n\n", "a", nil},
		"lines end with CR LF":     {strings.NewReader("id: 1\r\ndata: a\r\n\r\n"), "id: 1\r\ndata: a\r\n\r\n", "1", nil},
	} {
		t.Run(name, func(t *testing.T) {
			client := httptest.NewRecorder()
			s := NewStream(client, testFormat, "")
			events := 0
			err := s.Copy(c.source, func() error { return nil }, func() {}, func() { events++ })
			assert.Assert(t, errors.Is(err, c.err), "%v", err)
			assert.Equal(t, client.Body.String(), c.forwarded)
			assert.Equal(t, s.LastID(), c.lastID)
			assert.Equal(t, events, s.Events)
		})
	}
}

// endlessEvent is a source of lines of one event, without end up to a number of bytes.
type endlessEvent struct {
	line string
	left int
	read int
}

func (e *endlessEvent) Read(p []byte) (int, error) {
	if e.left <= 0 {
		return 0, io.EOF
	}
	n := copy(p, e.line)
	e.left -= n
	e.read += n
	return n, nil
}

// TestEventOfShortLinesIsBuffered has a source send an event without end. Its size was
// once checked only within long lines.
func TestEventOfShortLinesIsBuffered(t *testing.T) {
	const bufferBytes = 4096 // of the reader
	for name, line := range map[string]string{"short lines": "data: a\n", "one line": "data: a "} {
		t.Run(name, func(t *testing.T) {
			client := httptest.NewRecorder()
			source := &endlessEvent{line: line, left: 4 * MaxEventBytes}
			err := NewStream(client, testFormat, "").Copy(source, func() error { return nil }, func() {}, func() {})
			assert.Assert(t, errors.Is(err, ErrEventTooLong), "%v after %d bytes", err, source.read)
			assert.Assert(t, source.read <= MaxEventBytes+2*bufferBytes, "%d bytes", source.read)
			assert.Equal(t, client.Body.Len(), 0)
		})
	}
}

// TestLongestEventIsForwarded sends an event of MaxEventBytes.
func TestLongestEventIsForwarded(t *testing.T) {
	const line, end = "data: a\n", "data:bc\n\n"
	event := "id: 1\n" + strings.Repeat(line, MaxEventBytes/len(line)-4) + end
	event = strings.Repeat(":", MaxEventBytes-len(event)-1) + "\n" + event
	assert.Equal(t, len(event), MaxEventBytes)
	client := httptest.NewRecorder()
	assert.NilError(t, NewStream(client, testFormat, "").Copy(strings.NewReader(event), func() error { return nil }, func() {}, func() {}))
	assert.Equal(t, client.Body.Len(), MaxEventBytes)
}
