// Package crashguard keeps requests away from servers that would crash on them, or on a part
// of their prompt.
//
// An entry that loses requests checks whether their server crashed, and reports the lost
// requests to the other entries. Each entry so has the evidence of all, and looks for a
// cause of the crashes (package quarantine). What one finds, all learn, over the
// control connections and from rows in the store: a running entry at once, one that
// reconnects or starts from any entry or from the store.
//
// Invariants:
//   - No request that holds a quarantined cause is sent to a server, first or again.
//   - A crash is reported only if the server refuses connections; a broken connection
//     alone is no crash.
package crashguard
