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
		{"actions asked", t.Asked},
		{"requests, with repeats", t.Requests},
		{"told completed", t.Completed},
		{"told not-run", t.ToldNotRun},
		{"told unknown", t.Unknown},
		{"no answer", t.NoAnswer},
		{"run once", t.RunOnce},
		{"never run", t.NotRun},
		{"unresolved, on the list", t.Unresolved},
		{"RUN TWICE", t.Broken.RunTwice},
		{"NOT-RUN TOLD FALSELY", t.Broken.NotRunFalse},
		{"LOST UNANNOUNCED", t.Broken.LostUnannounced},
		{"WRONG ANSWER", t.Broken.WrongAnswer},
		{"NEVER SETTLED", t.Broken.Unsettled},
	}
	for _, r := range rows {
		fmt.Fprintf(out, "%-26s %7d\n", r.name, r.n)
	}
}
