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
// start. An error means that the answer broke off before, or is a stream without an event.
func Begin(resp *exchange.Response, stream bool) error {
	in := bufio.NewReader(resp.Body)
	start, err := readStart(in, stream)
	if err != nil {
		return err
	}
	resp.Body = &begun{Reader: io.MultiReader(bytes.NewReader(start), in), Closer: resp.Body}
	return nil
}

func readStart(in *bufio.Reader, stream bool) ([]byte, error) {
	if !stream {
		return io.ReadAll(io.LimitReader(in, maxBufferedBytes))
	}
	var s Stream
	err := s.readEvent(in)
	switch {
	case errors.Is(err, io.EOF):
		return nil, io.ErrUnexpectedEOF
	}
	return s.event, err
}

// begun is the body of an answer whose start has been read.
type begun struct {
	io.Reader
	io.Closer
}
