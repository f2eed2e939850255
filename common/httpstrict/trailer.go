package httpstrict

import (
	"errors"
	"io"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// CheckTrailer returns the body of a response. In place of io.EOF its Read returns a
// FieldNameError if the name of a trailer field is not a token (RFC 9110, section 6.5). refuse is
// called then, and has to keep further requests off the connection.
func CheckTrailer(resp *http.Response, refuse func()) io.ReadCloser {
	if len(resp.TransferEncoding) == 0 {
		return resp.Body // it can have no trailer
	}
	return &trailerBody{ReadCloser: resp.Body, resp: resp, refuse: refuse}
}

type trailerBody struct {
	io.ReadCloser
	resp   *http.Response
	refuse func()
}

func (b *trailerBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	for name := range b.resp.Trailer {
		if !httpguts.ValidHeaderFieldName(name) {
			b.refuse()
			return n, &FieldNameError{Name: name}
		}
	}
	return n, err
}
