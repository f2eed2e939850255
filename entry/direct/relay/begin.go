package relay

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"peridotchute.example/entry/direct/exchange"
)

// Begin waits for the start of an answer: the first whole event of a stream, and the
// part of any other answer that Buffer keeps. The body can then still be read from its
// start. An error means that the answer broke off before, or is a stream without a valid event.
// format is that of the stream, or nil for any other answer. after is the ID of the last event
// that the client has, or "".
func Begin(resp *exchange.Response, format *Format, after string) error {
	in := bufio.NewReader(resp.Body)
	start, err := readStart(in, format, after)
	if err != nil {
		return err
	}
	resp.Body = &begun{Reader: io.MultiReader(bytes.NewReader(start), in), Closer: resp.Body}
	return nil
}

func readStart(in *bufio.Reader, format *Format, after string) ([]byte, error) {
	if format == nil {
		return io.ReadAll(io.LimitReader(in, maxBufferedBytes))
	}
	var s Stream
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
}
