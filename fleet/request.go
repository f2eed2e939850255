package fleet

import (
	"net/http"
	"time"
)

// Request holds the values of a client's request headers.
type Request struct {
	ID          string        // identifies the client attempt; unique per attempt
	Key         string        // API key; empty if there is none, or not exactly one
	Caller      string        // client account, or credentials where the configuration has no accounts; empty if there are none
	Deadline    time.Duration // how long the client waits; 0 if not given
	Model       string        // empty for plain services
	Adapter     string        // empty for the base model
	TokensIn    int           // prompt tokens
	TokensOut   int           // maximum response tokens
	LengthHint  int           // client's estimate of the response tokens; 0 if not given
	Parts       []Part        // parts of the prompt, in order
	LastEventID string        // the stream resumes after this event
	Resumes     string        // the client attempt that brought the first event of the resumed stream
}

// PartIDs returns the IDs of the prompt's parts, in order.
func (r *Request) PartIDs() []uint64 {
	ids := make([]uint64, len(r.Parts))
	for i := range r.Parts {
		ids[i] = r.Parts[i].ID
	}
	return ids
}

// Part is a part of a prompt. Different requests may have parts in common; the
// last part is specific to the request or its session.
type Part struct {
	ID     uint64
	Tokens int
}

// Attempt holds the header values that an entry sends to a server for one
// attempt of a request.
type Attempt struct {
	Instance    string        // ID of the only server that may execute it
	Remaining   time.Duration // time until the server must stop working on it
	Urgency     int           // 0 is the most urgent
	LastEventID string        // empty means that the client's value is kept

	Identified bool   // the server gets Account in place of the client's credentials
	Account    string // name of the client account; empty if the request has none
}

// Outcome holds what the headers of a server's response report about the attempt.
type Outcome struct {
	ID          string  // the client attempt that the response belongs to
	FromServer  bool    // the response comes from a backend server
	NotRun      bool    // the server did not execute the request and never will
	Leaving     bool    // the server is about to shut down
	AnsweredBy  string  // ID of the server, if the response names it
	NamesLimit  bool    // the server limits the rate of requests that it takes
	RateLimit   float64 // requests per second from all entries together, if NamesLimit
	Misdirected bool    // the address belongs to another server, or the server has not loaded the model
}

// From reports whether the response comes from the server with the ID. A misdirected
// request may have been answered by another one at the same address.
func (o *Outcome) From(id string) bool { return !o.Misdirected || o.AnsweredBy == id }

// Codec reads and writes the headers that clients, entries and backend servers
// exchange.
type Codec interface {
	// Request decodes the headers of a client's request. Errors have KindInvalid.
	Request(h http.Header) (Request, error)
	// Forward returns the headers to send to a server: the client's headers plus
	// those of the attempt. It removes the client's hop-by-hop headers and any
	// that only the system may set.
	Forward(h http.Header, a Attempt) http.Header
	// Outcome decodes the status and headers of a server's response.
	Outcome(status int, h http.Header) Outcome
	// EventFields returns the names of the fields that servers write in the events of streams,
	// beside those of text/event-stream.
	EventFields() []string
	// Refuse sets the headers of a response that the entry itself sends to reject
	// the request with the given ID. The client may retry after the given time.
	Refuse(h http.Header, id string, after time.Duration)
}
