package residence

import (
	"time"

	"peridotchute.example/fleet"
)

// Step is an order that is to be given now.
type Step struct {
	Server string
	Order  fleet.Order
	Reason string
}

// Plan returns the model orders that are to be given now, at most one a server.
func (b *Book) Plan(now time.Duration) []Step { return nil }

// Intent is a decision to load a model at a server, after others have left it.
type Intent struct {
	Load   string
	Unload []string
	Reason string
}
