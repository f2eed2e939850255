package explain

import (
	"fmt"
	"strings"
	"time"

	"peridotchute.example/common/decisionlog"
	"peridotchute.example/common/event"
)

// burstWindow is how far back other requests at the same entry are counted.
const burstWindow = 5 * time.Second

// Cause says in a few sentences how the request ended and what the lines show
// of the reason.
func (t *Story) Cause() []string {
	if t.end == nil {
		return t.unfinished()
	}
	switch t.end.Event {
	case event.RequestRefused.ID:
		return t.refused()
	case event.RequestLate.ID:
		return t.late()
	case event.CallerLeft.ID:
		return t.callerLeft()
	case event.RequestServed.ID:
		return append([]string{fmt.Sprintf("Served in time by %s.", t.end.Text("server"))}, t.attempts()...)
	}
	return t.failed()
}

func (t *Story) unfinished() []string {
	said := append([]string{"No line ends this request: it is still in progress, or its process was killed first."}, t.attempts()...)
	last := t.own()[len(t.own())-1]
	if t.Taker.last.Offset <= last.Offset {
		said = append(said, fmt.Sprintf("%s wrote nothing after it.", t.Taker.node))
	}
	return said
}

func (t *Story) refused() []string {
	e := t.end
	said := []string{fmt.Sprintf("Refused with status %s before it ran: %s%s.", e.Text("status"), e.Text("reason"), detail(e))}
	if retry := e.Duration("retry_after_ms"); retry > 0 {
		said = append(said, fmt.Sprintf("The caller was told to come back after %v.", retry))
	}
	if candidates := e.Text("candidates"); candidates != "" {
		said = append(said, fmt.Sprintf("Usable servers that hold what it asked for: %s; %s other requests waited for the service at %s.", candidates, orNone(e.Text("waiting")), t.Taker.node))
	}
	if expected := e.Duration("expected_ms"); expected > 0 {
		said = append(said, fmt.Sprintf("Its answer was expected to begin %v later.", expected))
	}
	said = append(said, t.attempts()...)
	switch decisionlog.RefusalReason(e.Text("reason")) {
	case decisionlog.RefusedNoHolder, decisionlog.RefusedNoAdapter:
		return append(said, t.model()...)
	case decisionlog.RefusedTooLate, decisionlog.RefusedQueueFull, decisionlog.RefusedPreempted:
		return append(said, t.burst())
	}
	return said
}

// model tells who held the model before and whether it was ordered.
func (t *Story) model() []string {
	model := t.end.Text("model")
	var said []string
	ordered := false
	for _, m := range t.Moments {
		l := m.Line
		switch l.Event {
		case event.ServerLeft.ID, event.ServerDraining.ID, event.ServerSuspected.ID:
			said = append(said, fmt.Sprintf("%s: %s %s, as %s saw it%s.", when(m.At), l.Name, l.Text("server"), l.Node, because(l)))
		case event.ModelGone.ID, event.ModelHeld.ID:
			said = append(said, fmt.Sprintf("%s: %s at %s, as %s saw it.", when(m.At), l.Name, l.Text("server"), l.Node))
		case event.OrderGiven.ID, event.OrderDeclined.ID, event.OrderNoAnswer.ID:
			ordered = ordered || m.At <= 0
			said = append(said, fmt.Sprintf("%s: %s to %s: %s%s.", when(m.At), l.Name, l.Text("peer"), l.Text("subject"), because(l)))
		}
	}
	if !ordered {
		said = append(said, fmt.Sprintf("No order for %s is told before the request.", model))
	}
	return said
}

func (t *Story) late() []string {
	e := t.end
	first, objective := e.Duration("first_byte_ms"), e.Duration("objective_ms")
	waited, expected := e.Duration("waited_ms"), e.Duration("expected_ms")
	said := []string{fmt.Sprintf("Served whole but late: first byte after %v, objective %v.", first, objective)}
	if pause := e.Duration("longest_pause_ms"); first <= objective && pause > 0 {
		said = append(said, fmt.Sprintf("The first byte was in time; the longest pause between events of %s was %v, objective %v.", e.Text("server"), pause, e.Duration("gap_objective_ms")))
	} else {
		said = append(said, fmt.Sprintf("Of that it waited %v at %s; the rest, %v, passed at %s, where %v was expected, %v of it for requests before it.",
			waited, t.Taker.node, (first-waited).Round(100*time.Microsecond), e.Text("server"), expected, e.Duration("backlog_ms")))
	}
	said = append(said, t.holders()...)
	return append(append(said, t.attempts()...), t.burst())
}

