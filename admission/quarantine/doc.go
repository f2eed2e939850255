// Package quarantine decides which requests are kept away from servers because servers
// crash on a part of their prompt. A Detector finds such parts in the crashes of
// servers; a List holds the parts found, in all entries alike. Both are bounded, and
// forget with time. They do no I/O and are not safe for concurrent use.
package quarantine
