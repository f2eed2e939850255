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

// Server is this entry's view of one backend server and its side process.
type Server struct {
	name     string // of the VM; never changes
	inFlight atomic.Int64
	peer     atomic.Pointer[rpc.Peer]
	stop     func() // ends the goroutine that maintains the connection
	observe  func(membership.Observation)
	fetching atomic.Bool // a fetch of the residents is in progress

	mu                   sync.Mutex
	vm                   store.VM
	state                membership.State
	reason               string // of state
	incarnation          string // newest known; empty before the first hello or report
	report               rpc.Report
	reportedAt           time.Time
	residentsDigest      uint64 // digest of residents; 0 if unknown
	residents            map[wire.Artifact]bool
	residentsIncarnation string    // incarnation that sent residents
	ownInFlight          int       // this entry's requests in progress when the load was reported
	failures             int       // consecutive failed requests
	retryAt              time.Time // ejected until then
	firstSeen            time.Time
	limit                admission.Limit
}

// Status returns the server's membership state and the configuration version that
// its side process last reported.
func (s *Server) Status() (membership.State, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state, s.report.ConfigVersion
}

// VM returns the server's row in the VM list.
func (s *Server) VM() store.VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.vm
}

// Peer returns the control connection, or nil if there is none.
func (s *Server) Peer() *rpc.Peer { return s.peer.Load() }

// latestIncarnation returns the newest known incarnation, or "" if there is none.
func (s *Server) latestIncarnation() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.incarnation
}

// Incarnation returns the incarnation of the side process according to its last
// hello or report, or "" if it is unknown.
func (s *Server) Incarnation() string {
	if p := s.Peer(); p != nil {
		return p.Identity.Incarnation
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.incarnation
}

// Begin counts a request as in progress at the server. The caller must call the
// returned function once when the request has ended. ok is false if the server
// failed; consecutive failures eject the server.
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

// Observe records the load that was reported with a response at time now.
func (s *Server) Observe(l wire.Load, now time.Time) {
	s.observe(membership.Contact{Name: s.VM().Name, Incarnation: l.Incarnation, Answered: true})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.InFlight = l.InFlight
	s.report.QueueDelayMS = l.QueueDelay.Milliseconds()
	s.reportedAt = now
	s.ownInFlight = int(s.inFlight.Load())
}

// Bounds of the adaptive concurrency limit of a server, in requests of this entry.
const (
	initialLimit = 64
	minLimit     = 4
	maxLimit     = 1024
)

func newLimit() admission.Limit { return admission.NewLimit(initialLimit, minLimit, maxLimit) }

// FirstToken adjusts the concurrency limit after a stream whose first token
// arrived after latency. A target of 0 means that there is none.
func (s *Server) FirstToken(latency, target time.Duration, now time.Time) {
	if target <= 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit.Observe(latency <= target, int(s.inFlight.Load()), now)
}

// setMember copies the state of the server's member.
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

// applyReport stores a report if it is of the known incarnation and newer than the
// stored one. stale is true if the known residents differ from the reported ones
// and must be fetched.
func (s *Server) applyReport(r rpc.Report, now time.Time) (stale bool) {
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
	return r.Residence != s.residentsDigest
}

// knownDigest returns the digest of the known residents of an incarnation, or 0 if
// there are none.
func (s *Server) knownDigest(incarnation string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.residentsIncarnation != incarnation {
		return 0
	}
	return s.residentsDigest
}

// applyResidents applies the residents that an incarnation sent. If the reply is
// relative to another digest than the known one, it is dropped and the next query
// requests all residents.
func (s *Server) applyResidents(incarnation string, reply rpc.ResidenceReply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.residentsDigest
	if s.residentsIncarnation != incarnation {
		known = 0
	}
	residents := reply.Apply(known, s.residents)
	if residents == nil {
		s.residentsDigest = 0
		return
	}
	s.residents, s.residentsDigest, s.residentsIncarnation = residents, reply.Residence, incarnation
}

// Dump is the entry for one server in the state dump.
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
