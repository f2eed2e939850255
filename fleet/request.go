package fleet

import (
	"net/http"
	"time"
)

// Request is what a client says of its request.
type Request struct {
	ID          string        // of this client attempt; each has its own
	Deadline    time.Duration // how long the client waits; 0 when not told
	Model       string        // empty for plain services
	Adapter     string        // empty when the model itself is asked for
	TokensIn    int           // tokens of the prompt
	TokensOut   int           // most tokens of the answer
	LengthHint  int           // client's estimate of the tokens of the answer; 0 when not told
	Parts       []Part        // of the prompt, in order
	LastEventID string        // the stream goes on after this event
}

// Part is one part of a prompt. Requests share parts; the last one belongs to
// the request itself or to its session.
type Part struct {
	ID     uint64
	Tokens int
}

// Attempt is what is told to the server about one attempt of a request.
type Attempt struct {
	Instance    string        // ID of the only server that may run it
	Left        time.Duration // until the server is to stop work
	Urgency     int           // 0 is the most urgent
	LastEventID string        // empty: as the client sent it
}

// Outcome is what an answer says of the attempt.
type Outcome struct {
	ID     string // of the client attempt that it answers
	Signed bool   // a backend server made it
	NotRun bool   // the server did not run the request and never will
	Gone   bool   // another server has the address, or it lacks the model
}

// Codec reads and writes the headers that clients, entries and backend servers
// exchange.
type Codec interface {
	// Request reads the headers of a client's request. Errors are KindInvalid.
	Request(h http.Header) (Request, error)
	// Forward returns the headers for a server: the client's without those of
	// its connection and those that only the system sets, with those of the attempt.
	Forward(h http.Header, a Attempt) http.Header
	// Outcome reads the headers of a server's answer.
	Outcome(status int, h http.Header) Outcome
	// Refuse sets the headers of an answer of our own to a request.
	Refuse(h http.Header, id string, after time.Duration)
}
