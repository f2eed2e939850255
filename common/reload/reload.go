// Package reload keeps what was parsed from files and parses them again after
// they change, without a restart of the process.
package reload

import (
	"os"
	"sync"
	"time"
)

// Interval is the shortest time between two looks at the files.
const Interval = time.Second

// Value is the parsed content of one or several files.
//
// Invariant: the value is always that of files which could be parsed; files
// that cannot be parsed change nothing.
type Value[T any] struct {
	parse func() (T, error)
	paths []string
	now   func() time.Time

	mu      sync.Mutex
	value   T
	seen    []stamp
	checked time.Time
	err     error
}

// stamp changes when a file does.
type stamp struct {
	modified time.Time
	bytes    int64
}

// New parses the files for the first time. parse reads the files itself.
func New[T any](parse func() (T, error), paths ...string) (*Value[T], error) {
	v := &Value[T]{parse: parse, paths: paths, now: time.Now}
	v.reload(v.stamps())
	return v, v.err
}

// Get returns the current value. At most once an Interval it looks whether the
// files have changed.
func (v *Value[T]) Get() T {
	v.mu.Lock()
	defer v.mu.Unlock()
	if now := v.now(); now.Sub(v.checked) >= Interval {
		v.checked = now
		if seen := v.stamps(); !same(seen, v.seen) {
			v.reload(seen)
		}
	}
	return v.value
}

// Err returns why the files could not be parsed at the last look, or nil.
func (v *Value[T]) Err() error {
	v.Get()
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.err
}

func (v *Value[T]) reload(seen []stamp) {
	value, err := v.parse()
	v.err = err
	if err != nil {
		return
	}
	v.value = value
	v.seen = seen
}

func (v *Value[T]) stamps() []stamp {
	out := make([]stamp, len(v.paths))
	for i, path := range v.paths {
		if info, err := os.Stat(path); err == nil {
			out[i] = stamp{modified: info.ModTime(), bytes: info.Size()}
		}
	}
	return out
}

func same(a, b []stamp) bool {
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
