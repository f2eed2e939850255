// Command peridotchute-side runs the side process of one backend server. All
// access to the server goes through it.
package main

import (
	"peridotchute.example/common/daemon"
	"peridotchute.example/side"
)

func main() {
	daemon.Main(daemon.Command("peridotchute-side", "Controls access to one backend server", side.Module))
}
