package caller

import (
	"net/http"
	"slices"

	"peridotchute.example/common/wire"
	"peridotchute.example/config"
	"peridotchute.example/entry/serving/dispatch"
)

func (a *API) inference(w http.ResponseWriter, r *http.Request) {
	req, ok := a.readRequest(w, r)
	if !ok {
		return
	}
	out, f := inferenceRequest(req, r)
	if f == nil {
		f = a.serve(w, r, out)
	}
	if f != nil {
		f.Write(w)
	}
}

func inferenceRequest(req *request, r *http.Request) (dispatch.Request, *wire.Failure) {
	body, err := parseInference(req.body)
	if err != nil {
		return dispatch.Request{}, wire.NewFailure(http.StatusBadRequest, wire.OutcomeNotRun, codeInvalidJSON, "the body is not a valid request: %v", err)
	}
	resolved, ok := req.index.Resolve(body.model)
	if !ok {
		f := wire.NewFailure(http.StatusNotFound, wire.OutcomeNotRun, codeModelNotFound, "the model %q does not exist", body.model)
		f.Detail.Param = "model"
		return dispatch.Request{}, f
	}
	return dispatch.Request{
		ID:          req.id,
		Team:        req.team.Name,
		Priority:    req.team.Priority,
		Pool:        resolved.Model.Pool,
		Resolved:    &resolved,
		Method:      r.Method,
		Path:        r.URL.RequestURI(),
		Type:        "application/json",
		Body:        req.body,
		Prompt:      body.prompt,
		Stream:      body.stream,
		Idempotent:  !usesAction(resolved.Model, body.tools),
		Deadline:    deadline(r, req.index.Configuration.Policy),
		LastEventID: r.Header.Get(wire.HeaderLastEventID),
	}, nil
}

// usesAction reports whether a request offers a tool that its model declares as
// non-idempotent.
func usesAction(m config.Model, tools []string) bool {
	return slices.ContainsFunc(tools, func(name string) bool { return slices.Contains(m.Tools, name) })
}
