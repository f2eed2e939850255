package metrics

import "sync"

// maxServices bounds the label of services; a configuration declares a few.
const maxServices = 100

// maxReasons bounds the label of refusals; the code defines about fifteen.
const maxReasons = 40

// labelOther stands for values over the bound, labelNone for no value.
const (
	labelOther = "other"
	labelNone  = "none"
)

// labelSet keeps the number of values of a label bounded.
type labelSet struct {
	most int

	mu    sync.RWMutex
	known map[string]bool
}

func newLabelSet(most int) *labelSet {
	return &labelSet{most: most, known: map[string]bool{}}
}

// label returns the value itself while there are few, else labelOther.
func (s *labelSet) label(value string) string {
	if value == "" {
		return labelNone
	}
	s.mu.RLock()
	known := s.known[value]
	s.mu.RUnlock()
	if known || s.add(value) {
		return value
	}
	return labelOther
}

func (s *labelSet) add(value string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.known[value] {
		return true
	}
	if len(s.known) >= s.most {
		return false
	}
	s.known[value] = true
	return true
}
