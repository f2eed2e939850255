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

// ErrCut means that a stream ended before its explicit end.
var ErrCut = errors.New("stream ended before its explicit end")

// errCallerLeft means that the caller could not be written to.
var errCallerLeft = errors.New("caller has gone")

const (
	maxEventBytes = 1 << 20
	drainTimeout  = 100 * time.Millisecond
)

var (
	fieldID   = []byte("id:")
	fieldData = []byte("data:")
	doneData  = []byte("[DONE]")
)

// IsStream reports whether the answer is a stream of server-sent events.
func IsStream(resp *http.Response) bool {
	return strings.HasPrefix(resp.Header.Get(headerType), contentTypeSSE)
}

// Relay writes one caller's event stream, possibly from several attempts.
//
// Invariant: only whole events are written, so that a stream can be resumed
// after LastID with no event lost or repeated.
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

// LastID returns the id of the last event written, "" before the first.
func (r *Relay) LastID() string { return string(r.lastID) }

// Resumable reports whether another source can go on after LastID with no
// event lost or repeated: not when events without an id were written.
func (r *Relay) Resumable() bool { return !r.withoutID }

// Started reports whether anything was written to the caller.
func (r *Relay) Started() bool { return r.started }

// Done reports whether the explicit end was relayed.
func (r *Relay) Done() bool { return r.done }

// Copy relays events until the explicit end and reads what may follow it, so
// that the source's connection can be used again. It returns nil after the
// end, ErrCut when the source ended before it, and another error when the
// caller has gone.
func (r *Relay) Copy(source io.ReadCloser) error {
	r.start()
	in := readerPool.Get().(*bufio.Reader)
	in.Reset(source)
	defer releaseReader(in)
	for !r.done {
		if err := r.readEvent(in); err != nil {
			return ErrCut
		}
		if err := r.writeEvent(); err != nil {
			return errCallerLeft
		}
	}
	drain(in, source)
	return nil
}

// readerPool holds the buffers of streams in progress.
var readerPool = sync.Pool{New: func() any { return bufio.NewReader(nil) }}

func releaseReader(in *bufio.Reader) {
	in.Reset(nil)
	readerPool.Put(in)
}

// drain reads to the end of an answer that has said its last. A source that
// does not end is closed.
func drain(in *bufio.Reader, source io.Closer) {
	timer := time.AfterFunc(drainTimeout, func() { _ = source.Close() })
	defer timer.Stop()
	_, _ = io.CopyN(io.Discard, in, maxEventBytes)
}

// Finish ends the stream with its outcome.
func (r *Relay) Finish(outcome wire.Outcome) {
	r.w.Header().Set(wire.HeaderOutcome, string(outcome))
}

// Abort cuts the caller's connection, so that the stream does not look whole.
// It does not return.
func (r *Relay) Abort() {
	panic(http.ErrAbortHandler)
}

// CallerGone reports whether err of Copy means that nobody listens any more.
func CallerGone(err error) bool { return errors.Is(err, errCallerLeft) }

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

// readEvent reads the lines of one event up to and with its blank line.
func (r *Relay) readEvent(in *bufio.Reader) error {
	r.event = r.event[:0]
	lineStart := 0
	for {
		part, err := in.ReadSlice('\n')
		r.event = append(r.event, part...)
		if errors.Is(err, bufio.ErrBufferFull) && len(r.event) <= maxEventBytes {
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

// parseEvent looks for the event's id and for the end of the stream.
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
