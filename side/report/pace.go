package report

import "time"

const (
	heartbeatInterval    = 2 * time.Second // longest time between reports to few entries
	reportBytes          = 400             // size of one report on the wire
	budgetBytesPerSecond = 2048            // of reports to all entries together
	maxReportInterval    = 2 * time.Minute
)

// Intervals returns the least time between two reports of changed load and the
// longest time between any two reports. Up to maxReportInterval, they grow with the
// number of connected entries to keep all reports within budgetBytesPerSecond.
func Intervals(peers int) (minInterval, maxInterval time.Duration) {
	cost := time.Duration(peers*reportBytes) * time.Second / budgetBytesPerSecond
	minInterval = min(max(cost, checkInterval), maxReportInterval)
	return minInterval, max(minInterval, heartbeatInterval)
}
