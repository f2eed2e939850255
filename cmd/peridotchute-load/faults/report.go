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
		{"RUN TWICE", t.Broken.RunTwice},
		{"FALSELY REPORTED NOT-RUN", t.Broken.FalseNotRun},
		{"SILENTLY LOST", t.Broken.SilentlyLost},
		{"WRONG RESPONSE", t.Broken.WrongResponse},
		{"NEVER SETTLED", t.Broken.Unsettled},
	}
	for _, r := range rows {
		fmt.Fprintf(out, "%-26s %7d\n", r.name, r.n)
	}
}
