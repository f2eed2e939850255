// Command peridotchute-standin simulates the platform's services and the backend
// servers in tests and benchmarks.
package main

import (
	"peridotchute.example/common/daemon"
	"peridotchute.example/standin/server"
)

func main() {
	daemon.Main(daemon.Command("peridotchute-standin", "Simulates the platform and the backend servers", server.Module))
}
