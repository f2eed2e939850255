package explain

import (
	"cmp"
	"fmt"
	"strings"
	"time"

	"peridotchute.example/common/decisionlog"
	"peridotchute.example/common/event"
)

// recentWindow is the time before the request's end in which other requests at
// the same entry are counted.
const recentWindow = 5 * time.Second

// Cause describes in a few sentences how the request ended and what the logs
// show about the reason.
func (t *Timeline) Cause() []string {
	if t.end == nil {
		return t.unfinishedCause()
	}
	switch t.end.Event {
	case event.RequestRefused.ID, event.KeyUnknown.ID, event.OverQuota.ID:
		return t.refusedCause()
	case event.RequestLate.ID:
		return t.lateCause()
	case event.CallerLeft.ID:
		return t.callerLeftCause()
	case event.RequestServed.ID:
		return append([]string{fmt.Sprintf("Served in time by %s.", t.end.Text("server"))}, t.attempts()...)
	}
	return t.failedCause()
}

func (t *Timeline) unfinishedCause() []string {
	sentences := append([]string{"No log line ends this request: it is still in progress, or its process was killed first."}, t.attempts()...)
	last := t.ownLines()[len(t.ownLines())-1]
	if t.Entry.last.Offset <= last.Offset {
		sentences = append(sentences, fmt.Sprintf("%s logged nothing after the last line of this request.", t.Entry.node))
	}
	return sentences
}

func (t *Timeline) refusedCause() []string {
	e := t.end
	sentences := []string{fmt.Sprintf("Refused with status %s before it ran: %s%s.", e.Text("status"), e.Text("reason"), detail(e))}
	if retry := e.Duration("retry_after_ms"); retry > 0 {
		sentences = append(sentences, fmt.Sprintf("The caller was asked to retry after %v.", retry))
	}
	if candidates := e.Text("candidates"); candidates != "" {
		sentences = append(sentences, fmt.Sprintf("Usable servers that have loaded the requested artifact: %s; %s other requests were queued for the service at %s.", candidates, countOrNo(e.Text("waiting")), t.Entry.node))
	}
	if expected := e.Duration("expected_ms"); expected > 0 {
		sentences = append(sentences, fmt.Sprintf("Its response was expected to begin %v later.", expected))
	}
	sentences = append(sentences, t.attempts()...)
	switch decisionlog.RefusalReason(e.Text("reason")) {
	case decisionlog.RefusedModelNotLoaded, decisionlog.RefusedAdapterNotLoaded:
		return append(sentences, t.modelHistory()...)
	case decisionlog.RefusedPart, decisionlog.RefusedRequest:
		return append(sentences, t.quarantineHistory()...)
	case decisionlog.RefusedTooLate, decisionlog.RefusedQueueFull, decisionlog.RefusedPreempted:
		return append(append(sentences, t.serverHistory()...), t.recentOutcomes())
	case decisionlog.RefusedKeyUnknown:
		return append(sentences, fmt.Sprintf("Configuration version at %s: see its last line %d (%s) before the request.", t.Entry.node, event.ConfigReplaced.ID, event.ConfigReplaced.Name))
	case decisionlog.RefusedQuota, decisionlog.RefusedQuotaUnknown:
		return append(sentences, fmt.Sprintf("The quota of client account %s is shared by all entries; section quotas of the state dump has this entry's part and the pool it asks.", e.Text("account")))
	}
	return sentences
}

// modelHistory describes the changes at servers of the requested model, and the
// orders for the model, around the request.
func (t *Timeline) modelHistory() []string {
	model := t.end.Text("model")
	var sentences []string
	ordered := false
	for _, item := range t.Items {
		l := item.Line
		switch l.Event {
		case event.ServerLeft.ID, event.ServerDraining.ID, event.ServerSuspected.ID:
			sentences = append(sentences, fmt.Sprintf("%s: %s %s, logged by %s%s.", relativeTime(item.At), l.Name, l.Text("server"), l.Node, reasonSuffix(l)))
		case event.ModelUnloaded.ID, event.ModelLoaded.ID:
			sentences = append(sentences, fmt.Sprintf("%s: %s at %s, logged by %s.", relativeTime(item.At), l.Name, l.Text("server"), l.Node))
		case event.OrderIssued.ID, event.OrderDeclined.ID, event.OrderNoAnswer.ID:
			ordered = ordered || item.At <= 0
			sentences = append(sentences, fmt.Sprintf("%s: %s to %s: %s%s.", relativeTime(item.At), l.Name, l.Text("peer"), l.Text("subject"), reasonSuffix(l)))
		}
	}
	if !ordered {
		sentences = append(sentences, fmt.Sprintf("No order for %s was logged before the request.", model))
	}
	return sentences
}

