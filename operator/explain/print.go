package explain

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"
)

// Print writes the timeline as text: the cause, the clock alignments and then
// each line.
func (t *Timeline) Print(w io.Writer) error {
	fmt.Fprintf(w, "request %s, handled by %s\n\n", t.Request, t.Entry.node)
	for _, sentence := range t.Cause() {
		fmt.Fprintf(w, "  %s\n", sentence)
	}
	t.printClocks(w)
	fmt.Fprintln(w, "\nTimes are relative to the request's arrival; * marks lines about the request itself.")
	fmt.Fprintln(w)
	tab := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight|tabwriter.DiscardEmptyColumns)
	for _, item := range t.Items {
		fmt.Fprintf(tab, "%s\t%s\t%s\t%d\t  %s  %s\n", offsetText(item.At), ownMark(item.Own), item.Line.Node, item.Line.Event, item.Line.Name, detailText(item))
	}
	return tab.Flush()
}

func (t *Timeline) printClocks(w io.Writer) {
	if len(t.Involved) < 2 {
		return
	}
	fmt.Fprintln(w, "\nClocks:")
	for _, p := range t.Involved {
		if p != t.Entry {
			fmt.Fprintf(w, "  %s (run %s) aligned %s\n", p.node, p.run, t.Alignments[p].method)
		}
	}
}

func offsetText(at time.Duration) string {
	return fmt.Sprintf("%+.1f ms", float64(at)/float64(time.Millisecond))
}

func ownMark(own bool) string {
	if own {
		return "*"
	}
	return ""
}

func detailText(item Item) string {
	var parts []string
	for _, f := range item.Line.Fields {
		parts = append(parts, f.Key+"="+quoteIfNeeded(f.Value))
	}
	if item.Repeats > 0 {
		parts = append(parts, fmt.Sprintf("(and %d more)", item.Repeats))
	}
	return strings.Join(parts, " ")
}

func quoteIfNeeded(value string) string {
	if strings.ContainsAny(value, " =\n\t") {
		return fmt.Sprintf("%q", value)
	}
	return value
}
