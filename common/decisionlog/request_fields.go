package decisionlog

import (
	"fmt"
	"strconv"
	"strings"
)

// maxLoggedParts bounds the parts of one prompt in a line.
const maxLoggedParts = 16

// FormatPart returns the ID of a prompt part as logs show it and clients send it.
func FormatPart(id uint64) string { return strconv.FormatUint(id, 16) }

// FormatDigest returns the digest of a request as logs show it.
func FormatDigest(digest uint64) string { return fmt.Sprintf("%016x", digest) }

// formatParts returns the IDs of the first maxLoggedParts parts, joined by commas.
func formatParts(ids []uint64) string {
	texts := make([]string, min(len(ids), maxLoggedParts))
	for i := range texts {
		texts[i] = FormatPart(ids[i])
	}
	return strings.Join(texts, ",")
}

func (r Routed) encode(e *encoder) {
	e.textIfSet("route", r.Route)
	e.textIfSet("service", r.Service)
	e.textIfSet("model", r.Model)
	e.textIfSet("adapter", r.Adapter)
	e.count("priority", int64(r.Priority))
	e.textIfSet("account", r.Account)
	e.countIfSet("prompt_tokens", int64(r.PromptTokens))
	e.countIfSet("output_tokens", int64(r.OutputTokens))
	e.textIfSet("prompt_parts", formatParts(r.PromptParts))
	e.durationIfSet("deadline_ms", r.Deadline)
	e.countIfSet("config_version", r.ConfigVersion)
}

func (r StreamResumed) encode(e *encoder) {
	e.textIfSet("resumes", r.Resumes)
	e.textIfSet("last_event", r.LastEventID)
}

func (r OriginSought) encode(e *encoder) {
	e.text("origin", r.Origin)
	e.textIfSet("software", r.Software)
	e.textIfSet("source", r.Source)
	e.textIfSet("versions", r.Versions)
	e.countIfSet("unanswered", int64(r.Unanswered))
	e.textIfSet("store", r.Store)
	e.countIfSet("records", int64(r.Records))
	e.countIfSet("splits", int64(r.Splits))
	e.duration("servers_age_ms", r.ServersAge)
}

func (r Chosen) encode(e *encoder) {
	e.text("server", r.Server)
	e.textIfSet("software", r.Software)
	e.textIfSet("zone", r.Zone)
	e.count("attempt", int64(r.Attempt))
	e.duration("waited_ms", r.Waited)
	e.durationIfSet("expected_ms", r.Expected)
	e.durationIfSet("backlog_ms", r.Backlog)
	e.countIfSet("running", int64(r.Running))
	e.countIfSet("cached_tokens", int64(r.Cached))
	e.countIfSet("candidates", int64(r.Candidates))
	e.duration("view_age_ms", r.ViewAge)
	if r.Kept {
		e.boolean("kept", true)
	}
	e.durationIfSet("stopping_ms", r.Stopping)
	e.textIfSet("reason", r.Reason)
}

func (r AttemptFailed) encode(e *encoder) {
	e.text("server", r.Server)
	e.count("attempt", int64(r.Attempt))
	e.text("kind", string(r.Kind))
	e.countIfSet("status", int64(r.Status))
	e.boolean("not_run", r.NotRun)
	e.duration("after_ms", r.After)
	e.countIfSet("events", int64(r.Events))
	if r.Digest != 0 {
		e.text("digest", FormatDigest(r.Digest))
	}
	e.errorIfSet(r.Err)
}

func (r ServerSilent) encode(e *encoder) {
	e.text("server", r.Server)
	e.count("attempt", int64(r.Attempt))
	e.duration("silent_ms", r.Silent)
}

func (r HandlerPanicked) encode(e *encoder) {
	e.text("reason", r.Reason)
}

func (r Retried) encode(e *encoder) {
	e.count("attempt", int64(r.Attempt))
	e.boolean("resumed", r.Resumed)
	e.textIfSet("resume_after", r.ResumeAfter)
	e.number("budget_left", r.BudgetLeft)
}

func (r RetryWithheld) encode(e *encoder) {
	e.text("reason", string(r.Reason))
	e.count("attempts", int64(r.Attempts))
	e.number("budget_left", r.BudgetLeft)
}

func (r Refused) encode(e *encoder) {
	e.text("reason", string(r.Reason))
	e.textIfSet("detail", r.Detail)
	if r.Cause != (Cause{}) {
		r.Cause.encode(e)
	}
	e.count("status", int64(r.Status))
	e.durationIfSet("retry_after_ms", r.RetryAfter)
	e.durationIfSet("expected_ms", r.Expected)
	e.duration("waited_ms", r.Waited)
	e.durationIfSet("backlog_ms", r.Backlog)
	e.countIfSet("waiting", int64(r.Waiting))
	e.countIfSet("candidates", int64(r.Candidates))
	e.durationIfSet("view_age_ms", r.ViewAge)
	e.countIfSet("config_version", r.ConfigVersion)
	e.textIfSet("service", r.Service)
	e.textIfSet("route", r.Route)
	e.textIfSet("model", r.Model)
	e.textIfSet("adapter", r.Adapter)
	e.textIfSet("account", r.Account)
	e.countIfSet("prompt_tokens", int64(r.PromptTokens))
	e.durationIfSet("deadline_ms", r.Deadline)
}

func (r Finished) encode(e *encoder) {
	e.textIfSet("reason", r.Reason)
	e.countIfSet("status", int64(r.Status))
	e.textIfSet("service", r.Service)
	e.textIfSet("route", r.Route)
	e.textIfSet("model", r.Model)
	e.textIfSet("adapter", r.Adapter)
	e.textIfSet("account", r.Account)
	e.textIfSet("server", r.Server)
	e.count("attempts", int64(r.Attempts))
	e.duration("waited_ms", r.Waited)
	e.durationIfSet("expected_ms", r.Expected)
	e.durationIfSet("first_byte_ms", r.FirstByte)
	e.duration("total_ms", r.Total)
	e.durationIfSet("objective_ms", r.Objective)
	e.durationIfSet("gap_objective_ms", r.GapObjective)
	e.durationIfSet("deadline_ms", r.Deadline)
	e.countIfSet("prompt_tokens", int64(r.PromptTokens))
	e.durationIfSet("backlog_ms", r.Backlog)
	e.durationIfSet("view_age_ms", r.ViewAge)
	e.count("bytes", r.Bytes)
	e.countIfSet("events", int64(r.Events))
	e.durationIfSet("longest_pause_ms", r.LongestPause)
	e.durationIfSet("held_ms", r.Held)
	e.countIfSet("config_version", r.ConfigVersion)
}