// quarantineHistory describes how the entries learned that servers crash on a part of the
// request's prompt, or on the request.
func (t *Timeline) quarantineHistory() []string {
	var sentences []string
	for _, item := range t.Items {
		l := item.Line
		switch {
		case isFinding(l):
			sentences = append(sentences, fmt.Sprintf("%s: %s found that servers crash on %s, by %s crashes that lost the requests %s.",
				relativeTime(item.At), l.Node, crashCause(l), l.Text("crashes"), l.Text("requests")))
		case isQuarantine(l):
			sentences = append(sentences, fmt.Sprintf("%s: %s learned of %s from %s.", relativeTime(item.At), l.Node, crashCause(l), l.Text("source")))
		case l.Event == event.PartReleased.ID || l.Event == event.RequestReleased.ID:
			sentences = append(sentences, fmt.Sprintf("%s: %s released %s.", relativeTime(item.At), l.Node, crashCause(l)))
		}
	}
	return sentences
}

// crashCause names what a line says that servers crash on, or "".
func crashCause(l *Line) string {
	if part := l.Text("part"); part != "" {
		return "prompt part " + part
	}
	if digest := l.Text("digest"); digest != "" {
		return "request digest " + digest
	}
	return ""
}

func (t *Timeline) lateCause() []string {
	e := t.end
	first, objective := e.Duration("first_byte_ms"), e.Duration("objective_ms")
	waited, expected := e.Duration("waited_ms"), e.Duration("expected_ms")
	sentences := []string{fmt.Sprintf("Served completely but late: first byte after %v, objective %v.", first, objective)}
	if pause := e.Duration("longest_pause_ms"); first <= objective && pause > 0 {
		sentences = append(sentences, fmt.Sprintf("The first byte was on time; the longest pause between events of %s was %v, objective %v.", e.Text("server"), pause, e.Duration("gap_objective_ms")))
	} else {
		sentences = append(sentences, fmt.Sprintf("It was queued for %v at %s; the rest, %v, was spent at %s, where %v was expected, %v of it for requests ahead of it.",
			waited, t.Entry.node, (first-waited).Round(100*time.Microsecond), e.Text("server"), expected, e.Duration("backlog_ms")))
	}
	sentences = append(sentences, t.candidates()...)
	return append(append(sentences, t.attempts()...), t.recentOutcomes())
}

// candidates describes how many servers the request could have been sent to.
func (t *Timeline) candidates() []string {
	for _, item := range t.Items {
		if n := item.Line.Text("candidates"); item.Own && n != "" && item.Line.Event == event.ServerChosen.ID {
			return []string{fmt.Sprintf("Usable servers that had loaded the requested artifact when it left the queue: %s.", n)}
		}
	}
	return nil
}

// recentOutcomes describes how other requests ended at the same entry within
// recentWindow.
func (t *Timeline) recentOutcomes() string {
	until := t.end.Offset
	total, notInTime := 0, 0
	for _, other := range t.Entry.ends {
		if other.at < until-recentWindow || other.at > until {
			continue
		}
		total++
		if other.event != event.RequestServed.ID {
			notInTime++
		}
	}
	return fmt.Sprintf("In the %v before its end, %s logged the end of %d requests, %d of them not served in time.", recentWindow, t.Entry.node, total, notInTime)
}

// callerLeftCause describes how far the request had progressed when its caller
// disconnected.
func (t *Timeline) callerLeftCause() []string {
	e := t.end
	sentences := []string{fmt.Sprintf("The caller disconnected after %v of its deadline of %v, with %s events received.", e.Duration("total_ms"), e.Duration("deadline_ms"), countOrNo(e.Text("events")))}
	if server := e.Text("server"); server == "" {
		sentences = append(sentences, fmt.Sprintf("It was not sent to any server: it was queued for %v at %s.", e.Duration("waited_ms"), t.Entry.node))
	} else {
		sentences = append(sentences, fmt.Sprintf("It was queued for %v and then sent to %s, where its first event was expected after %v.", e.Duration("waited_ms"), server, e.Duration("expected_ms")))
	}
	return append(append(append(sentences, t.candidates()...), t.attempts()...), t.recentOutcomes())
}

func (t *Timeline) failedCause() []string {
	e := t.end
	sentences := []string{fmt.Sprintf("%s after %v%s.", capitalize(e.Name), e.Duration("total_ms"), reasonSuffix(e))}
	sentences = append(append(sentences, t.attempts()...), t.quarantineHistory()...)
	return append(sentences, t.serverHistory()...)
}

