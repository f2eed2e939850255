// Command peridotchute-entry runs on an entry VM and serves callers.
package main

import (
	"peridotchute.example/common/daemon"
	"peridotchute.example/entry"
)

func main() {
	daemon.Main(daemon.Command("peridotchute-entry", "Serves callers and chooses backend servers", entry.Module))
}
