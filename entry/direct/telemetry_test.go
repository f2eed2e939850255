package direct

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"peridotchute.example/common/metrics"
	"peridotchute.example/fleet"
)

// TestOddServicesBecomeLabels counts servers of services that only their registrations name.
func TestOddServicesBecomeLabels(t *testing.T) {
	v := &fleet.View{Servers: []fleet.Server{{Service: "till"}, {Service: "till", Draining: true}}}
	for i := range 1000 {
		v.Servers = append(v.Servers, fleet.Server{Service: fmt.Sprintf("nobodys-%d", i)})
	}
	assert.DeepEqual(t, serverStates(v), map[metrics.ServerState]int{
		{Service: undeclaredService, State: stateReady}:    1001,
		{Service: undeclaredService, State: stateDraining}: 1,
	})
	v.Config = &fleet.Config{Services: map[string]*fleet.Service{"till": {Name: "till"}}}
	assert.DeepEqual(t, serverStates(v), map[metrics.ServerState]int{
		{Service: "till", State: stateReady}:            1,
		{Service: "till", State: stateDraining}:         1,
		{Service: undeclaredService, State: stateReady}: 1000,
	})
}
