package explain

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"
)

// Print writes the story as text: the cause, the clocks, then line by line.
func (t *Story) Print(w io.Writer) error {
	fmt.Fprintf(w, "request %s, taken by %s\n\n", t.Request, t.Taker.node)
	for _, sentence := range t.Cause() {
		fmt.Fprintf(w, "  %s\n", sentence)
	}
	t.printClocks(w)
	fmt.Fprintln(w, "\nTimes count from the request's arrival; * marks lines about the request itself.")
	fmt.Fprintln(w)
	tab := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight|tabwriter.DiscardEmptyColumns)
	for _, m := range t.Moments {
		fmt.Fprintf(tab, "%s\t%s\t%s\t%d\t  %s  %s\n", offset(m.At), mark(m.Own), m.Line.Node, m.Line.Event, m.Line.Name, details(m))
	}
	return tab.Flush()
}

func (t *Story) printClocks(w io.Writer) {
	if len(t.Involved) < 2 {
		return
	}
	fmt.Fprintln(w, "\nClocks:")
	for _, p := range t.Involved {
		if p != t.Taker {
			fmt.Fprintf(w, "  %s (run %s) aligned %s\n", p.node, p.run, t.Aligned[p].how)
		}
	}
}

func offset(at time.Duration) string {
	return fmt.Sprintf("%+.1f ms", float64(at)/float64(time.Millisecond))
}

func mark(own bool) string {
	if own {
		return "*"
	}
	return ""
}

func details(m Moment) string {
	var parts []string
	for _, f := range m.Line.Fields {
		parts = append(parts, f.Key+"="+quoteIfNeeded(f.Value))
	}
	if m.More > 0 {
		parts = append(parts, fmt.Sprintf("(and %d more)", m.More))
	}
	return strings.Join(parts, " ")
}

func quoteIfNeeded(value string) string {
	if strings.ContainsAny(value, " =\n\t") {
		return fmt.Sprintf("%q", value)
	}
	return value
}
