// Package reload caches the parsed content of files and parses them again when
// they change, without a restart of the process.
package reload

import (
	"os"
	"sync"
	"time"
)

// Interval is the shortest time between two checks of the files for changes.
const Interval = time.Second

// Value is the parsed content of one or several files.
//
// Invariant: the value always comes from files that could be parsed. A version of
// the files that cannot be parsed leaves it unchanged.
type Value[T any] struct {
	parse func() (T, error)
	paths []string
	now   func() time.Time

	mu           sync.Mutex
	value        T
	parsedStamps []fileStamp // of the files that value comes from
	lastCheck    time.Time
	err          error // of the last parse
}

// fileStamp identifies a version of a file.
type fileStamp struct {
	modified time.Time
	bytes    int64
}

// New parses the files and returns an error if that fails. parse must read the
// files itself; paths are only checked for changes.
func New[T any](parse func() (T, error), paths ...string) (*Value[T], error) {
	v := &Value[T]{parse: parse, paths: paths, now: time.Now}
	v.parseFiles(v.stamps())
	return v, v.err
}

// Get returns the current value. At most once per Interval it checks whether the
// files have changed, and parses them if so.
func (v *Value[T]) Get() T {
	v.mu.Lock()
	defer v.mu.Unlock()
	if now := v.now(); now.Sub(v.lastCheck) >= Interval {
		v.lastCheck = now
		if stamps := v.stamps(); !equalStamps(stamps, v.parsedStamps) {
			v.parseFiles(stamps)
		}
	}
	return v.value
}

// Err returns the error of the last attempt to parse the files, or nil.
func (v *Value[T]) Err() error {
	v.Get()
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.err
}

func (v *Value[T]) parseFiles(stamps []fileStamp) {
	value, err := v.parse()
	v.err = err
	if err != nil {
		return
	}
	v.value = value
	v.parsedStamps = stamps
}

func (v *Value[T]) stamps() []fileStamp {
	out := make([]fileStamp, len(v.paths))
	for i, path := range v.paths {
		if info, err := os.Stat(path); err == nil {
			out[i] = fileStamp{modified: info.ModTime(), bytes: info.Size()}
		}
	}
	return out
}

func equalStamps(a, b []fileStamp) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if !a[i].modified.Equal(b[i].modified) || a[i].bytes != b[i].bytes {
			return false
		}
	}
	return true
}
