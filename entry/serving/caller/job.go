package caller

import (
	"net/http"
	"strings"

	"github.com/gorilla/mux"
)

const preferAsync = "respond-async"

// respondAsync reports whether the caller prefers to fetch the answer later
// (RFC 7240, section 4.1).
func respondAsync(r *http.Request) bool {
	for _, line := range r.Header.Values("Prefer") {
		for preference := range strings.SplitSeq(line, ",") {
			name, _, _ := strings.Cut(preference, ";")
			if strings.EqualFold(strings.TrimSpace(name), preferAsync) {
				return true
			}
		}
	}
	return false
}

// job tells a team what became of its job.
func (a *API) job(w http.ResponseWriter, r *http.Request) {
	req, ok := a.open(w, r)
	if !ok {
		return
	}
	if f := a.jobs.Result(r.Context(), w, req.team.Name, mux.Vars(r)["id"]); f != nil {
		f.Write(w)
	}
}
