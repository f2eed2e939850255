// Package relay passes answers on to clients: whole ones with their length,
// streams event by event. An answer that was cut never looks complete.
package relay

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync"
)

// ErrClient means that the client could not be written to.
var ErrClient = errors.New("client cannot be written to")

const maxEventBytes = 1 << 20

// Stream passes one client's stream on, possibly from several servers.
//
// Invariant: only whole events are written, so that the stream can go on at
// another server after LastID with no event lost or repeated.
type Stream struct {
	w       http.ResponseWriter
	control *http.ResponseController
	event   []byte
	lastID  string
	Events  int   // written
	Bytes   int64 // written
}

// NewStream returns a stream to the client behind w, whose header was written.
func NewStream(w http.ResponseWriter) *Stream {
	return &Stream{w: w, control: http.NewResponseController(w)}
}

// LastID returns the id of the last event written; "" before the first.
func (s *Stream) LastID() string { return s.lastID }

var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, 4096) }}

// Copy passes events on until the source ends. It returns nil when the source
// ended after a whole event, ErrClient when the client is gone, and the
// source's error otherwise. Progress is called after each event.
func (s *Stream) Copy(source io.Reader, progress func()) error {
	in := readers.Get().(*bufio.Reader)
	in.Reset(source)
	defer func() {
		in.Reset(nil)
		readers.Put(in)
	}()
	for {
		err := s.readEvent(in)
		if errors.Is(err, io.EOF) && len(s.event) == 0 {
			return nil
		}
		if errors.Is(err, io.EOF) {
			return io.ErrUnexpectedEOF
		}
		if err != nil {
			return err
		}
		if err := s.write(in); err != nil {
			return ErrClient
		}
		progress()
	}
}

// readEvent reads the lines of one event up to and with its blank line.
func (s *Stream) readEvent(in *bufio.Reader) error {
	s.event = s.event[:0]
	lineStart := 0
	for {
		part, err := in.ReadSlice('\n')
		s.event = append(s.event, part...)
		if errors.Is(err, bufio.ErrBufferFull) && len(s.event) <= maxEventBytes {
			continue
		}
		if err != nil {
			return err
		}
		if len(bytes.TrimRight(s.event[lineStart:], "\r\n")) == 0 {
			return nil
		}
		lineStart = len(s.event)
	}
}

var (
	fieldID  = []byte("id:")
	eventEnd = []byte("\n\n")
)

// write passes the event on, and flushes unless another whole one was received.
func (s *Stream) write(in *bufio.Reader) error {
	for line := range bytes.Lines(s.event) {
		if value, ok := bytes.CutPrefix(line, fieldID); ok {
			s.lastID = string(bytes.TrimSpace(value))
		}
	}
	n, err := s.w.Write(s.event)
	s.Bytes += int64(n)
	if err != nil {
		return err
	}
	s.Events++
	if more, err := in.Peek(in.Buffered()); err == nil && bytes.Contains(more, eventEnd) {
		return nil
	}
	return s.control.Flush()
}
