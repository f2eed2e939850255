package orders

// Counts are the calls to model servers since the start.
type Counts struct {
	Accepted      int64 // orders
	Declined      int64 // orders that were refused, or not sent
	Unanswered    int64 // orders that may have taken effect
	Reports       int64
	FailedReports int64
}

// Counts returns the calls to model servers since the start.
func (k *Keeper) Counts() Counts {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.counts
}
