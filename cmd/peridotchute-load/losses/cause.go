package losses

import (
	"time"

	"peridotchute.example/common/decisionlog"
	"peridotchute.example/common/event"
)

// atOnce is the longest wait of a request that was judged when it came.
const atOnce = 20 * time.Millisecond

// cause says why a request was lost or late; it is empty for one served in time.
func (p *process) cause(r *request) string {
	switch r.end.Event {
	case event.RequestServed.ID:
		return ""
	case event.RequestLate.ID:
		return p.late(r)
	case event.RequestRefused.ID:
		return refused(r)
	case event.CallerLeft.ID:
		return p.left(r)
	case event.StreamCut.ID:
		return cut(r)
	}
	return failed(r)
}

func refused(r *request) string {
	when := "after waiting"
	if r.end.Duration("waited_ms") < atOnce {
		when = "at once"
	}
	switch reason := decisionlog.RefusalReason(r.end.Text("reason")); reason {
	case decisionlog.RefusedNoHolder:
		return "model not loaded: refused " + when
	case decisionlog.RefusedNoAdapter:
		return "adapter not loaded: refused " + when
	case decisionlog.RefusedTooLate, decisionlog.RefusedQueueFull, decisionlog.RefusedPreempted:
		if r.quiet && when == "at once" {
			return "refused early in a burst"
		}
		return "refused " + when + ": " + detail(r, string(reason))
	default:
		return "refused " + when + ": " + string(reason)
	}
}

func detail(r *request, otherwise string) string {
	if d := r.end.Text("detail"); d != "" {
		return d
	}
	return otherwise
}

func (p *process) late(r *request) string {
	e := r.end
	first, objective := e.Duration("first_byte_ms"), e.Duration("objective_ms")
	waited, expected := e.Duration("waited_ms"), e.Duration("expected_ms")
	switch {
	case len(r.failed) > 0:
		return "late: a server failed, another answered"
	case first <= objective:
		return "late: long pause between events"
	case waited >= first/2 && p.waitedForLoad(r):
		return "late: model not loaded, waited"
	case waited >= first/2:
		return "late: waited in the line"
	case waited+expected > objective:
		return "late: long prefill, as expected"
	default:
		return "late: long prefill, not expected"
	}
}

func (p *process) left(r *request) string {
	e := r.end
	switch {
	case e.Text("server") == "":
		return "client left while it waited"
	case e.Text("events") != "" || e.Duration("first_byte_ms") > 0:
		return "client left during the answer"
	case p.waitedForLoad(r):
		return "client left before the answer: model not loaded, waited"
	case e.Duration("waited_ms") >= e.Duration("total_ms")/2:
		return "client left before the answer: waited in the line"
	default:
		return "client left before the answer: long prefill"
	}
}

// cut tells of a stream that ended early.
func cut(r *request) string {
	if r.resumed {
		return "stream cut, after it was resumed"
	}
	return "stream cut, not resumed: " + r.end.Text("reason")
}

func failed(r *request) string {
	if n := len(r.failed); n > 0 && r.end.Text("attempts") != "0" {
		last := r.failed[n-1]
		if decisionlog.FailureKind(last.Text("kind")) != decisionlog.FailureStatus {
			return "failed: server " + last.Text("kind")
		}
	}
	return "failed: " + r.end.Text("reason")
}
