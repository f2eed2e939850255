package wire

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Load is the load of a backend server. The side process adds it to each response,
// so that entries need no separate messages for it.
type Load struct {
	InFlight    int           // requests running or queued at the backend server
	QueueDelay  time.Duration // expected wait of a new request
	Incarnation string        // of the side process
}

// String returns the header form: in-flight requests, queue delay in milliseconds
// and incarnation, separated by spaces.
func (l Load) String() string {
	return fmt.Sprintf("%d %d %s", l.InFlight, l.QueueDelay.Milliseconds(), l.Incarnation)
}

// maxQueueDelay is the longest queue delay that ParseLoad accepts.
const maxQueueDelay = 24 * time.Hour

// ParseLoad parses the form that String returns. Negative numbers are errors.
func ParseLoad(s string) (Load, error) {
	parts := strings.Fields(s)
	if len(parts) != 3 {
		return Load{}, fmt.Errorf("load %q is not of the form in-flight delay incarnation", s)
	}
	inFlight, err := strconv.ParseUint(parts[0], 10, 31)
	if err != nil {
		return Load{}, fmt.Errorf("load %q: %w", s, err)
	}
	ms, err := strconv.ParseUint(parts[1], 10, 63)
	if err != nil || ms > uint64(maxQueueDelay.Milliseconds()) {
		return Load{}, fmt.Errorf("load %q has no delay from 0 to %d ms", s, maxQueueDelay.Milliseconds())
	}
	return Load{InFlight: int(inFlight), QueueDelay: time.Duration(ms) * time.Millisecond, Incarnation: parts[2]}, nil
}
