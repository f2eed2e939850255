package caller

import (
	"net/http"
	"strings"

	"github.com/gorilla/mux"
)

const preferAsync = "respond-async"

// prefersAsync reports whether the caller prefers an asynchronous response
// (RFC 7240, section 4.1).
func prefersAsync(r *http.Request) bool {
	for _, value := range r.Header.Values("Prefer") {
		for preference := range strings.SplitSeq(value, ",") {
			name, _, _ := strings.Cut(preference, ";")
			if strings.EqualFold(strings.TrimSpace(name), preferAsync) {
				return true
			}
		}
	}
	return false
}

// job serves the result of a team's job.
func (a *API) job(w http.ResponseWriter, r *http.Request) {
	req, ok := a.readRequest(w, r)
	if !ok {
		return
	}
	if f := a.jobs.Result(r.Context(), w, req.team.Name, mux.Vars(r)["id"]); f != nil {
		f.Write(w)
	}
}
