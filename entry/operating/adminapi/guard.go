package adminapi

import (
	"errors"
	"fmt"
	"net/http"

	"peridotchute.example/common/admin"
	"peridotchute.example/common/event"
	"peridotchute.example/common/fault"
	"peridotchute.example/common/settings"
	"peridotchute.example/common/wire"
	"peridotchute.example/config"
	"peridotchute.example/config/publish"
	"peridotchute.example/operator/api"
)

// guard admits only operators with the route's role and bounds the body.
func (a *API) guard(rt route) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		who, err := a.authorize(r, rt.role)
		if err != nil {
			event.Log(a.opts.Log, event.OperatorRefused, event.Peer(r.RemoteAddr), event.Subject(rt.path), event.Reason(err.Error()))
			writeError(w, err)
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, bodyLimit(rt.path))
		result, err := rt.handle(&call{r: r, w: w, operator: who})
		if err != nil {
			writeError(w, err)
			return
		}
		admin.WriteJSON(w, http.StatusOK, result)
	})
}

func bodyLimit(path string) int64 {
	if path == api.PathPlan || path == api.PathValidate {
		return api.MaxDeclarationBytes
	}
	return api.MaxRequestBytes
}

// authorize returns the operator's name.
func (a *API) authorize(r *http.Request, role api.Role) (string, error) {
	key := bearer(r.Header.Get("Authorization"))
	if key == "" {
		return "", &refusal{http.StatusUnauthorized, api.CodeUnauthorized, "an operator key is required: Authorization: Bearer KEY"}
	}
	op, ok := a.opts.Keys.find(key)
	if !ok {
		return "", &refusal{http.StatusUnauthorized, api.CodeUnauthorized, "the operator key is not known"}
	}
	if !op.may(role) {
		return "", &refusal{http.StatusForbidden, api.CodeForbidden, fmt.Sprintf("operator %q lacks the role %q", op.name, role)}
	}
	return op.name, nil
}

// refusal is an error with its status and code.
type refusal struct {
	status  int
	code    string
	message string
}

// Error returns the message.
func (r *refusal) Error() string { return r.message }

func badRequest(format string, args ...any) error {
	return &refusal{http.StatusBadRequest, api.CodeBadRequest, fmt.Sprintf(format, args...)}
}

// stale says that the configuration changed since a base version.
type stale struct {
	message    string
	difference config.Difference
}

// Error returns the message.
func (s *stale) Error() string { return s.message }

// answer is what an error is sent as.
type answer struct {
	status int
	code   string
}

var byKind = map[fault.Kind]answer{
	fault.KindInvalid:     {http.StatusBadRequest, api.CodeBadRequest},
	fault.KindNotFound:    {http.StatusNotFound, api.CodeNotFound},
	fault.KindConflict:    {http.StatusConflict, api.CodeConflict},
	fault.KindRefused:     {http.StatusConflict, api.CodeConflict},
	fault.KindUnavailable: {http.StatusServiceUnavailable, api.CodeUnavailable},
	fault.KindUnknown:     {http.StatusGatewayTimeout, api.CodeUnknown},
	fault.KindCanceled:    {http.StatusGatewayTimeout, api.CodeUnknown},
}

func answerOf(err error) answer {
	var refused *refusal
	var changed *stale
	var invalid *settings.Error
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &refused):
		return answer{refused.status, refused.code}
	case errors.As(err, &changed):
		return answer{http.StatusConflict, api.CodeConflict}
	case errors.As(err, &invalid):
		return answer{http.StatusUnprocessableEntity, api.CodeInvalid}
	case errors.As(err, &tooLarge):
		return answer{http.StatusRequestEntityTooLarge, api.CodeTooLarge}
	}
	if known, ok := byKind[fault.KindOf(err)]; ok {
		return known
	}
	return answer{http.StatusInternalServerError, api.CodeInternalError}
}

func writeError(w http.ResponseWriter, err error) {
	an := answerOf(err)
	kind := "invalid_request_error"
	if an.status >= http.StatusInternalServerError {
		kind = "server_error"
	}
	body := api.Error{Error: wire.ErrorDetail{Message: err.Error(), Type: kind, Code: an.code}}
	var invalid *settings.Error
	var changed *stale
	var lost *publish.Conflict
	switch {
	case errors.As(err, &invalid):
		body.Problems = invalid.Problems
	case errors.As(err, &changed):
		body.Difference = changed.difference
	case errors.As(err, &lost):
		body.Difference = lost.Changes
	}
	if an.status == http.StatusUnauthorized {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	admin.WriteJSON(w, an.status, body)
}
