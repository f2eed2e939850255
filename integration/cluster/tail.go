package cluster

import "sync"

// tailBytes limits how much of a process's output is retained.
const tailBytes = 64 << 10

// tailBuffer is an io.Writer that retains the last tailBytes written to it.
type tailBuffer struct {
	mu   sync.Mutex
	data []byte
}

// Write appends p and discards the oldest bytes beyond tailBytes.
func (t *tailBuffer) Write(p []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.data = append(t.data, p...)
	if over := len(t.data) - tailBytes; over > 0 {
		t.data = append(t.data[:0], t.data[over:]...)
	}
	return len(p), nil
}

// String returns the retained bytes.
func (t *tailBuffer) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return string(t.data)
}
