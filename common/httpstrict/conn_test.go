package httpstrict

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"peridotchute.example/common/httpstrict/httpstricttest"
)

const (
	uploadBytes = httpstricttest.UploadBytes
	answerBytes = 200 << 10
	rounds      = 20
)

// connect returns both ends of a TCP connection.
func connect(t *testing.T) (client, server *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	c, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	s, err := l.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() {
		_ = c.Close()
		_ = s.Close()
	})
	return c.(*net.TCPConn), s.(*net.TCPConn)
}

func head(bodyBytes string) string {
	return "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + bodyBytes + "\r\n\r\n"
}

// TestResetDuringUploadLooksLikeTheEnd has a server reset the connection during an upload and an
// answer. The write fails with the reset first; the read must not find the plain end then.
func TestResetDuringUploadLooksLikeTheEnd(t *testing.T) {
	tcp, server := connect(t)
	c := NewConn(tcp)
	c.BeginRequest(uploadBytes)
	_, err := io.WriteString(server, "HTTP/1.1 200 OK\r\n\r\npart")
	assert.NilError(t, err)
	answer := make([]byte, 1)
	_, err = io.ReadFull(c, answer)
	assert.NilError(t, err)

	written := make(chan error)
	go func() {
		_, err := io.WriteString(c, head(strconv.Itoa(uploadBytes))+strings.Repeat("b", uploadBytes))
		written <- err
	}()
	_, err = io.ReadFull(server, make([]byte, 1000))
	assert.NilError(t, err)
	assert.NilError(t, server.SetLinger(0))
	assert.NilError(t, server.Close())
	assert.Assert(t, <-written != nil)
	_, err = io.ReadAll(c)
	assert.Assert(t, errors.Is(err, io.ErrUnexpectedEOF), "%v", err)
}

// TestEndDuringUploadIsNoEnd has a server end its answer in order and read the upload no further.
func TestEndDuringUploadIsNoEnd(t *testing.T) {
	tcp, server := connect(t)
	c := NewConn(tcp)
	c.BeginRequest(uploadBytes)
	written := make(chan error)
	go func() {
		_, err := io.WriteString(c, head(strconv.Itoa(uploadBytes))+strings.Repeat("b", uploadBytes))
		written <- err
	}()
	_, err := io.WriteString(server, "HTTP/1.1 200 OK\r\n\r\npart")
	assert.NilError(t, err)
	assert.NilError(t, server.CloseWrite())
	read := make(chan error)
	go func() {
		_, err := io.ReadAll(c)
		read <- err
	}()
	assert.NilError(t, server.Close())
	assert.Assert(t, <-written != nil)
	assert.Assert(t, errors.Is(<-read, io.ErrUnexpectedEOF))
}

// TestEndBeforeResponseIsPlain has a server close the connection without a response, which must
// look like the end of an idle connection.
func TestEndBeforeResponseIsPlain(t *testing.T) {
	tcp, server := connect(t)
	c := NewConn(tcp)
	c.BeginRequest(uploadBytes)
	assert.NilError(t, server.Close())
	_, err := c.Read(make([]byte, 1))
	assert.Equal(t, err, io.EOF)
}

// TestEndOfIdleConnectionIsPlain has a server close an idle connection when the next request begins.
func TestEndOfIdleConnectionIsPlain(t *testing.T) {
	tcp, server := connect(t)
	c := NewConn(tcp)
	c.BeginRequest(0)
	request := head("0")
	_, err := io.WriteString(c, request)
	assert.NilError(t, err)
	_, err = io.ReadFull(server, make([]byte, len(request)))
	assert.NilError(t, err)
	_, err = io.WriteString(server, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	assert.NilError(t, err)
	_, err = c.Read(make([]byte, 1000))
	assert.NilError(t, err)
	c.BeginRequest(uploadBytes)
	assert.NilError(t, server.Close())
	_, err = c.Read(make([]byte, 1))
	assert.Equal(t, err, io.EOF)
}

// TestProgressOfRequest writes requests in pieces of each length.
func TestProgressOfRequest(t *testing.T) {
	for name, c := range map[string]struct {
		request   string
		bodyBytes int64
	}{
		"without body":     {"GET / HTTP/1.1\r\nHost: h\r\n\r\n", 0},
		"with body":        {head("9") + "a\r\n\r\nb\r\n\r", 9},
		"of no known size": {head("9") + "a\r\n\r\nb\r\n\r", UnknownLength},
	} {
		headBytes := strings.Index(c.request, headEnd) + len(headEnd)
		for piece := 1; piece <= len(c.request); piece++ {
			p := progress{begun: true, bodyLeft: c.bodyBytes}
			for at := 0; at < len(c.request); at += piece {
				wantWhole := at >= headBytes+int(max(c.bodyBytes, 0))
				assert.Equal(t, p.whole(), wantWhole, "%s, pieces of %d, after %d bytes", name, piece, at)
				p.wrote([]byte(c.request[at:min(at+piece, len(c.request))]), nil)
			}
			assert.Assert(t, p.whole(), "%s, pieces of %d", name, piece)
			p.wrote(nil, io.ErrClosedPipe)
			assert.Assert(t, !p.whole(), "%s, pieces of %d", name, piece)
		}
	}
}

// post sends a request through a Transport and reads the whole response.
func post(t *testing.T, address string, bodyBytes int) (string, error) {
	t.Helper()
	client := &http.Client{Transport: NewTransport(&http.Transport{})}
	defer client.CloseIdleConnections()
	resp, err := client.Post("http://"+address, "text/plain", strings.NewReader(strings.Repeat("b", bodyBytes)))
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

// TestAnswerCutDuringUploadLooksComplete has a server answer during an upload, without a length,
// and reset the connection within the answer.
func TestAnswerCutDuringUploadLooksComplete(t *testing.T) {
	address := httpstricttest.ServeCut(t, httpstricttest.CutDuringUpload)
	for range rounds {
		got, err := post(t, address, uploadBytes)
		assert.Assert(t, err != nil, "%d bytes look complete", len(got))
	}
}

// TestAnswerWithoutLengthAfterUpload has a server read uploads of several lengths, answer without a
// length and close the connection at once.
func TestAnswerWithoutLengthAfterUpload(t *testing.T) {
	answer := strings.Repeat("a", answerBytes)
	address := httpstricttest.Serve(t, "HTTP/1.1 200 OK\r\n\r\n"+answer)
	for _, bodyBytes := range []int{0, 1, 4096, 1 << 20, uploadBytes} {
		for range rounds {
			got, err := post(t, address, bodyBytes)
			assert.NilError(t, err)
			assert.Equal(t, len(got), len(answer))
		}
	}
}

// TestUploadOfUnknownLength sends a body in chunks.
func TestUploadOfUnknownLength(t *testing.T) {
	address := httpstricttest.Serve(t, "HTTP/1.1 200 OK\r\n\r\nok")
	client := &http.Client{Transport: NewTransport(&http.Transport{})}
	defer client.CloseIdleConnections()
	for range rounds {
		resp, err := client.Post("http://"+address, "text/plain", bufio.NewReader(strings.NewReader("body")))
		assert.NilError(t, err)
		body, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		assert.Equal(t, string(body), "ok")
		assert.NilError(t, resp.Body.Close())
	}
}
