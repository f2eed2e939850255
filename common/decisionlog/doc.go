// Package decisionlog logs the decisions of a process as JSON lines, so that a
// failed request can be explained afterwards.
//
// A record is a typed struct. Writing one copies it into a bounded ring and
// never blocks; a background goroutine formats the records with logrus and
// writes them in batches. Each event has a rate limit. Lines over the limit, or
// that find the ring too full, are left out and counted, and a separate line
// reports the counts. Served requests are left out first, refusals and failures
// last.
//
// A Trace buffers the decisions about one request. A request that is served in
// time produces a single line with the inputs of its decisions. Lines for
// individual decisions are written only once the request has a problem, and from
// then on without buffering. The route of such a request is in its first or its last
// line.
//
//	log := decisionlog.New(decisionlog.Options{Node: "edge-1", Out: os.Stdout})
//	go log.Run(ctx) // daemon.Go(lc, log.Run)
//
//	log.Write(decisionlog.StoreLost{Call: "servers", Err: err})
//
//	t := log.Trace(requestID)
//	t.Add(decisionlog.Routed{Route: "r1", Service: "llm", Model: "m1", ConfigVersion: 12})
//	t.Add(decisionlog.Chosen{Server: "i-7", Expected: 300 * time.Millisecond, ViewAge: age})
//	t.Add(decisionlog.AttemptFailed{Server: "i-7", Kind: decisionlog.FailureReset})
//	t.End(decisionlog.Refused{Reason: decisionlog.RefusedModelNotLoaded, Status: 503})
//
// A nil *Log and a nil *Trace accept everything and write nothing.
package decisionlog
