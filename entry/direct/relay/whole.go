package relay

import (
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"peridotchute.example/common/fault"
	"peridotchute.example/entry/direct/exchange"
	"peridotchute.example/entry/direct/membudget"
)

// maxBufferedBytes limits how much of an answer is buffered. Shorter answers
// are sent after they are complete; longer ones are streamed.
const maxBufferedBytes = 256 << 10

// connectionHeaders apply only to the connection to the server and are not
// forwarded.
var connectionHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length"}

// CopyHeader copies the end-to-end headers of a server's answer to the
// client's.
func CopyHeader(w http.ResponseWriter, resp *exchange.Response) {
	h := w.Header()
	named := strings.Split(resp.Header.Get("Connection"), ",")
	for name, values := range resp.Header {
		if !slices.Contains(connectionHeaders, name) && !containsName(named, name) {
			h[name] = values
		}
	}
	if h.Get("Date") == "" {
		h["Date"] = nil // prevents net/http from adding one
	}
}

func containsName(names []string, name string) bool {
	return slices.ContainsFunc(names, func(n string) bool { return strings.EqualFold(strings.TrimSpace(n), name) })
}

// Buffered is the buffered start of an answer, or all of it.
type Buffered struct {
	bytes    []byte
	length   int
	complete bool
	memory   membudget.Account
}

// Len returns the number of bytes that were buffered.
func (h *Buffered) Len() int { return h.length }

// Release drops the buffered bytes. Further calls have no effect.
func (h *Buffered) Release() {
	h.bytes = nil
	h.memory.Release()
}

// Buffer reads an answer until it is complete or maxBufferedBytes are read. It
// returns an error of KindUnknown if reading fails. peer names the server in
// the error. memory holds the bytes until Release.
func Buffer(resp *exchange.Response, peer string, memory membudget.Account) (*Buffered, error) {
	h := &Buffered{memory: memory}
	raw, err := membudget.ReadAll(io.LimitReader(resp.Body, maxBufferedBytes), min(resp.Length, maxBufferedBytes), &h.memory)
	if err != nil {
		return h, fault.New(fault.KindUnknown, "relay.hold", peer, err)
	}
	h.bytes, h.length, h.complete = raw, len(raw), len(raw) < maxBufferedBytes
	return h, nil
}

// Forward writes the answer to the client and releases what was buffered once it is written. It returns ErrClient if writing the
// buffered part fails, and the copy's error if the rest cannot be read or
// written; the client's connection must then be aborted.
func Forward(w http.ResponseWriter, method string, resp *exchange.Response, buffered *Buffered) error {
	CopyHeader(w, resp)
	switch {
	case method == http.MethodHead:
		setLength(w, resp.Length)
	case buffered.complete:
		w.Header().Set("Content-Length", strconv.Itoa(len(buffered.bytes)))
	default:
		setLength(w, resp.Length)
	}
	w.WriteHeader(resp.Status)
	if _, err := w.Write(buffered.bytes); err != nil {
		return ErrClient
	}
	buffered.Release()
	if buffered.complete {
		return nil
	}
	_, err := io.Copy(w, resp.Body)
	return err
}

// setLength sets Content-Length if the length of the body is known.
func setLength(w http.ResponseWriter, n int64) {
	if n >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(n, 10))
	}
}
