package residence

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotchute.example/fleet"
)

func newRegistration(born, version int64, models ...string) fleet.Server {
	return fleet.Server{ID: "s", Born: born, Registration: version, Residents: residentsOf(models)}
}

func newReport(born, seq int64, busy bool, models ...string) fleet.Report {
	return fleet.Report{Born: born, OrderSeq: seq, Busy: busy, Residents: residentsOf(models)}
}

func residentsOf(models []string) []fleet.Resident {
	var out []fleet.Resident
	for _, m := range models {
		out = append(out, fleet.Resident{Model: m})
	}
	return out
}

// loadingServer returns the state of a server that has accepted its fifth
// order, to load m2 beside m1.
func loadingServer() *State {
	s := newState(newRegistration(1, 1, "m1"), time.Hour)
	s.Report(newReport(1, 4, false, "m1"), time.Hour)
	s.Begin(s.order(fleet.OrderLoad, Key{Model: "m2"}), time.Hour)
	s.Answered(fleet.OrderAccepted, SourceStore, time.Second, time.Hour)
	return s
}

func TestServerState(t *testing.T) {
	const now = time.Hour
	tests := []struct {
		name   string
		update func(*State)
		loaded []string
		synced bool
		idle   bool
	}{
		{name: "load in progress", update: func(*State) {}, loaded: []string{"m1"}, synced: true},
		{name: "load finished", loaded: []string{"m1", "m2"}, synced: true, idle: true,
			update: func(s *State) { s.Report(newReport(1, 5, false, "m1", "m2"), now) }},
		{name: "registration that may be older than the report", loaded: []string{"m1", "m2"}, synced: true, idle: true,
			update: func(s *State) {
				s.Report(newReport(1, 5, false, "m1", "m2"), now)
				s.Register(newRegistration(1, 3, "m1"), now)
			}},
		{name: "report older than the order", loaded: []string{"m1"}, synced: true,
			update: func(s *State) { s.Report(newReport(1, 4, false, "m1", "m3"), now) }},
		{name: "order of another process", loaded: []string{"m1", "m3"}, synced: true, idle: true,
			update: func(s *State) { s.Report(newReport(1, 6, false, "m1", "m3"), now) }},
		{name: "earlier incarnation", loaded: []string{"m1"}, synced: true,
			update: func(s *State) { s.Register(newRegistration(0, 3, "m3"), now) }},
		{name: "new incarnation, not yet reported",
			update: func(s *State) { s.Register(newRegistration(2, 3), now) }},
		{name: "new incarnation", loaded: []string{"m3"}, synced: true, idle: true,
			update: func(s *State) {
				s.Register(newRegistration(2, 3), now)
				s.Report(newReport(2, 0, false, "m3"), now)
			}},
		{name: "report of an incarnation that has not registered", loaded: []string{"m1"},
			update: func(s *State) { s.Report(newReport(2, 0, false, "m3"), now) }},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			s := loadingServer()
			tc.update(s)
			assert.DeepEqual(t, sortedKeys(s.Models), append([]string{}, tc.loaded...))
			assert.Equal(t, s.ready(), tc.synced)
			assert.Equal(t, s.idle(), tc.idle)
		})
	}
}

func TestLostLoadInProgressIsRecognised(t *testing.T) {
	s := newState(newRegistration(1, 1, "m0"), time.Hour)
	s.Report(newReport(1, 0, false, "m0"), time.Hour)
	s.Begin(s.order(fleet.OrderLoad, Key{Model: "m1"}), time.Hour)
	s.Lost(time.Hour)
	s.Report(newReport(1, 1, true, "m0"), time.Hour)
	assert.Assert(t, s.loading("m1"))
}

func TestLostLoadIsCountedUntilSettled(t *testing.T) {
	e := fiveModels()
	s := newState(newRegistration(1, 1, "m0"), time.Hour)
	s.Report(newReport(1, 0, false, "m0"), time.Hour)
	free := s.freeMemory(e, Key{Model: "m2"})
	lost := s.order(fleet.OrderLoad, Key{Model: "m1"})
	s.Begin(lost, time.Hour)
	s.Lost(time.Hour)
	assert.Assert(t, !s.ready())
	s.Report(newReport(1, 0, false, "m0"), time.Hour)
	assert.Assert(t, s.ready())
	assert.Equal(t, s.freeMemory(e, Key{Model: "m2"}), free-e.Models["m1"].WeightsMB)
	assert.Equal(t, s.freeMemory(e, Key{Model: "m1"}), free)
	s.Report(newReport(1, 1, false, "m0"), time.Hour)
	assert.Equal(t, s.freeMemory(e, Key{Model: "m2"}), free)
}

func TestNewIncarnationDuringOrder(t *testing.T) {
	for _, end := range []func(*State){
		func(s *State) { s.Answered(fleet.OrderAccepted, SourceStore, time.Second, time.Hour) },
		func(s *State) { s.Lost(time.Hour) },
		func(s *State) { s.NotSent(time.Hour) },
	} {
		s := newState(newRegistration(1, 1, "m1"), time.Hour)
		s.Report(newReport(1, 0, false, "m1"), time.Hour)
		s.Begin(s.order(fleet.OrderLoad, Key{Model: "m2"}), time.Hour)
		s.Register(newRegistration(2, 2, "m3"), time.Hour)
		end(s)
		assert.DeepEqual(t, sortedKeys(s.Models), []string{"m3"})
		assert.Assert(t, !s.ready() && s.work == nil && len(s.lostOrders) == 0)
	}
}