// serverHistory describes which of the request's servers, and of its service's, left, crashed
// or could not be reached.
func (t *Timeline) serverHistory() []string {
	var sentences []string
	for _, item := range t.Items {
		switch item.Line.Event {
		case event.ServerLeft.ID, event.ServerDraining.ID, event.ServerSuspected.ID, event.ServerCrashed.ID:
			sentences = append(sentences, fmt.Sprintf("%s: %s %s, logged by %s%s.", relativeTime(item.At), item.Line.Name, item.Line.Text("server"), item.Line.Node, reasonSuffix(item.Line)))
		}
	}
	return sentences
}

// attempts describes each failed attempt and why the last one was not retried.
func (t *Timeline) attempts() []string {
	var sentences []string
	for _, item := range t.Items {
		if !item.Own {
			continue
		}
		l := item.Line
		switch l.Event {
		case event.AttemptFailed.ID:
			sentences = append(sentences, fmt.Sprintf("Attempt %s at %s failed after %v: %s; %s.", l.Text("attempt"), l.Text("server"), l.Duration("after_ms"), failureText(l), executionText(l)))
		case event.StreamResumed.ID:
			sentences = append(sentences, fmt.Sprintf("The client resumed the stream of request %s after event %s.", l.Text("resumes"), l.Text("last_event")))
		case event.OriginSought.ID:
			sentences = append(sentences, originText(l))
		case event.ServerSilent.ID:
			sentences = append(sentences, fmt.Sprintf("During attempt %s, %s sent nothing for %v on any connection of %s.", l.Text("attempt"), l.Text("server"), l.Duration("silent_ms"), t.Entry.node))
		case event.RequestRetried.ID:
			sentences = append(sentences, retryText(l))
		case event.RetryWithheld.ID:
			sentences = append(sentences, fmt.Sprintf("It was not retried: %s.", l.Text("reason")))
		}
	}
	return sentences
}

// originText says what the entry knew of the version that began a resumed stream.
func originText(l *Line) string {
	text := fmt.Sprintf("The software version that began the stream was %s", l.Text("origin"))
	if software := l.Text("software"); software != "" {
		text += " (" + software + ")"
	}
	if source := l.Text("source"); source != "" {
		text += ", from " + source
	}
	if store := l.Text("store"); store != "" {
		text += fmt.Sprintf("; the store's records: %s, %s known; splits: %s", store, cmp.Or(l.Text("records"), "0"), cmp.Or(l.Text("splits"), "0"))
	}
	return fmt.Sprintf("%s; in use lately: %s; the list of servers was %v old.", text, l.Text("versions"), l.Duration("servers_age_ms"))
}

func retryText(l *Line) string {
	if after := l.Text("resume_after"); after != "" {
		return fmt.Sprintf("Attempt %s was to resume after event %s.", l.Text("attempt"), after)
	}
	return fmt.Sprintf("Attempt %s was to follow.", l.Text("attempt"))
}

func failureText(l *Line) string {
	text := l.Text("kind")
	if status := l.Text("status"); status != "" {
		text += " " + status
	}
	if err := l.Text("error"); err != "" {
		text += " (" + err + ")"
	}
	return text
}

func executionText(l *Line) string {
	if l.Text("not_run") == "true" {
		return "the server did not run it"
	}
	return "the server may have run it"
}

// detail returns the artifact and the error detail of a refusal in
// parentheses, or "".
func detail(l *Line) string {
	var parts []string
	if model := l.Text("model"); model != "" {
		parts = append(parts, strings.TrimSuffix(model+"/"+l.Text("adapter"), "/"))
	}
	if detail := l.Text("detail"); detail != "" {
		parts = append(parts, detail)
	}
	if cause := crashCause(l); cause != "" {
		parts = append(parts, cause)
	}
	if len(parts) == 0 {
		return ""
	}
	return " (" + strings.Join(parts, "; ") + ")"
}

func reasonSuffix(l *Line) string {
	if reason := l.Text("reason"); reason != "" {
		return ": " + reason
	}
	return ""
}

// relativeTime formats a time relative to the request's arrival.
func relativeTime(at time.Duration) string {
	at = at.Round(time.Millisecond)
	if at < 0 {
		return fmt.Sprintf("%v before it arrived", -at)
	}
	return fmt.Sprintf("%v after it arrived", at)
}

func countOrNo(count string) string {
	if count == "" {
		return "no"
	}
	return count
}

func capitalize(text string) string {
	if text == "" {
		return text
	}
	return strings.ToUpper(text[:1]) + text[1:]
}
