// Command peridotchute-side runs the side process of one backend server on the
// same VM.
package main

import (
	"peridotchute.example/common/daemon"
	"peridotchute.example/side"
)

func main() {
	daemon.Main(daemon.Command("peridotchute-side", "Controls access to one backend server", side.Module))
}
