package losses

import (
	"time"

	"peridotchute.example/common/decisionlog"
	"peridotchute.example/common/event"
)

// immediateWait is the wait below which a rejection counts as immediate.
const immediateWait = 20 * time.Millisecond

// cause returns why a request was lost or late, "" if it was served in time.
func (p *process) cause(r *request) string {
	switch r.end.Event {
	case event.RequestServed.ID:
		return ""
	case event.RequestLate.ID:
		return p.late(r)
	case event.RequestRefused.ID, event.KeyUnknown.ID, event.OverQuota.ID:
		return refused(r)
	case event.CallerLeft.ID:
		return p.callerLeft(r)
	case event.StreamCut.ID:
		return streamCut(r)
	}
	return failed(r)
}

func refused(r *request) string {
	when := "after waiting"
	if r.end.Duration("waited_ms") < immediateWait {
		when = "at once"
	}
	switch reason := decisionlog.RefusalReason(r.end.Text("reason")); reason {
	case decisionlog.RefusedModelNotLoaded:
		return "model not loaded: refused " + when
	case decisionlog.RefusedAdapterNotLoaded:
		return "adapter not loaded: refused " + when
	case decisionlog.RefusedTooLate, decisionlog.RefusedQueueFull, decisionlog.RefusedPreempted:
		if r.firstOfBurst && when == "at once" {
			return "refused early in a burst"
		}
		return "refused " + when + ": " + detailOr(r, string(reason))
	default:
		return "refused " + when + ": " + string(reason)
	}
}

func detailOr(r *request, fallback string) string {
	if d := r.end.Text("detail"); d != "" {
		return d
	}
	return fallback
}

func (p *process) late(r *request) string {
	e := r.end
	first, objective := e.Duration("first_byte_ms"), e.Duration("objective_ms")
	waited, expected := e.Duration("waited_ms"), e.Duration("expected_ms")
	switch {
	case len(r.failedAttempts) > 0:
		return "late: a server failed, another one responded"
	case first <= objective:
		return "late: long pause between events"
	case waited >= first/2 && p.waitedForLoad(r):
		return "late: model not loaded, waited"
	case waited >= first/2:
		return "late: waited in the queue"
	case waited+expected > objective:
		return "late: long prefill, as expected"
	default:
		return "late: long prefill, not expected"
	}
}

func (p *process) callerLeft(r *request) string {
	e := r.end
	switch {
	case e.Text("server") == "":
		return "client left while waiting"
	case e.Text("events") != "" || e.Duration("first_byte_ms") > 0:
		return "client left during the response"
	case p.waitedForLoad(r):
		return "client left before the response: model not loaded, waited"
	case e.Duration("waited_ms") >= e.Duration("total_ms")/2:
		return "client left before the response: waited in the queue"
	default:
		return "client left before the response: long prefill"
	}
}

// streamCut returns the cause for a stream that ended early.
func streamCut(r *request) string {
	if r.resumed {
		return "stream cut after being resumed"
	}
	return "stream cut, not resumed: " + r.end.Text("reason")
}

func failed(r *request) string {
	if n := len(r.failedAttempts); n > 0 && r.end.Text("attempts") != "0" {
		last := r.failedAttempts[n-1]
		if decisionlog.FailureKind(last.Text("kind")) != decisionlog.FailureStatus {
			return "failed: server " + last.Text("kind")
		}
	}
	return "failed: " + r.end.Text("reason")
}
