package wire

import (
	"fmt"
	"time"
)

// Load is the figure a side process adds to each answer so that entries learn
// its load without a message of its own.
type Load struct {
	InFlight    int           // requests running or queued at the backend server
	QueueDelay  time.Duration // expected wait of a new request
	Incarnation string        // of the side process
}

// String returns the header form.
func (l Load) String() string {
	return fmt.Sprintf("%d %d %s", l.InFlight, l.QueueDelay.Milliseconds(), l.Incarnation)
}

// ParseLoad reads the form written by String.
func ParseLoad(s string) (Load, error) {
	var l Load
	var ms int64
	if _, err := fmt.Sscanf(s, "%d %d %s", &l.InFlight, &ms, &l.Incarnation); err != nil {
		return Load{}, fmt.Errorf("load %q: %w", s, err)
	}
	l.QueueDelay = time.Duration(ms) * time.Millisecond
	return l, nil
}
