package operator

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"peridotchute.example/config"
	"peridotchute.example/operator/api"
)

// PrintPlan writes a plan as text: the complete new configuration, the
// difference to the base version, the moves, the memory use of each pool, the
// warnings and the digest.
func PrintPlan(w io.Writer, p *api.Plan) error {
	whole, err := json.MarshalIndent(p.Configuration, "", "  ")
	if err != nil {
		return err
	}
	fmt.Fprintf(w, "CONFIGURATION (version %d)\n%s\n\n", p.Configuration.Version, whole)
	fmt.Fprintf(w, "DIFFERENCE to version %d\n%s\n\n", p.BaseVersion, textOrNone(p.Difference.String()))
	printMoves(w, p.Effects.Moves)
	printMemory(w, p.Effects.Memory)
	fmt.Fprintln(w, "WARNINGS")
	for _, text := range p.Effects.Warnings {
		fmt.Fprintln(w, "!", text)
	}
	if len(p.Effects.Warnings) == 0 {
		fmt.Fprintln(w, "none")
	}
	_, err = fmt.Fprintf(w, "\nDIGEST %s\nNothing has changed yet. To activate the plan: peridotchute accept %s\n", p.Digest, p.Digest)
	return err
}

func printMoves(w io.Writer, moves []config.Move) {
	fmt.Fprintln(w, "MOVES")
	if len(moves) == 0 {
		fmt.Fprintln(w, "none")
	}
	tab := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, m := range moves {
		verb := "load"
		if m.Unload {
			verb = "unload"
		}
		fmt.Fprintf(tab, "%s\t%s\tpool %s\t%d servers\t%s each\n", verb, m.Artifact, m.Pool, m.Servers, bytesText(m.Bytes))
	}
	_ = tab.Flush()
	fmt.Fprintln(w)
}

func printMemory(w io.Writer, pools []config.PoolMemory) {
	fmt.Fprintln(w, "MEMORY")
	tab := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tab, "pool\tservers\tcapacity\tbefore\tduring\tafter")
	for _, m := range pools {
		fmt.Fprintf(tab, "%s\t%d\t%s\t%s\t%s\t%s\n", m.Pool, m.Servers, bytesText(m.Capacity), bytesText(m.Before), bytesText(m.During), bytesText(m.After))
	}
	_ = tab.Flush()
	fmt.Fprintln(w)
}

// bytesText formats n in GiB with two decimals, or in bytes below 1 MiB.
func bytesText(n int64) string {
	const mib, gib = 1 << 20, 1 << 30
	if n < mib {
		return fmt.Sprintf("%d B", n)
	}
	return fmt.Sprintf("%.2f GiB", float64(n)/gib)
}

func textOrNone(text string) string {
	if text == "" {
		return "none"
	}
	return text
}
