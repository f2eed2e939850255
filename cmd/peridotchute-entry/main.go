// Command peridotchute-entry runs on an entry VM and serves callers. Its
// subcommand direct is for deployments whose backend servers are called
// without side processes.
package main

import (
	"peridotchute.example/common/daemon"
	"peridotchute.example/entry"
	"peridotchute.example/entry/direct"
)

func main() {
	cmd := daemon.Command("peridotchute-entry", "Serves callers and chooses backend servers", entry.Module)
	cmd.AddCommand(daemon.Command("direct", "Serves clients and calls backend servers directly", direct.Module))
	daemon.Main(cmd)
}
