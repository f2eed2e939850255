package caller

import (
	"net/http"
	"path"
	"strings"

	"github.com/gorilla/mux"

	"peridotchute.example/common/wire"
	"peridotchute.example/entry/serving/dispatch"
)

// servicePath returns the decoded, cleaned path within the service, so that an
// encoded form of a path still matches its declaration.
func servicePath(r *http.Request, name string) string {
	return path.Clean("/" + strings.TrimPrefix(r.URL.Path, "/services/"+name))
}

// service forwards a request to a plain service, without the path prefix
// /services/NAME.
func (a *API) service(w http.ResponseWriter, r *http.Request) {
	req, ok := a.readRequest(w, r)
	if !ok {
		return
	}
	name := mux.Vars(r)["service"]
	service, ok := req.index.Service(name)
	if !ok {
		wire.NewFailure(http.StatusNotFound, wire.OutcomeNotRun, codeServiceNotFound, "the service %q does not exist", name).Write(w)
		return
	}
	uri := strings.TrimPrefix(r.URL.RequestURI(), "/services/"+name)
	if !strings.HasPrefix(uri, "/") {
		uri = "/" + uri
	}
	f := a.serve(w, r, dispatch.Request{
		ID:         req.id,
		Team:       req.team.Name,
		Priority:   req.team.Priority,
		Pool:       service.Pool,
		Method:     r.Method,
		Path:       uri,
		Type:       r.Header.Get("Content-Type"),
		Body:       req.body,
		Idempotent: !service.NonIdempotent(r.Method, servicePath(r, name)),
		Deadline:   deadline(r, req.index.Configuration.Policy),
	})
	if f != nil {
		f.Write(w)
	}
}
