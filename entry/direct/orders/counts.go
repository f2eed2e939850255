package orders

// Counts are the numbers of calls to model servers since the process started.
type Counts struct {
	Accepted      int64 // orders
	Declined      int64 // orders refused by the server or not sent
	Unanswered    int64 // orders without an answer, which may have taken effect
	Reports       int64
	FailedReports int64
}

// Counts returns the current counts.
func (m *Manager) Counts() Counts {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.counts
}
