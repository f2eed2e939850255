package residence

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotchute.example/fleet"
)

func registered(seq, version int64, models ...string) fleet.Server {
	s := fleet.Server{ID: "s", Born: 1, OrderSeq: seq, Registration: version}
	for _, m := range models {
		s.Residents = append(s.Residents, fleet.Resident{Model: m})
	}
	return s
}

func reported(seq int64, busy bool, models ...string) fleet.Report {
	return fleet.Report{Born: 1, OrderSeq: seq, Busy: busy, Residents: registered(0, 0, models...).Residents}
}

// loaded is a server that has accepted an order to load m2 beside m1.
func loaded() *State {
	s := newState(registered(0, 1, "m1"), time.Hour)
	s.Begin(s.order(fleet.OrderLoad, Key{Model: "m2"}), time.Hour)
	s.Answered(fleet.OrderAccepted, SourceStore, time.Second, time.Hour)
	return s
}

func TestWhatIsKnownOfAServer(t *testing.T) {
	tests := []struct {
		name  string
		tell  func(*State)
		holds []string
		known bool
		idle  bool
	}{
		{name: "load in progress", tell: func(*State) {}, holds: []string{"m1"}, known: true},
		{name: "load finished, as registered", holds: []string{"m1", "m2"}, known: true, idle: true,
			tell: func(s *State) { s.Register(registered(1, 3, "m1", "m2"), time.Hour) }},
		{name: "load finished, as reported", holds: []string{"m1", "m2"}, known: true, idle: true,
			tell: func(s *State) { s.Report(reported(1, false, "m1", "m2"), time.Hour) }},
		{name: "registration older than the report", holds: []string{"m1", "m2"}, known: true, idle: true,
			tell: func(s *State) {
				s.Report(reported(1, false, "m1", "m2"), time.Hour)
				s.Register(registered(1, 3, "m1"), time.Hour)
			}},
		{name: "registration older than the order", holds: []string{"m1"}, known: true,
			tell: func(s *State) { s.Register(registered(0, 3, "m1", "m3"), time.Hour) }},
		{name: "report older than the order", holds: []string{"m1"}, known: true,
			tell: func(s *State) { s.Report(reported(0, false, "m1", "m3"), time.Hour) }},
		{name: "order by another", holds: []string{"m1", "m3"},
			tell: func(s *State) { s.Register(registered(2, 3, "m1", "m3"), time.Hour) }},
		{name: "earlier incarnation", holds: []string{"m1"}, known: true,
			tell: func(s *State) {
				old := registered(9, 3, "m3")
				old.Born = 0
				s.Register(old, time.Hour)
			}},
		{name: "new incarnation", known: true, idle: true,
			tell: func(s *State) {
				again := registered(0, 3)
				again.Born = 2
				s.Register(again, time.Hour)
			}},
		{name: "report of another incarnation", holds: []string{"m1"},
			tell: func(s *State) {
				r := reported(0, false, "m3")
				r.Born = 2
				s.Report(r, time.Hour)
			}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			s := loaded()
			tc.tell(s)
			assert.DeepEqual(t, sortedKeys(s.Models), append([]string{}, tc.holds...))
			assert.Equal(t, s.ready(), tc.known)
			assert.Equal(t, s.idle(), tc.idle)
		})
	}
}

func TestLostLoadCountsUntilItCanNoLongerTakeEffect(t *testing.T) {
	e := fiveModels()
	s := newState(registered(0, 1, "m0"), time.Hour)
	free := s.free(e, Key{Model: "m2"})
	lost := s.order(fleet.OrderLoad, Key{Model: "m1"})
	s.Begin(lost, time.Hour)
	s.Lost(time.Hour)
	assert.Assert(t, !s.ready())
	s.Report(reported(0, false, "m0"), time.Hour)
	assert.Assert(t, s.ready())
	assert.Equal(t, s.free(e, Key{Model: "m2"}), free-e.Models["m1"].WeightsMB)
	assert.Equal(t, s.free(e, Key{Model: "m1"}), free)
	s.Report(reported(1, false, "m0"), time.Hour)
	assert.Equal(t, s.free(e, Key{Model: "m2"}), free)
}
