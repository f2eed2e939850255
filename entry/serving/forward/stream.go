package forward

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"peridotchute.example/common/wire"
)

// ErrTruncated means that a stream ended without its [DONE] event.
var ErrTruncated = errors.New("stream ended without a [DONE] event")

// errCallerDisconnected means that a write to the caller failed.
var errCallerDisconnected = errors.New("caller disconnected")

// errEventTooLong means that a source sent an event of more than maxEventBytes.
var errEventTooLong = errors.New("the event is too long")

const (
	maxEventBytes = 1 << 20
	drainTimeout  = 100 * time.Millisecond
)

var (
	fieldID   = []byte("id:")
	fieldData = []byte("data:")
	doneData  = []byte("[DONE]")
)

// IsStream reports whether the response is a stream of server-sent events.
func IsStream(resp *http.Response) bool {
	return strings.HasPrefix(resp.Header.Get(headerType), contentTypeSSE)
}

// Relay writes an event stream to one caller, possibly from several attempts.
//
// Invariant: only complete events are written, so that a stream can be resumed
// after LastID without losing or repeating events.
type Relay struct {
	w         http.ResponseWriter
	control   *http.ResponseController
	started   bool
	lastID    []byte
	withoutID bool // an event without an id was written
	done      bool
	event     []byte
}

// NewRelay returns a relay to the caller behind w.
func NewRelay(w http.ResponseWriter) *Relay {
	return &Relay{w: w, control: http.NewResponseController(w)}
}

// LastID returns the id of the last event written that has one, or "".
func (r *Relay) LastID() string { return string(r.lastID) }

// Resumable reports whether another source can continue after LastID without
// losing or repeating events. It cannot if an event without an id was written.
func (r *Relay) Resumable() bool { return !r.withoutID }

// Started reports whether the response to the caller has started.
func (r *Relay) Started() bool { return r.started }

// Done reports whether the [DONE] event was written to the caller.
func (r *Relay) Done() bool { return r.done }

// Copy relays events up to the [DONE] event and then reads the rest of source, so
// that its connection can be reused. It returns ErrTruncated if source ends or fails
// before [DONE], and an error for which IsCallerDisconnected is true if a write to the
// caller fails.
func (r *Relay) Copy(source io.ReadCloser) error {
	r.start()
	in := readerPool.Get().(*bufio.Reader)
	in.Reset(source)
	defer releaseReader(in)
	for !r.done {
		if err := r.readEvent(in); err != nil {
			return ErrTruncated
		}
		if err := r.writeEvent(); err != nil {
			return errCallerDisconnected
		}
	}
	drain(in, source)
	return nil
}

// readerPool holds buffered readers for reuse.
var readerPool = sync.Pool{New: func() any { return bufio.NewReader(nil) }}

func releaseReader(in *bufio.Reader) {
	in.Reset(nil)
	readerPool.Put(in)
}

// drain reads the rest of a response after its [DONE] event. If it does not end
// within drainTimeout, drain closes source.
func drain(in *bufio.Reader, source io.Closer) {
	timer := time.AfterFunc(drainTimeout, func() { _ = source.Close() })
	defer timer.Stop()
	_, _ = io.CopyN(io.Discard, in, maxEventBytes)
}

// Finish sets the outcome of the stream, which is sent as a trailer.
func (r *Relay) Finish(outcome wire.Outcome) {
	r.w.Header().Set(wire.HeaderOutcome, string(outcome))
}

// Abort closes the caller's connection by a panic with http.ErrAbortHandler, so
// that the stream does not look complete.
func (r *Relay) Abort() {
	panic(http.ErrAbortHandler)
}

// IsCallerDisconnected reports whether the error err of Copy means that the caller has
// disconnected.
func IsCallerDisconnected(err error) bool { return errors.Is(err, errCallerDisconnected) }

func (r *Relay) start() {
	if r.started {
		return
	}
	r.started = true
	h := r.w.Header()
	h.Set(headerType, contentTypeSSE)
	h.Set("Cache-Control", "no-store")
	h.Set("Trailer", wire.HeaderOutcome)
	r.w.WriteHeader(http.StatusOK)
}

// readEvent reads one event, including the blank line that ends it, into r.event.
func (r *Relay) readEvent(in *bufio.Reader) error {
	r.event = r.event[:0]
	lineStart := 0
	for {
		part, err := in.ReadSlice('\n')
		r.event = append(r.event, part...)
		if len(r.event) > maxEventBytes {
			return errEventTooLong
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return err
		}
		if len(bytes.TrimRight(r.event[lineStart:], "\r\n")) == 0 {
			return nil
		}
		lineStart = len(r.event)
	}
}

func (r *Relay) writeEvent() error {
	r.parseEvent()
	if _, err := r.w.Write(r.event); err != nil {
		return err
	}
	return r.control.Flush()
}

// parseEvent extracts the id from r.event and detects [DONE].
func (r *Relay) parseEvent() {
	hasID := false
	for line := range bytes.Lines(r.event) {
		if value, ok := bytes.CutPrefix(line, fieldID); ok {
			r.lastID = append(r.lastID[:0], bytes.TrimSpace(value)...)
			hasID = true
		}
		if value, ok := bytes.CutPrefix(line, fieldData); ok && bytes.Equal(bytes.TrimSpace(value), doneData) {
			r.done = true
		}
	}
	r.withoutID = r.withoutID || !hasID
}
