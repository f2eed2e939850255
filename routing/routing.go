// Package routing chooses the backend server for one request. It is pure: a
// snapshot, a clock reading and a seeded source in, a choice out.
package routing

import (
	"errors"
	"math/rand/v2"
	"time"
)

// ErrNoServer means that no server in the view can take the request.
var ErrNoServer = errors.New("no backend server can take the request")

// Server is what the entry knows of one backend server.
type Server struct {
	Name       string
	Region     string
	Zone       string
	Serving    bool          // live, not suspect and not draining
	InFlight   int           // own requests in progress there
	Reported   int           // requests in progress by its last report
	ReportedAt time.Time     // when that report arrived
	QueueDelay time.Duration // by its last report
	FirstSeen  time.Time     // start of slow start
	Failures   int           // consecutive failures seen by this entry
	RetryAt    time.Time     // ejected until then
}

// Candidate is a server of the request's pool with what the request finds there.
type Candidate struct {
	Server   *Server
	Resident bool    // the artifact is in accelerator memory
	Base     bool    // its base model is
	Cached   float64 // share of the prompt found in the prefix cache, 0 to 1
}

// Request is what matters of a request for the choice.
type Request struct {
	Region      string
	Zone        string
	PromptBytes int
	Deadline    time.Duration // left
	Exclude     string        // server that just failed this request
}

// Choice is the decision with its reason.
type Choice struct {
	Server   *Server
	Index    int // in the candidates
	Reason   string
	RunnerUp *Server // nil when there was no other
}

// Choose picks the candidate with the least work among those that may serve.
func Choose(candidates []Candidate, req Request, now time.Time, rnd *rand.Rand) (Choice, error) {
	best := -1
	runnerUp := -1
	for i := range candidates {
		c := &candidates[i]
		if !c.Server.Serving || c.Server.Name == req.Exclude || now.Before(c.Server.RetryAt) {
			continue
		}
		switch {
		case best < 0:
			best = i
		case better(c, &candidates[best], rnd):
			best, runnerUp = i, best
		case runnerUp < 0:
			runnerUp = i
		}
	}
	if best < 0 {
		return Choice{}, ErrNoServer
	}
	choice := Choice{Server: candidates[best].Server, Index: best, Reason: "least in flight"}
	if runnerUp >= 0 {
		choice.RunnerUp = candidates[runnerUp].Server
	}
	return choice, nil
}

func better(a, b *Candidate, rnd *rand.Rand) bool {
	if a.Resident != b.Resident {
		return a.Resident
	}
	if a.Server.InFlight != b.Server.InFlight {
		return a.Server.InFlight < b.Server.InFlight
	}
	return rnd.IntN(2) == 0
}