// holders tells how many servers a late request could have been sent to.
func (t *Story) holders() []string {
	for _, m := range t.Moments {
		if n := m.Line.Text("candidates"); m.Own && n != "" && m.Line.Event == event.ServerChosen.ID {
			return []string{fmt.Sprintf("Usable servers that held what it asked for when its turn came: %s.", n)}
		}
	}
	return nil
}

// burst tells how other requests fared at the same entry shortly before.
func (t *Story) burst() string {
	until := t.end.Offset
	total, troubled := 0, 0
	for _, other := range t.Taker.ended {
		if other.at < until-burstWindow || other.at > until {
			continue
		}
		total++
		if other.event != event.RequestServed.ID {
			troubled++
		}
	}
	return fmt.Sprintf("In the %v before, %s wrote the ends of %d requests, %d of them not in time.", burstWindow, t.Taker.node, total, troubled)
}

// callerLeft tells how far a request had come when its caller gave it up.
func (t *Story) callerLeft() []string {
	e := t.end
	said := []string{fmt.Sprintf("The caller left after %v of the %v that it had announced, with %s events.", e.Duration("total_ms"), e.Duration("deadline_ms"), orNone(e.Text("events")))}
	if server := e.Text("server"); server == "" {
		said = append(said, fmt.Sprintf("It was not sent to any server: it waited %v for its turn at %s.", e.Duration("waited_ms"), t.Taker.node))
	} else {
		said = append(said, fmt.Sprintf("It waited %v for its turn and was then at %s, where its first event was expected after %v.", e.Duration("waited_ms"), server, e.Duration("expected_ms")))
	}
	return append(append(append(said, t.holders()...), t.attempts()...), t.burst())
}

func (t *Story) failed() []string {
	e := t.end
	said := []string{fmt.Sprintf("%s after %v%s.", capital(e.Name), e.Duration("total_ms"), because(e))}
	said = append(said, t.attempts()...)
	for _, m := range t.Moments {
		switch m.Line.Event {
		case event.ServerLeft.ID, event.ServerDraining.ID, event.ServerSuspected.ID:
			said = append(said, fmt.Sprintf("%s: %s %s, as %s saw it%s.", when(m.At), m.Line.Name, m.Line.Text("server"), m.Line.Node, because(m.Line)))
		}
	}
	return said
}

// attempts tells of each failed attempt, and why the last had no successor.
func (t *Story) attempts() []string {
	var said []string
	for _, m := range t.Moments {
		if !m.Own {
			continue
		}
		l := m.Line
		switch l.Event {
		case event.AttemptFailed.ID:
			said = append(said, fmt.Sprintf("Attempt %s at %s failed after %v: %s; %s.", l.Text("attempt"), l.Text("server"), l.Duration("after_ms"), failure(l), ran(l)))
		case event.RequestRetried.ID:
			said = append(said, retried(l))
		case event.RetryWithheld.ID:
			said = append(said, fmt.Sprintf("It was not tried again: %s.", l.Text("reason")))
		}
	}
	return said
}

func retried(l *Line) string {
	if after := l.Text("resume_after"); after != "" {
		return fmt.Sprintf("Attempt %s was to go on after event %s.", l.Text("attempt"), after)
	}
	return fmt.Sprintf("Attempt %s was to follow.", l.Text("attempt"))
}

func failure(l *Line) string {
	text := l.Text("kind")
	if status := l.Text("status"); status != "" {
		text += " " + status
	}
	if err := l.Text("error"); err != "" {
		text += " (" + err + ")"
	}
	return text
}

func ran(l *Line) string {
	if l.Text("not_run") == "true" {
		return "the server did not run it"
	}
	return "the server may have run it"
}

// detail tells what artifact a refusal was about, and its error.
func detail(l *Line) string {
	var parts []string
	if model := l.Text("model"); model != "" {
		parts = append(parts, strings.TrimSuffix(model+"/"+l.Text("adapter"), "/"))
	}
	if detail := l.Text("detail"); detail != "" {
		parts = append(parts, detail)
	}
	if len(parts) == 0 {
		return ""
	}
	return " (" + strings.Join(parts, "; ") + ")"
}

func because(l *Line) string {
	if reason := l.Text("reason"); reason != "" {
		return ": " + reason
	}
	return ""
}

// when tells a time that counts from the request's arrival.
func when(at time.Duration) string {
	at = at.Round(time.Millisecond)
	if at < 0 {
		return fmt.Sprintf("%v before it arrived", -at)
	}
	return fmt.Sprintf("%v after it arrived", at)
}

func orNone(count string) string {
	if count == "" {
		return "no"
	}
	return count
}

func capital(text string) string {
	if text == "" {
		return text
	}
	return strings.ToUpper(text[:1]) + text[1:]
}
