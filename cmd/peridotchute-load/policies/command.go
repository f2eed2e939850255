// Package policies compares the ways in which entries choose servers, by
// replays of load patterns in simulated time.
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
	cmd.Flags().BoolVar(&detail, "detail", false, "print what became of each kind of request")
	return cmd
}

// policies are compared in this order.
var policies = []batch.Policy{batch.Line, batch.Eager, batch.Least}

// compare prints the share of the worth that each policy earns.
func compare(w io.Writer, names []string, seeds uint64, detail bool) error {
	patterns := batch.Patterns()
	if len(names) == 0 {
		names = slices.Sorted(maps.Keys(patterns))
	}
	fmt.Fprintf(w, "| pattern | line | sent at once | least busy |\n|---|---|---|---|\n")
	for _, name := range names {
		scenario, known := patterns[name]
		if !known {
			return fmt.Errorf("no pattern %q; there are %q", name, slices.Sorted(maps.Keys(patterns)))
		}
		fmt.Fprintf(w, "| %s |", name)
		for _, policy := range policies {
			scenario.Policy = policy
			day := batch.RunAll(scenario, seeds)
			fmt.Fprintf(w, " %.3f |", day.Worth())
			if detail {
				fmt.Fprintf(w, "\n%v", day)
			}
		}
		fmt.Fprintln(w)
	}
	return nil
}
