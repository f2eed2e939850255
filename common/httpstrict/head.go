// Package httpstrict makes HTTP clients reject responses that net/http accepts although
// HTTP/1.1 (RFC 9110, RFC 9112) does not allow them.
package httpstrict

import (
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// Statuses of final responses (RFC 9110, section 15). net/http accepts every number of three
// digits.
const (
	minStatus = http.StatusOK
	maxStatus = 599
)

// StatusError means that a response has a status that no final response may have to a request
// that asks for no other protocol.
type StatusError struct {
	Status int
}

// Error returns the status.
func (e *StatusError) Error() string {
	return fmt.Sprintf("response with invalid status %03d", e.Status)
}

// FieldNameError means that the name of a header field is not a token (RFC 9110, section 5.1).
// net/http accepts blanks in a name and before its colon, and does not recognize the field then,
// such as one that says how the body ends.
type FieldNameError struct {
	Name string
}

// Error returns the name.
func (e *FieldNameError) Error() string {
	return fmt.Sprintf("response with invalid field name %q", e.Name)
}

// CheckHead returns an error if the head of a final response is invalid: a StatusError or a
// FieldNameError. The server may have acted on the request.
func CheckHead(resp *http.Response) error {
	if resp.StatusCode < minStatus || resp.StatusCode > maxStatus {
		return &StatusError{Status: resp.StatusCode}
	}
	for name := range resp.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return &FieldNameError{Name: name}
		}
	}
	return nil
}
