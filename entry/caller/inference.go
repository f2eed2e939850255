package caller

import (
	"encoding/json"
	"net/http"
	"slices"

	"peridotchute.example/common/wire"
	"peridotchute.example/config"
	"peridotchute.example/entry/dispatch"
)

// inferenceBody holds the fields of an inference request that the entry reads.
type inferenceBody struct {
	Model  string `json:"model"`
	Stream bool   `json:"stream"`
	Tools  []tool `json:"tools"`

	Messages json.RawMessage `json:"messages"`
	Prompt   json.RawMessage `json:"prompt"`
}

// prompt returns the text that the engine's prefix cache keeps.
func (b inferenceBody) prompt() []byte {
	if b.Messages != nil {
		return b.Messages
	}
	return b.Prompt
}

type tool struct {
	Function function `json:"function"`
}

type function struct {
	Name string `json:"name"`
}

func (a *API) inference(w http.ResponseWriter, r *http.Request) {
	req, ok := a.open(w, r)
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
	var body inferenceBody
	if err := json.Unmarshal(req.body, &body); err != nil {
		return dispatch.Request{}, wire.NewFailure(http.StatusBadRequest, wire.OutcomeNotRun, codeInvalidJSON, "the body is not valid JSON: %v", err)
	}
	served, ok := req.index.Resolve(body.Model)
	if !ok {
		f := wire.NewFailure(http.StatusNotFound, wire.OutcomeNotRun, codeNoModel, "the model %q does not exist", body.Model)
		f.Detail.Param = "model"
		return dispatch.Request{}, f
	}
	return dispatch.Request{
		ID:         req.id,
		Team:       req.team.Name,
		Priority:   req.team.Priority,
		Pool:       served.Model.Pool,
		Served:     &served,
		Method:     r.Method,
		Path:       r.URL.RequestURI(),
		Type:       "application/json",
		Body:       req.body,
		Prompt:     body.prompt(),
		Stream:     body.Stream,
		Idempotent: !usesAction(served.Model, body.Tools),
		Deadline:   deadline(r, req.index.Configuration.Policy),
		LastID:     r.Header.Get(wire.HeaderLastEventID),
	}, nil
}

// usesAction reports whether a request names a tool that its model declares as
// non-idempotent.
func usesAction(m config.Model, tools []tool) bool {
	return slices.ContainsFunc(tools, func(t tool) bool {
		return slices.Contains(m.Tools, t.Function.Name)
	})
}
