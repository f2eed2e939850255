package relay

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"peridotchute.example/entry/direct/exchange"
	"peridotchute.example/entry/direct/membudget"
)

// Begin waits for the start of an answer: the first whole event of a stream, and the
// part of any other answer that Buffer keeps. The body can then still be read from its
// start. An error means that the answer broke off before, or is a stream without a valid event.
// format is that of the stream, or nil for any other answer. after is the ID of the last event
// that the client has, or "". memory holds the start until the body is closed.
func Begin(resp *exchange.Response, memory membudget.Account, format *Format, after string) error {
	in := bufio.NewReader(resp.Body)
	s := Stream{memory: memory}
	start, err := s.readStart(in, format, after)
	if err != nil {
		s.memory.Release()
		return err
	}
	resp.Body = &begun{Reader: io.MultiReader(bytes.NewReader(start), in), Closer: resp.Body, memory: s.memory}
	return nil
}

func (s *Stream) readStart(in *bufio.Reader, format *Format, after string) ([]byte, error) {
	if format == nil {
		return membudget.ReadAll(io.LimitReader(in, maxBufferedBytes), 0, &s.memory)
	}
	err := s.readEvent(in)
	if errors.Is(err, io.EOF) {
		return nil, io.ErrUnexpectedEOF
	}
	if err != nil {
		return nil, err
	}
	id, err := format.checkEvent(s.event)
	if err == nil && !follows(after, id) {
		err = ErrEventOrder
	}
	return s.event, err
}

// begun is the body of an answer whose start has been read.
type begun struct {
	io.Reader
	io.Closer
	memory membudget.Account
}

// Close closes the body and releases its start.
func (b *begun) Close() error {
	b.memory.Release()
	return b.Closer.Close()
}
