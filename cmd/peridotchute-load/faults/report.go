package faults

import (
	"fmt"
	"io"
)

func (t Tally) print(out io.Writer) {
	rows := []struct {
		name string
		n    int
	}{
		{"distinct actions", t.Actions},
		{"requests, with retries", t.Requests},
		{"reported completed", t.ReportedCompleted},
		{"reported not-run", t.ReportedNotRun},
		{"reported unknown", t.ReportedUnknown},
		{"no response", t.NoResponse},
		{"run once", t.RunOnce},
		{"never run", t.NotRun},
		{"unresolved, on the list", t.Unresolved},
		{"RUN TWICE", t.Violations.RunTwice},
		{"FALSELY REPORTED NOT-RUN", t.Violations.FalseNotRun},
		{"SILENTLY LOST", t.Violations.SilentlyLost},
		{"WRONG RESPONSE", t.Violations.WrongResponse},
		{"NEVER SETTLED", t.Violations.Unsettled},
	}
	for _, r := range rows {
		fmt.Fprintf(out, "%-26s %7d\n", r.name, r.n)
	}
}
