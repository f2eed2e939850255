package origins

import "time"

// adoption says how far an entry is with the splits of a service, over all of its processes. Each
// of them follows the newest split that it has read, so that what may have begun under an earlier
// one without a record are the streams of processes before the one that first told its adoption.
type adoption struct {
	number int64     // of the split
	heard  time.Time // when a process of the entry first told that it had adopted the split
	alone  bool      // no client can resume streams of earlier processes
}

// tell returns the adoption after a process of the entry has told its progress. ready is as in
// Progress. A process that tells an earlier split began streams under that one.
func (a adoption) tell(number int64, ready bool, now time.Time) adoption {
	if number != a.number {
		a = adoption{number: number, heard: now}
	}
	a.alone = a.alone || ready
	return a
}

// complete reports whether each stream of the entry that clients can resume is at the version that
// the split with the number, or a later one, gives to it, or has its record in the store.
func (a adoption) complete(number int64, now time.Time) bool {
	return a.number >= number && (a.alone || now.Sub(a.heard) >= resumeTime)
}

// entryProgress is what is known of another entry's progress.
type entryProgress struct {
	ready   bool                // as last told
	adopted map[string]adoption // by service
}

// tell takes over a progress. Of a service that it doesn't name the process has begun no stream
// without a record.
func (e *entryProgress) tell(p Progress, now time.Time) {
	e.ready = p.Ready
	for service, number := range p.Adopted {
		e.adopted[service] = e.adopted[service].tell(number, p.Ready, now)
	}
}
