package job

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/google/uuid"

	"peridotchute.example/common/event"
	"peridotchute.example/common/fault"
	"peridotchute.example/common/wire"
	"peridotchute.example/entry/serving/answer"
	"peridotchute.example/entry/serving/dispatch"
	"peridotchute.example/idempotency"
	"peridotchute.example/store"
)

const (
	storeRetryAfter      = 2 * time.Second
	pollInterval         = time.Second // sent as Retry-After while a job has not ended
	codeStoreUnavailable = "store_unavailable"
	codeTooLarge         = "request_too_large"
	codeJobNotFound      = "job_not_found"
	codeUnresolved       = "unresolved"
	codeAnswerExpired    = "answer_expired"
	codeInternal         = "internal"
)

// Accept stores the request as a job and then writes status 202 to w, or returns
// the failure to be written.
func (s *Server) Accept(ctx context.Context, w http.ResponseWriter, req dispatch.Request) *wire.Failure {
	rec, f := s.newRecord(req)
	if f != nil {
		return f
	}
	stored, f := s.store(ctx, rec)
	if f != nil {
		return f
	}
	if stored.Digest != rec.Digest {
		return wire.NewFailure(http.StatusUnprocessableEntity, wire.OutcomeNotRun, string(idempotency.CodeMismatch), "this Idempotency-Key was used with another request")
	}
	event.Log(s.opts.Log, event.JobAccepted, event.Subject(rec.ID))
	s.enqueue(rec.Team, rec.ID)
	w.Header().Set("Location", "/v1/jobs/"+url.PathEscape(rec.ID))
	w.Header().Set("Preference-Applied", "respond-async")
	writeStatus(w, stored)
	return nil
}

func (s *Server) newRecord(req dispatch.Request) (Record, *wire.Failure) {
	if len(req.Body) > maxBodyBytes {
		return Record{}, wire.NewFailure(http.StatusRequestEntityTooLarge, wire.OutcomeNotRun, codeTooLarge, "the body of an asynchronous request is limited to %d bytes", maxBodyBytes)
	}
	jobReq := newRequest(req)
	digest, err := jobReq.digest()
	if err != nil {
		return Record{}, wire.NewFailure(http.StatusInternalServerError, wire.OutcomeNotRun, codeInternal, "%v", err)
	}
	now := time.Now()
	rec := Record{
		ID:         uuid.Must(uuid.NewV7()).String(),
		Team:       req.Team,
		Digest:     digest,
		State:      StateAccepted,
		Request:    jobReq,
		AcceptedAt: now,
		Expires:    now.Add(s.opts.Holder.Current().Configuration.Policy.Retention()),
	}
	if req.Key != "" {
		rec.ID = jobID(req.Team, req.Key)
	}
	return rec, nil
}

// store writes the row unless it exists and returns the stored record. If the
// write conflicts or its outcome is unknown, it reads the row.
func (s *Server) store(ctx context.Context, rec Record) (Record, *wire.Failure) {
	value, err := json.Marshal(rec)
	if err != nil {
		return rec, wire.NewFailure(http.StatusInternalServerError, wire.OutcomeNotRun, codeInternal, "%v", err)
	}
	_, err = s.opts.Table.PutIfAbsent(ctx, rowKey(rec.Team, rec.ID), value)
	if err == nil {
		return rec, nil
	}
	outcome := wire.OutcomeUnknown
	if fault.Is(err, fault.KindConflict) || fault.Is(err, fault.KindUnknown) {
		stored, _, readErr := s.read(ctx, rec.Team, rec.ID)
		if readErr == nil {
			return stored, nil
		}
	} else if fault.Is(err, fault.KindUnavailable) {
		outcome = wire.OutcomeNotRun
	}
	return rec, wire.NewFailure(http.StatusServiceUnavailable, outcome, codeStoreUnavailable, "the job could not be stored").WithRetryAfter(storeRetryAfter)
}

// read returns a job and its row. The error has KindNotFound if there is none.
func (s *Server) read(ctx context.Context, team, id string) (Record, store.Row, error) {
	row, err := s.opts.Table.Get(ctx, rowKey(team, id))
	if err != nil {
		return Record{}, row, err
	}
	rec, err := decodeRecord(row)
	return rec, row, err
}

func decodeRecord(row store.Row) (Record, error) {
	var rec Record
	if err := json.Unmarshal(row.Value, &rec); err != nil {
		return rec, fault.New(fault.KindInternal, "job.decode", row.Key, err)
	}
	return rec, nil
}

// Result writes the response or the status of a team's job to w, or returns the
// failure to be written.
func (s *Server) Result(ctx context.Context, w http.ResponseWriter, team, id string) *wire.Failure {
	rec, _, err := s.read(ctx, team, id)
	if err == nil {
		rec.Answer, err = s.opts.Answers.Load(ctx, answer.Stored{Answer: rec.Answer, Object: rec.Object})
	}
	switch {
	case fault.Is(err, fault.KindNotFound):
		return wire.NewFailure(http.StatusNotFound, "", codeJobNotFound, "no job has this id")
	case err != nil:
		return wire.NewFailure(http.StatusServiceUnavailable, "", codeStoreUnavailable, "the table service or the object store cannot be reached").WithRetryAfter(storeRetryAfter)
	case rec.State == StateUnresolved:
		return wire.NewFailure(http.StatusBadGateway, wire.OutcomeUnknown, codeUnresolved, "it cannot be determined whether the work was done; an operator will settle it")
	case rec.State == StateDone && rec.Answer == nil:
		return wire.NewFailure(http.StatusGone, wire.OutcomeCompleted, codeAnswerExpired, "the work was done, but its response is no longer stored")
	case rec.State == StateDone:
		writeAnswer(w, rec.Answer)
		return nil
	}
	writeStatus(w, rec)
	return nil
}

// status is the response body for a job that has not ended.
type status struct {
	ID    string `json:"id"`
	State State  `json:"state"`
	Tries int    `json:"tries"`
}

func writeStatus(w http.ResponseWriter, rec Record) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Retry-After", strconv.Itoa(int(pollInterval/time.Second)))
	w.WriteHeader(http.StatusAccepted)
	_ = json.NewEncoder(w).Encode(status{ID: rec.ID, State: rec.State, Tries: rec.Tries})
}

func writeAnswer(w http.ResponseWriter, a *wire.Answer) {
	for name, values := range a.Header {
		w.Header()[name] = values
	}
	w.Header().Set(wire.HeaderOutcome, string(wire.OutcomeCompleted))
	w.Header().Set("Content-Length", strconv.Itoa(len(a.Body)))
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
}
