// Package caller serves the callers' HTTP API: OpenAI-compatible inference and
// plain services. It authenticates the caller, resolves the model or service and
// forwards the request.
package caller

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/gorilla/mux"

	"peridotchute.example/common/wire"
	"peridotchute.example/config"
	"peridotchute.example/entry/serving/dispatch"
)

// Backend serves a request on w, or returns the failure to be written.
type Backend interface {
	Serve(ctx context.Context, w http.ResponseWriter, req dispatch.Request) *wire.Failure
}

const (
	maxIdempotencyKeyLength = 255 // in characters
	headerTimeout           = "X-Request-Timeout-Ms"
	codeInvalidJSON         = "invalid_json"
	codeInvalidAPIKey       = "invalid_api_key"
	codeModelNotFound       = "model_not_found"
	codeServiceNotFound     = "service_not_found"
	codeTooLarge            = "request_too_large"
	codeNotReady            = "not_ready"
	codeInvalidHeader       = "invalid_header"
	codeBodyUnreadable      = "body_unreadable"
	notReadyRetryAfter      = 2 * time.Second
	maxDeadline             = 24 * time.Hour // limit of headerTimeout
	bearerPrefix            = "Bearer "
	maxRequestIDLength      = 128
)

// Actions runs non-idempotent actions at most once and reports their outcomes.
type Actions interface {
	Backend
	// Outcome writes the outcome of the team's action to w, or returns the failure
	// to be written.
	Outcome(ctx context.Context, w http.ResponseWriter, team, key string) *wire.Failure
	// SetRejectionOutcome returns f, the failure of a request that was not
	// admitted, with its outcome set: unknown if an earlier request with the same
	// key may have run.
	SetRejectionOutcome(ctx context.Context, req dispatch.Request, f *wire.Failure) *wire.Failure
}

// Jobs accepts asynchronous requests.
type Jobs interface {
	// Accept writes status 202 to w once the request is stored as a job, or
	// returns the failure to be written.
	Accept(ctx context.Context, w http.ResponseWriter, req dispatch.Request) *wire.Failure
	// Result writes the response or the status of the team's job to w, or returns
	// the failure to be written.
	Result(ctx context.Context, w http.ResponseWriter, team, id string) *wire.Failure
}

// Admitter decides whether a request is admitted. The caller must call release
// when an admitted request has ended, or write the failure.
type Admitter interface {
	Admit(ctx context.Context, req dispatch.Request) (release func(), f *wire.Failure)
}

// API serves the HTTP API for callers.
type API struct {
	holder   *config.Holder
	admitter Admitter
	backend  Backend
	actions  Actions
	jobs     Jobs
}

// New returns the API. It uses the active configuration of holder.
func New(holder *config.Holder, admitter Admitter, backend Backend, actions Actions, jobs Jobs) *API {
	return &API{holder: holder, admitter: admitter, backend: backend, actions: actions, jobs: jobs}
}

// Handler returns the handler of all routes.
func (a *API) Handler() http.Handler {
	r := mux.NewRouter().UseEncodedPath()
	r.HandleFunc("/v1/chat/completions", a.inference).Methods(http.MethodPost)
	r.HandleFunc("/v1/completions", a.inference).Methods(http.MethodPost)
	r.HandleFunc("/v1/models", a.models).Methods(http.MethodGet)
	r.HandleFunc("/v1/actions/{key:.+}", a.outcome).Methods(http.MethodGet)
	r.HandleFunc("/v1/jobs/{id}", a.job).Methods(http.MethodGet)
	r.PathPrefix("/services/{service}").HandlerFunc(a.service)
	return r
}

// request is an authenticated request with its body.
type request struct {
	id    string
	index *config.Index
	team  config.Team
	body  []byte
}

