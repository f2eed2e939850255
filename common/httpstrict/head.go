// Package httpstrict makes HTTP clients reject responses that net/http accepts although
// HTTP/1.1 (RFC 9110, RFC 9112) does not allow them.
package httpstrict

import (
	"bufio"
	"bytes"
	"fmt"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"

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

// FieldNameError means that the name of a header or trailer field is not a token (RFC 9110,
// section 5.1).
// net/http accepts blanks in a name and before its colon, and does not recognize the field then,
// such as one that says how the body ends.
type FieldNameError struct {
	Name string
}

// Error returns the name.
func (e *FieldNameError) Error() string {
	return fmt.Sprintf("response with invalid field name %q", e.Name)
}

// VersionError means that a response without TLS is not of HTTP/1, or is of HTTP/1.0 and has a
// transfer coding or an interim response before it, which HTTP/1.0 does not know. net/http ignores
// such a coding and takes it for part of the body (RFC 9112, section 6.1).
type VersionError struct {
	Version string
}

// Error returns the version.
func (e *VersionError) Error() string {
	return fmt.Sprintf("response that is invalid in version %q", e.Version)
}

// CheckHead returns an error if the head of a final response is invalid: a StatusError, a
// FieldNameError or a VersionError. The server may have acted on the request. c is the connection
// of the response, or nil if that uses TLS.
func CheckHead(resp *http.Response, c *Conn) error {
	if resp.StatusCode < minStatus || resp.StatusCode > maxStatus {
		return &StatusError{Status: resp.StatusCode}
	}
	for name := range resp.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return &FieldNameError{Name: name}
		}
	}
	if !validVersion(resp, c) {
		return &VersionError{Version: resp.Proto}
	}
	return nil
}

// validVersion reports whether the head of a response is valid in its version of HTTP.
func validVersion(resp *http.Response, c *Conn) bool {
	if c == nil {
		return true
	}
	start := c.endRecording()
	return resp.ProtoMajor == 1 && (resp.ProtoMinor > 0 || validOldHead(start, resp.StatusCode))
}

// validOldHead reports whether the start of a response of HTTP/1.0 is the head of a final response
// with the status and without a transfer coding.
func validOldHead(start []byte, status int) bool {
	in := textproto.NewReader(bufio.NewReader(bytes.NewReader(start)))
	line, err := in.ReadLine()
	if err != nil {
		return false
	}
	statusLine := strings.Fields(line)
	if len(statusLine) < 2 || statusLine[1] != strconv.Itoa(status) {
		return false
	}
	header, err := in.ReadMIMEHeader()
	return err == nil && len(header["Transfer-Encoding"]) == 0
}
