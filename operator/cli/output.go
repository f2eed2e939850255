package cli

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"
)

// Values of --output.
const (
	outputTable = "table"
	outputJSON  = "json"
)

// print writes v as JSON, or calls printText if the output format is table.
func (s *session) print(cmd *cobra.Command, v any, printText func()) error {
	if s.output == outputTable {
		printText()
		return nil
	}
	return writeJSON(cmd, v)
}

func writeJSON(cmd *cobra.Command, v any) error {
	enc := json.NewEncoder(cmd.OutOrStdout())
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// table collects rows of text to be printed in aligned columns.
type table struct {
	heading []string
	rows    [][]string
}

func newTable(heading ...string) *table { return &table{heading: heading} }

func (t *table) add(cells ...any) {
	row := make([]string, len(cells))
	for i, cell := range cells {
		row[i] = fmt.Sprint(cell)
	}
	t.rows = append(t.rows, row)
}

func (t *table) write(cmd *cobra.Command) {
	tab := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
	fmt.Fprintln(tab, strings.Join(t.heading, "\t"))
	for _, row := range t.rows {
		fmt.Fprintln(tab, strings.Join(row, "\t"))
	}
	_ = tab.Flush()
}
