package cluster

import "sync"

// tailBytes bounds what is kept of a process's output.
const tailBytes = 64 << 10

// tail is a writer that keeps the last tailBytes written to it.
type tail struct {
	mu   sync.Mutex
	data []byte
}

// Write keeps the end of what was written so far.
func (t *tail) Write(p []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.data = append(t.data, p...)
	if over := len(t.data) - tailBytes; over > 0 {
		t.data = append(t.data[:0], t.data[over:]...)
	}
	return len(p), nil
}

// String returns what is kept.
func (t *tail) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return string(t.data)
}
