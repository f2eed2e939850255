// Package relay forwards answers to clients: whole answers with their length,
// streams event by event. It ensures that a truncated answer never looks
// complete.
package relay

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync"

	"peridotchute.example/entry/direct/membudget"
)

// ErrClient means that writing to the client failed.
var ErrClient = errors.New("writing to the client failed")

// ErrEventTooLong means that a server sent an event of more than MaxEventBytes.
var ErrEventTooLong = errors.New("the event is too long")

// MaxEventBytes limits an event. A longer one counts as a fault of its server.
const MaxEventBytes = 1 << 20

// maxKeptEventBytes is the capacity above which the buffer of an event is not kept for the
// next one.
const maxKeptEventBytes = membudget.FreeBytes

// Stream forwards a stream of events to one client, possibly from several
// servers in turn.
//
// Invariant: only whole events are written, so that another server can continue
// the stream after LastID without lost or repeated events.
type Stream struct {
	w       http.ResponseWriter
	control *http.ResponseController
	format  Format
	event   []byte
	memory  membudget.Account // of event
	lastID  string
	after   string // ID of the last event that the client has, from this stream or an earlier one
	begun   bool   // the header has been written
	Events  int    // written to the client
	Bytes   int64  // written to the client
}

// NewStream returns a stream of events of the format to the client behind w, whose header Copy
// has its caller write. after is the ID of the last event that the client has, or "".
func NewStream(w http.ResponseWriter, format Format, after string) *Stream {
	return &Stream{w: w, control: http.NewResponseController(w), format: format, after: after}
}

// Begun reports whether the client's answer has begun, so that its status is fixed.
func (s *Stream) Begun() bool { return s.begun }

// Begin writes the header of the client's answer, by the given function, unless it has begun.
func (s *Stream) Begin(writeHeader func()) {
	if s.begun {
		return
	}
	s.begun = true
	writeHeader()
}

// LastID returns the ID of the last event written, or "" if there is none.
func (s *Stream) LastID() string { return s.lastID }

var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, 4096) }}

// Charge makes the account hold the events that are read from now on, of another server. Call
// Release at the end.
func (s *Stream) Charge(memory membudget.Account) {
	s.Release()
	s.memory = memory
}

// Release drops the buffered event, if any.
func (s *Stream) Release() {
	s.event = nil
	s.memory.Release()
}

// Copy forwards events until the source ends. It returns nil if the source
// ended after a whole event, io.ErrUnexpectedEOF if it ended within one,
// ErrEventTooLong, ErrNoEventID, ErrForeignBytes or ErrEventOrder if an event is invalid, ErrClient if writing to
// the client failed, and the source's error otherwise. It calls claim before it
// writes an event, and ends with its error if there is one, writeHeader before the first
// event of the client's answer, and progress after each event.
func (s *Stream) Copy(source io.Reader, claim func() error, writeHeader, progress func()) error {
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
		id, err := s.format.checkEvent(s.event)
		if err != nil {
			s.flushBegun()
			return err
		}
		if !follows(s.after, id) {
			s.flushBegun()
			return ErrEventOrder
		}
		if err := claim(); err != nil {
			return err
		}
		s.Begin(writeHeader)
		s.lastID, s.after = id, id
		if err := s.write(in); err != nil {
			return ErrClient
		}
		progress()
	}
}

// readEvent reads one event up to and including its blank line. It returns a
// membudget.ShortError if there is no memory for it.
func (s *Stream) readEvent(in *bufio.Reader) error {
	if cap(s.event) > maxKeptEventBytes {
		s.Release()
	}
	s.event = s.event[:0]
	lineStart := 0
	for {
		part, err := in.ReadSlice('\n')
		s.event = append(s.event, part...)
		if len(s.event) > MaxEventBytes {
			return ErrEventTooLong
		}
		if err := s.memory.Resize(cap(s.event)); err != nil {
			return err
		}
		if errors.Is(err, bufio.ErrBufferFull) {
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

var eventEnd = []byte("\n\n")

// flushBegun sends the events that write has left to the next one, if there are any. An error
// shows in the next write.
func (s *Stream) flushBegun() {
	if s.begun {
		_ = s.control.Flush()
	}
}

// write forwards the event. It flushes unless another whole event is already
// buffered.
func (s *Stream) write(in *bufio.Reader) error {
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
