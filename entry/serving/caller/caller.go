// Package caller serves the callers' HTTP API: OpenAI-compatible inference and
// plain services. It checks the request, resolves what it asks for and hands
// it on.
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

// Backend answers a request on w, or returns the failure to be written.
type Backend interface {
	Serve(ctx context.Context, w http.ResponseWriter, req dispatch.Request) *wire.Failure
}

const (
	maxKeyLength     = 255 // of Idempotency-Key, in characters
	headerTimeout    = "X-Request-Timeout-Ms"
	codeInvalidJSON  = "invalid_json"
	codeInvalidKey   = "invalid_api_key"
	codeNoModel      = "model_not_found"
	codeNoService    = "service_not_found"
	codeTooLarge     = "request_too_large"
	codeNotReady     = "not_ready"
	codeBadHeader    = "invalid_header"
	codeReadFailed   = "body_unreadable"
	notReadyRetry    = 2 * time.Second
	longestWait      = 24 * time.Hour // that a caller may ask for
	bearerPrefix     = "Bearer "
	maxRequestIDSize = 128
)

// Actions runs non-idempotent actions at most once and tells their outcomes.
type Actions interface {
	Backend
	// Outcome answers what became of the team's action on w, or returns the
	// failure to be written.
	Outcome(ctx context.Context, w http.ResponseWriter, team, key string) *wire.Failure
	// Refuse returns the failure of a request that was not let in, with the
	// outcome that its key allows to be told.
	Refuse(ctx context.Context, req dispatch.Request, f *wire.Failure) *wire.Failure
}

// Jobs accepts work that may be answered later.
type Jobs interface {
	// Accept answers 202 on w once the work is durable, or returns the failure
	// to be written.
	Accept(ctx context.Context, w http.ResponseWriter, req dispatch.Request) *wire.Failure
	// Result answers what became of the team's job on w, or returns the failure
	// to be written.
	Result(ctx context.Context, w http.ResponseWriter, team, id string) *wire.Failure
}

// Admitter decides whether a request is let in. release is called when it has
// ended; a failure has not been written.
type Admitter interface {
	Admit(ctx context.Context, req dispatch.Request) (release func(), f *wire.Failure)
}

// API is the callers' API.
type API struct {
	holder   *config.Holder
	admitter Admitter
	backend  Backend
	actions  Actions
	jobs     Jobs
}

// New returns the API over the configuration in force.
func New(holder *config.Holder, admitter Admitter, backend Backend, actions Actions, jobs Jobs) *API {
	return &API{holder: holder, admitter: admitter, backend: backend, actions: actions, jobs: jobs}
}

// Handler returns the API's routes.
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

// request is what every route establishes first.
type request struct {
	id    string
	index *config.Index
	team  config.Team
	body  []byte
}

// open names the request, authenticates its caller and reads its body. After a
// failure the response is complete.
func (a *API) open(w http.ResponseWriter, r *http.Request) (*request, bool) {
	req := &request{id: requestID(r), index: a.holder.Current()}
	w.Header().Set(wire.HeaderRequestID, req.id)
	if f := a.check(req, r); f != nil {
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

func (a *API) check(req *request, r *http.Request) *wire.Failure {
	if req.index == nil {
		return wire.NewFailure(http.StatusServiceUnavailable, unheard(r), codeNotReady, "no configuration is in force yet").After(notReadyRetry)
	}
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
	if !ok {
		return wire.NewFailure(http.StatusUnauthorized, wire.OutcomeNotRun, codeInvalidKey, "the header Authorization: Bearer is missing")
	}
	req.team, ok = req.index.TeamOf(strings.TrimSpace(key))
	if !ok {
		return wire.NewFailure(http.StatusUnauthorized, wire.OutcomeNotRun, codeInvalidKey, "the API key is not known")
	}
	return checkIdempotencyKey(r)
}

// unheard returns the outcome of a request that was turned away unread. Under
// the caller's own key an earlier request may have run.
func unheard(r *http.Request) wire.Outcome {
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
	if len(values) > 1 || values[0] == "" || len(values[0]) > maxKeyLength || !printable(values[0]) {
		return wire.NewFailure(http.StatusBadRequest, wire.OutcomeNotRun, codeBadHeader, "%s must be one value of 1 to %d printable ASCII characters", wire.HeaderIdempotency, maxKeyLength)
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
	if id := r.Header.Get(wire.HeaderRequestID); id != "" && len(id) <= maxRequestIDSize && printable(id) {
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
		return nil, wire.NewFailure(http.StatusBadRequest, wire.OutcomeNotRun, codeReadFailed, "the body could not be read")
	}
	return body, nil
}

// deadline returns when the caller gives up, by its own header or the default.
func deadline(r *http.Request, p config.Policy) time.Time {
	wait := p.Deadline()
	if ms, err := strconv.ParseInt(r.Header.Get(headerTimeout), 10, 64); err == nil && ms > 0 {
		wait = time.Duration(min(ms, longestWait.Milliseconds())) * time.Millisecond
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
	req, ok := a.open(w, r)
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
