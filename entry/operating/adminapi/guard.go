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

// guard wraps a route: it requires an operator with the route's role and limits
// the size of the body.
func (a *API) guard(rt route) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		operator, err := a.authorize(r, rt.role)
		if err != nil {
			event.Log(a.opts.Log, event.OperatorRefused, event.Peer(r.RemoteAddr), event.Subject(rt.path), event.Reason(err.Error()))
			writeError(w, err)
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, bodyLimit(rt.path))
		result, err := rt.handle(&call{r: r, w: w, operator: operator})
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

// authorize returns the operator's name, or an error if the key is unknown or the
// operator lacks the role.
func (a *API) authorize(r *http.Request, role api.Role) (string, error) {
	key := bearer(r.Header.Get("Authorization"))
	if key == "" {
		return "", &statusError{http.StatusUnauthorized, api.CodeUnauthorized, "an operator key is required: Authorization: Bearer KEY"}
	}
	op, ok := a.opts.Keys.find(key)
	if !ok {
		return "", &statusError{http.StatusUnauthorized, api.CodeUnauthorized, "the operator key is not known"}
	}
	if !op.hasRole(role) {
		return "", &statusError{http.StatusForbidden, api.CodeForbidden, fmt.Sprintf("operator %q lacks the role %q", op.name, role)}
	}
	return op.name, nil
}

// statusError is an error with an HTTP status and an API error code.
type statusError struct {
	status  int
	code    string
	message string
}

// Error returns the message.
func (e *statusError) Error() string { return e.message }

func badRequest(format string, args ...any) error {
	return &statusError{http.StatusBadRequest, api.CodeBadRequest, fmt.Sprintf(format, args...)}
}

// staleBaseError reports that the configuration has changed since the base version
// of a declaration.
type staleBaseError struct {
	message    string
	difference config.Difference
}

// Error returns the message.
func (e *staleBaseError) Error() string { return e.message }

// errorStatus is the HTTP status and API error code of an error.
type errorStatus struct {
	httpStatus int
	code       string
}

var statusByKind = map[fault.Kind]errorStatus{
	fault.KindInvalid:     {http.StatusBadRequest, api.CodeBadRequest},
	fault.KindNotFound:    {http.StatusNotFound, api.CodeNotFound},
	fault.KindConflict:    {http.StatusConflict, api.CodeConflict},
	fault.KindRefused:     {http.StatusConflict, api.CodeConflict},
	fault.KindUnavailable: {http.StatusServiceUnavailable, api.CodeUnavailable},
	fault.KindUnknown:     {http.StatusGatewayTimeout, api.CodeUnknown},
	fault.KindCanceled:    {http.StatusGatewayTimeout, api.CodeUnknown},
}

func errorStatusOf(err error) errorStatus {
	var statusErr *statusError
	var staleBase *staleBaseError
	var invalid *settings.Error
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &statusErr):
		return errorStatus{statusErr.status, statusErr.code}
	case errors.As(err, &staleBase):
		return errorStatus{http.StatusConflict, api.CodeConflict}
	case errors.As(err, &invalid):
		return errorStatus{http.StatusUnprocessableEntity, api.CodeInvalid}
	case errors.As(err, &tooLarge):
		return errorStatus{http.StatusRequestEntityTooLarge, api.CodeTooLarge}
	}
	if status, ok := statusByKind[fault.KindOf(err)]; ok {
		return status
	}
	return errorStatus{http.StatusInternalServerError, api.CodeInternalError}
}

func writeError(w http.ResponseWriter, err error) {
	status := errorStatusOf(err)
	kind := "invalid_request_error"
	if status.httpStatus >= http.StatusInternalServerError {
		kind = "server_error"
	}
	body := api.Error{Error: wire.ErrorDetail{Message: err.Error(), Type: kind, Code: status.code}}
	var invalid *settings.Error
	var staleBase *staleBaseError
	var conflict *publish.Conflict
	switch {
	case errors.As(err, &invalid):
		body.Problems = invalid.Problems
	case errors.As(err, &staleBase):
		body.Difference = staleBase.difference
	case errors.As(err, &conflict):
		body.Difference = conflict.Changes
	}
	if status.httpStatus == http.StatusUnauthorized {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	admin.WriteJSON(w, status.httpStatus, body)
}
