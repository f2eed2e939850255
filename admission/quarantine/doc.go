// Package quarantine decides which requests are kept away from servers because servers
// crash on a part of their prompt, or on the request itself whenever it is sent again. A
// Detector finds such causes in the crashes of servers; a List holds the causes found, in
// all entries alike. Both are bounded, and forget with time. They do no I/O and are not
// safe for concurrent use.
package quarantine
