// Command peridotchute is the command line tool for operators.
package main

import (
	"os"

	"peridotchute.example/cmd/peridotchute/dev"
	"peridotchute.example/operator/cli"
	"peridotchute.example/operator/explain"
)

func main() {
	root := cli.NewCommand()
	root.AddCommand(dev.Command(), explain.Command())
	os.Exit(cli.Run(root, os.Stderr))
}
