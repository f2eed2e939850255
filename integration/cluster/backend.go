package cluster

import (
	"peridotchute.example/standin/engine"
	"peridotchute.example/standin/plain"
)

// Calls returns the calls that the plain service behind the side process executed.
func (s *Side) Calls() ([]plain.Call, error) {
	var calls []plain.Call
	err := GetJSON(s.BackendURL()+"/control/calls", &calls)
	return calls, err
}

// Breaches returns the memory counters of the engine behind the side process.
func (s *Side) Breaches() (engine.Breaches, error) {
	var b engine.Breaches
	err := GetJSON(s.BackendURL()+"/control/breaches", &b)
	return b, err
}

// SetBehaviour configures the plain service behind the side process.
func (s *Side) SetBehaviour(b plain.Behaviour) error {
	return putJSON(s.BackendURL()+"/control/behaviour", b)
}
