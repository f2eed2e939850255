// Command peridotchute-side runs beside one backend server.
package main

import (
	"peridotchute.example/common/daemon"
	"peridotchute.example/side"
)

func main() {
	daemon.Main(daemon.Command("peridotchute-side", "Guards one backend server", side.Module))
}
