package caller

import (
	"net/http"
	"net/url"

	"github.com/gorilla/mux"

	"peridotchute.example/common/wire"
	"peridotchute.example/entry/serving/dispatch"
)

// serve stores asynchronous requests as jobs. It admits all others and forwards
// them: actions to the action server, idempotent requests to the dispatcher.
func (a *API) serve(w http.ResponseWriter, r *http.Request, req dispatch.Request) *wire.Failure {
	async := prefersAsync(r)
	if !req.Idempotent || async {
		req.Key = r.Header.Get(wire.HeaderIdempotency)
	}
	if async {
		return a.jobs.Accept(r.Context(), w, req)
	}
	release, f := a.admitter.Admit(r.Context(), req)
	if f != nil && !req.Idempotent {
		return a.actions.Refuse(r.Context(), req, f)
	}
	if f != nil {
		return f
	}
	defer release()
	if req.Idempotent {
		return a.backend.Serve(r.Context(), w, req)
	}
	return a.actions.Serve(r.Context(), w, req)
}

// outcome serves the outcome of a team's action.
func (a *API) outcome(w http.ResponseWriter, r *http.Request) {
	req, ok := a.readRequest(w, r)
	if !ok {
		return
	}
	key, err := url.PathUnescape(mux.Vars(r)["key"])
	if err != nil {
		wire.NewFailure(http.StatusBadRequest, "", codeInvalidHeader, "the key is not a valid path segment: %v", err).Write(w)
		return
	}
	if f := a.actions.Outcome(r.Context(), w, req.team.Name, key); f != nil {
		f.Write(w)
	}
}
