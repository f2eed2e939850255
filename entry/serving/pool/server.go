package pool

import (
	"sync"
	"sync/atomic"
	"time"

	"peridotchute.example/admission"
	"peridotchute.example/common/wire"
	"peridotchute.example/membership"
	"peridotchute.example/routing"
	"peridotchute.example/rpc"
	"peridotchute.example/store"
)

// Server is what this entry knows of one backend server and its side process.
type Server struct {
	name     string // of the VM; never changes
	inFlight atomic.Int64
	peer     atomic.Pointer[rpc.Peer]
	stop     func() // ends the connecting goroutine
	observe  func(membership.Observation)
	asking   atomic.Bool // what is resident is being asked for

	mu          sync.Mutex
	vm          store.VM
	state       membership.State
	reason      string // of state
	incarnation string // newest known, "" before the first hello or report
	report      rpc.Report
	reportedAt  time.Time
	residence   uint64 // digest of residents
	residents   map[wire.Artifact]bool
	residentsOf string // incarnation
	ownInFlight int    // own requests in progress when the report arrived
	failures    int
	retryAt     time.Time // ejected until then
	firstSeen   time.Time
	limit       admission.Limit
}

// Status returns the server's state and the configuration version that its
// side process reported last.
func (s *Server) Status() (membership.State, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state, s.report.ConfigVersion
}

// VM returns the server's row of the VM list.
func (s *Server) VM() store.VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.vm
}

// Peer returns the control connection, or nil while there is none.
func (s *Server) Peer() *rpc.Peer { return s.peer.Load() }

// known returns the newest incarnation known, "" before the first.
func (s *Server) known() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.incarnation
}

// Incarnation returns the side process's incarnation by its last hello or
// report, or "" while it is unknown.
func (s *Server) Incarnation() string {
	if p := s.Peer(); p != nil {
		return p.Identity.Incarnation
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.incarnation
}

// Begin counts a request as in progress at the server. The returned function
// ends it and must be called once, with whether the server did its part.
func (s *Server) Begin() func(ok bool) {
	s.inFlight.Add(1)
	return func(ok bool) {
		s.inFlight.Add(-1)
		if !ok {
			s.observe(membership.RequestFailed{Name: s.VM().Name, Incarnation: s.Incarnation()})
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		if ok {
			s.failures, s.retryAt = 0, time.Time{}
			return
		}
		s.failures++
		s.retryAt = routing.Eject(s.failures, time.Now())
	}
}

// Observe takes the load figure that came with an answer.
func (s *Server) Observe(l wire.Load, now time.Time) {
	s.observe(membership.Contact{Name: s.VM().Name, Incarnation: l.Incarnation, Answered: true})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.InFlight = l.InFlight
	s.report.QueueDelayMS = l.QueueDelay.Milliseconds()
	s.reportedAt = now
	s.ownInFlight = int(s.inFlight.Load())
}

// setMember takes over what membership says of the server.
// Bounds of the adaptive concurrency limit, in own requests in progress.
const (
	startLimit = 64
	leastLimit = 4
	mostLimit  = 1024
)

func newLimit() admission.Limit { return admission.NewLimit(startLimit, leastLimit, mostLimit) }

// FirstToken takes into account how long the first token of a stream took
// against its target, of which zero means none.
func (s *Server) FirstToken(took, target time.Duration, now time.Time) {
	if target <= 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit.Observe(took <= target, int(s.inFlight.Load()), now)
}

func (s *Server) setMember(m membership.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vm = store.VM{
		Name: m.Name, Role: roleBackend, Zone: m.Zone, Pool: m.Pool,
		DataAddress: m.DataAddress, RPCAddress: m.RPCAddress, State: store.VMLive,
	}
	if m.ListLeaving {
		s.vm.State = store.VMLeaving
	}
	s.state, s.reason, s.incarnation = m.State, m.Reason, m.Incarnation
}

// accept stores a report unless a later one of the same incarnation or a later
// incarnation is known, and reports whether the residents must be fetched.
func (s *Server) accept(r rpc.Report, now time.Time) (stale bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Incarnation != s.incarnation {
		return false
	}
	if r.Incarnation == s.report.Incarnation && r.Seq <= s.report.Seq {
		return false
	}
	s.report = r
	s.reportedAt = now
	s.ownInFlight = int(s.inFlight.Load())
	return r.Residence != s.residence
}

// knownResidence returns the digest of what is known to be resident before an
// incarnation, 0 for nothing.
func (s *Server) knownResidence(incarnation string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.residentsOf != incarnation {
		return 0
	}
	return s.residence
}

// setResidence takes over what an incarnation told. A reply that does not start
// from what is known is dropped; everything is asked for next time.
func (s *Server) setResidence(incarnation string, reply rpc.ResidenceReply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.residence
	if s.residentsOf != incarnation {
		known = 0
	}
	residents := reply.Apply(known, s.residents)
	if residents == nil {
		s.residence = 0
		return
	}
	s.residents, s.residence, s.residentsOf = residents, reply.Residence, incarnation
}

// Dump is a server's section of the state dump.
type Dump struct {
	VM        store.VM        `json:"vm"`
	State     string          `json:"state"`
	Reason    string          `json:"reason"` // of the state
	Connected bool            `json:"connected"`
	InFlight  int64           `json:"in_flight"`
	Failures  int             `json:"failures"`
	Report    rpc.Report      `json:"report"`
	Residents []wire.Artifact `json:"residents"`
}

func (s *Server) dump() Dump {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := Dump{VM: s.vm, State: string(s.state), Reason: s.reason, Connected: s.peer.Load() != nil, InFlight: s.inFlight.Load(), Failures: s.failures, Report: s.report}
	for a := range s.residents {
		d.Residents = append(d.Residents, a)
	}
	return d
}
