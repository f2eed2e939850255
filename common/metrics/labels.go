package metrics

import "sync"

// maxServices is the maximum number of values of the service label; a
// configuration declares a few services.
const maxServices = 100

// maxReasons is the maximum number of values of the reason label; the code defines
// about fifteen reasons.
const maxReasons = 40

// maxAccounts is the maximum number of values of the account label.
const maxAccounts = 100

// labelOther replaces values over the limit, labelNone the empty value.
const (
	labelOther = "other"
	labelNone  = "none"
)

// labelSet limits the number of values of a label.
type labelSet struct {
	limit int

	mu     sync.RWMutex
	values map[string]bool
}

func newLabelSet(most int) *labelSet {
	return &labelSet{limit: most, values: map[string]bool{}}
}

// label returns the value, or labelOther if the value is new and the limit is
// reached.
func (s *labelSet) label(value string) string {
	if value == "" {
		return labelNone
	}
	s.mu.RLock()
	known := s.values[value]
	s.mu.RUnlock()
	if known || s.add(value) {
		return value
	}
	return labelOther
}

// add reports whether the value is in the set, after adding it if the limit
// allows.
func (s *labelSet) add(value string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.values[value] {
		return true
	}
	if len(s.values) >= s.limit {
		return false
	}
	s.values[value] = true
	return true
}
