package report

import "time"

const (
	heartbeat      = 2 * time.Second // longest silence while few entries listen
	reportBytes    = 400             // of one report on the wire
	budgetBytes    = 2048            // of reports a second, to all entries together
	longestSilence = 2 * time.Minute
)

// Pace returns the least time between two reports of changed figures and the
// longest time without any, so that reports to all listening entries stay
// within the budget of control traffic.
func Pace(peers int) (least, most time.Duration) {
	cost := time.Duration(peers*reportBytes) * time.Second / budgetBytes
	least = min(max(cost, interval), longestSilence)
	return least, max(least, heartbeat)
}
