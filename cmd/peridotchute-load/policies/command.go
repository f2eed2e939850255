// Package policies compares policies by which entries choose servers, by replaying
// load patterns in simulated time.
package policies

import (
	"fmt"
	"io"
	"maps"
	"slices"

	"github.com/spf13/cobra"

	"peridotchute.example/standin/batch"
)

// Command returns the subcommand.
func Command() *cobra.Command {
	seeds := uint64(0)
	detail := false
	cmd := &cobra.Command{
		Use:   "policies [PATTERN...]",
		Short: "Compare policies for servers that entries call directly, in simulated time",
		RunE: func(cmd *cobra.Command, names []string) error {
			return compare(cmd.OutOrStdout(), names, seeds, detail)
		},
	}
	cmd.Flags().Uint64Var(&seeds, "seeds", 4, "runs of each pattern and policy")
	cmd.Flags().BoolVar(&detail, "detail", false, "print the outcomes of each kind of request")
	return cmd
}

// policies lists the compared policies in the order of the table's columns.
var policies = []batch.Policy{batch.Queued, batch.Immediate, batch.LeastBusy}

// compare prints the share of the total value that each policy achieves on each
// pattern.
func compare(w io.Writer, names []string, seeds uint64, detail bool) error {
	patterns := batch.Patterns()
	if len(names) == 0 {
		names = slices.Sorted(maps.Keys(patterns))
	}
	fmt.Fprintf(w, "| pattern | queue | sent immediately | least busy |\n|---|---|---|---|\n")
	for _, name := range names {
		scenario, known := patterns[name]
		if !known {
			return fmt.Errorf("unknown pattern %q; known patterns: %q", name, slices.Sorted(maps.Keys(patterns)))
		}
		fmt.Fprintf(w, "| %s |", name)
		for _, policy := range policies {
			scenario.Policy = policy
			result := batch.RunAll(scenario, seeds)
			fmt.Fprintf(w, " %.3f |", result.Value())
			if detail {
				fmt.Fprintf(w, "\n%v", result)
			}
		}
		fmt.Fprintln(w)
	}
	return nil
}
