// Command peridotchute is the operators' command line.
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"peridotchute.example/cmd/peridotchute/dev"
)

func main() {
	root := &cobra.Command{Use: "peridotchute", Short: "Operate a peridotchute deployment", SilenceUsage: true, SilenceErrors: true}
	root.AddCommand(dev.Command())
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
