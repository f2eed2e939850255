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
		"lines end with CR LF":     {strings.NewReader("id: 1\r\ndata: a\r\n\r\n"), "id: 1\r\ndata: a\r\n\r\n", "1", nil},
	} {
		t.Run(name, func(t *testing.T) {
			client := httptest.NewRecorder()
			s := NewStream(client)
			events := 0
			err := s.Copy(c.source, func() error { return nil }, func() { events++ })
			assert.Assert(t, errors.Is(err, c.err), "%v", err)
			assert.Equal(t, client.Body.String(), c.forwarded)
			assert.Equal(t, s.LastID(), c.lastID)
			assert.Equal(t, events, s.Events)
		})
	}
}
