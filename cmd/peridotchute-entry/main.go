// Command peridotchute-entry runs an entry, which serves callers and routes their
// requests to backend servers. The subcommand direct is for deployments without
// side processes, where the entry calls backend servers directly.
package main

import (
	"peridotchute.example/common/daemon"
	"peridotchute.example/entry"
	"peridotchute.example/entry/direct"
)

func main() {
	cmd := daemon.Command("peridotchute-entry", "Serves callers and routes requests to backend servers", entry.Module)
	cmd.AddCommand(daemon.Command("direct", "Serves clients and calls backend servers directly", direct.Module))
	daemon.Main(cmd)
}
