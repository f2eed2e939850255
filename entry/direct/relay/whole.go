package relay

import (
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"peridotchute.example/common/fault"
	"peridotchute.example/entry/direct/exchange"
)

// heldBytes is the longest answer that is held until it is complete; a longer
// one is passed on as it comes.
const heldBytes = 256 << 10

// connectionHeaders of a server's answer concern its connection only.
var connectionHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length"}

// Header copies the headers of a server's answer to the client.
func Header(w http.ResponseWriter, a *exchange.Answer) {
	h := w.Header()
	named := strings.Split(a.Header.Get("Connection"), ",")
	for name, values := range a.Header {
		if !slices.Contains(connectionHeaders, name) && !containsName(named, name) {
			h[name] = values
		}
	}
	if h.Get("Date") == "" {
		h["Date"] = nil // keeps net/http from adding its own
	}
}

func containsName(names []string, name string) bool {
	return slices.ContainsFunc(names, func(n string) bool { return strings.EqualFold(strings.TrimSpace(n), name) })
}

// Held is the beginning of an answer, or all of it.
type Held struct {
	bytes    []byte
	complete bool
}

// Len returns the number of bytes held.
func (h Held) Len() int { return len(h.bytes) }

// Hold reads an answer until it is complete or too long to be held. An answer
// that ends early is an error of KindUnknown.
func Hold(a *exchange.Answer, peer string) (Held, error) {
	raw, err := io.ReadAll(io.LimitReader(a.Body, heldBytes))
	if err != nil {
		return Held{}, fault.New(fault.KindUnknown, "relay.hold", peer, err)
	}
	return Held{bytes: raw, complete: len(raw) < heldBytes}, nil
}

// Pass writes the answer to the client. It returns ErrClient when the client is
// gone, and the source's error when the answer ended early; the client's
// connection must then be cut.
func Pass(w http.ResponseWriter, method string, a *exchange.Answer, held Held) error {
	Header(w, a)
	switch {
	case method == http.MethodHead:
		setLength(w, a.Length)
	case held.complete:
		w.Header().Set("Content-Length", strconv.Itoa(len(held.bytes)))
	default:
		setLength(w, a.Length)
	}
	w.WriteHeader(a.Status)
	if _, err := w.Write(held.bytes); err != nil {
		return ErrClient
	}
	if held.complete {
		return nil
	}
	_, err := io.Copy(w, a.Body)
	return err
}

// setLength tells the length of an answer's body where it is known.
func setLength(w http.ResponseWriter, n int64) {
	if n >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(n, 10))
	}
}
