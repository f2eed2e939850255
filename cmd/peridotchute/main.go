// Command peridotchute is the operators' command line.
package main

import (
	"os"

	"peridotchute.example/cmd/peridotchute/dev"
	"peridotchute.example/operator/cli"
)

func main() {
	root := cli.NewCommand()
	root.AddCommand(dev.Command())
	os.Exit(cli.Run(root, os.Stderr))
}
