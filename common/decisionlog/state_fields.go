package decisionlog

import "strings"

func (r Started) encode(e *encoder) {
	e.textIfSet("role", r.Role)
	e.textIfSet("address", r.Address)
	e.textIfSet("zone", r.Zone)
}

func (r Stopping) encode(e *encoder) {
	e.count("in_progress", int64(r.InProgress))
}

func (r ShutdownTimedOut) encode(e *encoder) {
	e.count("in_progress", int64(r.InProgress))
	ages := make(map[string]int64, len(r.Oldest))
	for id, age := range r.Oldest {
		ages[id] = age.Milliseconds()
	}
	e.counts("requests", ages)
}

func (r Stopped) encode(e *encoder) {
	e.count("in_progress", int64(r.InProgress))
}

func (r Reloaded) encode(e *encoder) {
	e.textIfSet("reason", r.Changed)
	e.errorIfSet(r.Err)
}

func (r ConfigReplaced) encode(e *encoder) {
	e.count("config_version", r.Version)
	e.countIfSet("previous", r.Previous)
	e.count("routes", int64(r.Routes))
	e.count("services", int64(r.Services))
	e.textIfSet("source", r.Source)
}

func (r ServerChanged) encode(e *encoder) {
	e.text("server", r.Server)
	e.textIfSet("service", r.Service)
	e.textIfSet("software", r.Software)
	e.textIfSet("address", r.Address)
	e.textIfSet("zone", r.Zone)
	e.countIfSet("row_version", r.RowVersion)
	e.duration("view_age_ms", r.ViewAge)
	e.durationIfSet("remaining_ms", r.Remaining)
	e.textIfSet("held", r.LoadedModels)
	e.durationIfSet("keep_ms", r.Keep)
	e.textIfSet("source", r.Source)
	e.textIfSet("reason", r.Reason)
}

func (r ModelChanged) encode(e *encoder) {
	e.text("server", r.Server)
	e.text("model", r.Model)
	e.countIfSet("row_version", r.RowVersion)
	e.duration("view_age_ms", r.ViewAge)
}

func (r ServerCrashed) encode(e *encoder) {
	e.text("server", r.Server)
	e.textIfSet("service", r.Service)
	e.textIfSet("address", r.Address)
	e.count("lost", int64(r.Lost))
}

func (r ServerLimited) encode(e *encoder) {
	e.text("server", r.Server)
	e.boolean("limited", r.Limited)
	if r.Limited {
		e.number("per_second", r.PerSecond)
	}
	e.text("source", r.Source)
}

func (c Cause) encode(e *encoder) {
	if c.Digest != 0 {
		e.text("digest", FormatDigest(c.Digest))
		return
	}
	e.text("part", FormatPart(c.Part))
}

func (r CauseQuarantined) encode(e *encoder) {
	r.Cause.encode(e)
	e.text("source", r.Source)
	e.countIfSet("crashes", int64(r.Crashes))
	e.textIfSet("requests", strings.Join(r.Requests, ","))
	e.duration("remaining_ms", r.Remaining)
}

func (r CauseReleased) encode(e *encoder) {
	r.Cause.encode(e)
	e.text("source", r.Source)
}

func (r StoreLost) encode(e *encoder) {
	e.text("subject", r.Call)
	e.errorIfSet(r.Err)
}

func (r StoreRecovered) encode(e *encoder) {
	e.text("subject", r.Call)
	e.duration("down_ms", r.Down)
}

func (r StoreOutage) encode(e *encoder) {
	e.durationIfSet("start_ms", r.Start)
	e.duration("end_ms", r.End)
	e.text("source", r.Source)
	e.text("reason", r.Reason)
}

func (r StoreWentBack) encode(e *encoder) {
	e.count("row_version", r.Version)
	e.count("previous", r.Previous)
}

func (r ServersIgnored) encode(e *encoder) {
	e.count("row_version", r.Version)
	e.count("previous", r.Previous)
	e.duration("view_age_ms", r.ViewAge)
	e.text("source", r.Source)
	e.text("reason", r.Reason)
}

func (r ConfigWaitDoubted) encode(e *encoder) { e.duration("waited_ms", r.Waited) }

func (r ConfigWaitRenewed) encode(e *encoder) {
	e.text("reason", r.Reason)
	e.duration("waited_ms", r.Waited)
	e.duration("doubted_ms", r.Doubted)
	e.duration("delay_ms", r.Delay)
}

func (r leftOut) encode(e *encoder) { e.counts("left_out", r.counts) }

func (r truncated) encode(e *encoder) { e.count("count", int64(r.count)) }
