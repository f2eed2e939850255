// Package decisionlog writes what a process decides, as JSON lines that explain
// a failed request afterwards.
//
// A record is a typed struct. Writing one copies it into a bounded ring and
// never blocks; one duty formats the records with logrus and writes what has
// gathered with one call. Each event has a rate; what exceeds it, or finds the
// ring too full, is left out, counted, and told in a line of its own. Served
// requests are left out first, refusals and failures last.
//
// A request's decisions are kept in a Trace. A request that is served in time
// ends in one line with the inputs that decided it; the other lines are written
// only if it meets trouble, from then on at once. Its route is told by its first
// line or by its last.
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
//	t.End(decisionlog.Refused{Reason: decisionlog.RefusedNoHolder, Status: 503})
//
// A nil *Log and a nil *Trace accept everything and write nothing.
package decisionlog
