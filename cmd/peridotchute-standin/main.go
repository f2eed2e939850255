// Command peridotchute-standin stands in for the platform and the backend
// servers in tests and measurements.
package main

import (
	"peridotchute.example/common/daemon"
	"peridotchute.example/standin/server"
)

func main() {
	daemon.Main(daemon.Command("peridotchute-standin", "Stands in for the platform and the backend servers", server.Module))
}