// readRequest assigns the request id, authenticates the caller and reads the
// body. If it returns false, it has written the error response.
func (a *API) readRequest(w http.ResponseWriter, r *http.Request) (*request, bool) {
	req := &request{id: requestID(r), index: a.holder.Current()}
	w.Header().Set(wire.HeaderRequestID, req.id)
	if f := a.checkHeaders(req, r); f != nil {
		f.Write(w)
		return nil, false
	}
	body, f := readBody(w, r, req.index.Configuration.Policy.BodyLimit())
	if f != nil {
		f.Write(w)
		return nil, false
	}
	req.body = body
	return req, true
}

func (a *API) checkHeaders(req *request, r *http.Request) *wire.Failure {
	if req.index == nil {
		return wire.NewFailure(http.StatusServiceUnavailable, unreadOutcome(r), codeNotReady, "no configuration is active yet").WithRetryAfter(notReadyRetryAfter)
	}
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
	if !ok {
		return wire.NewFailure(http.StatusUnauthorized, wire.OutcomeNotRun, codeInvalidAPIKey, "the header Authorization: Bearer is missing")
	}
	req.team, ok = req.index.TeamByKey(strings.TrimSpace(key))
	if !ok {
		return wire.NewFailure(http.StatusUnauthorized, wire.OutcomeNotRun, codeInvalidAPIKey, "the API key is not known")
	}
	return checkIdempotencyKey(r)
}

// unreadOutcome returns the outcome of a request that was rejected before its
// body was read. An earlier request with the same idempotency key may have run.
func unreadOutcome(r *http.Request) wire.Outcome {
	if r.Header.Get(wire.HeaderIdempotency) != "" {
		return wire.OutcomeUnknown
	}
	return wire.OutcomeNotRun
}

func checkIdempotencyKey(r *http.Request) *wire.Failure {
	values := r.Header.Values(wire.HeaderIdempotency)
	if len(values) == 0 {
		return nil
	}
	if len(values) > 1 || values[0] == "" || len(values[0]) > maxIdempotencyKeyLength || !printable(values[0]) {
		return wire.NewFailure(http.StatusBadRequest, wire.OutcomeNotRun, codeInvalidHeader, "%s must be one value of 1 to %d printable ASCII characters", wire.HeaderIdempotency, maxIdempotencyKeyLength)
	}
	return nil
}

func printable(s string) bool {
	for _, c := range []byte(s) {
		if c < 0x20 || c > 0x7e {
			return false
		}
	}
	return true
}

func requestID(r *http.Request) string {
	if id := r.Header.Get(wire.HeaderRequestID); id != "" && len(id) <= maxRequestIDLength && printable(id) {
		return id
	}
	return uuid.Must(uuid.NewV7()).String()
}

func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, *wire.Failure) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, wire.NewFailure(http.StatusRequestEntityTooLarge, wire.OutcomeNotRun, codeTooLarge, "the body is longer than %d bytes", limit)
	}
	if err != nil {
		return nil, wire.NewFailure(http.StatusBadRequest, wire.OutcomeNotRun, codeBodyUnreadable, "the body could not be read")
	}
	return body, nil
}

// deadline returns the deadline from the caller's timeout header, limited to
// maxDeadline, or the policy's default if the header is missing or invalid.
func deadline(r *http.Request, p config.Policy) time.Time {
	wait := p.Deadline()
	if ms, err := strconv.ParseInt(r.Header.Get(headerTimeout), 10, 64); err == nil && ms > 0 {
		wait = time.Duration(min(ms, maxDeadline.Milliseconds())) * time.Millisecond
	}
	return time.Now().Add(wait)
}

// modelList is the body of GET /v1/models.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelInfo `json:"data"`
}

type modelInfo struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

func (a *API) models(w http.ResponseWriter, r *http.Request) {
	req, ok := a.readRequest(w, r)
	if !ok {
		return
	}
	list := modelList{Object: "list", Data: []modelInfo{}}
	for _, m := range req.index.Configuration.Models {
		list.Data = append(list.Data, modelInfo{ID: m.Name, Object: "model", OwnedBy: "peridotchute"})
	}
	for _, ad := range req.index.Configuration.Adapters {
		list.Data = append(list.Data, modelInfo{ID: ad.Name, Object: "model", OwnedBy: "peridotchute"})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list)
}
