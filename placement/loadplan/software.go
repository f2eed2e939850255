package loadplan

import "time"

// Servers of several software versions may serve at the same time. A stream that one
// version began can only go on there, so its requests need a server of that version with
// the model, whatever servers of other versions have loaded.

// boundRequestTime is how long after its last request bound to a software version a model
// is kept loaded there. A client that was refused returns within this time.
const boundRequestTime = 10 * time.Second

// boundKey names a model at the servers of one software version.
type boundKey struct {
	model    string
	software string
}

// boundDemand records when each model was last requested by a request that only servers
// of one software version may get.
type boundDemand map[boundKey]time.Duration

// requested reports whether a request for the model was bound to the software version
// within boundRequestTime.
func (d boundDemand) requested(k boundKey, now time.Duration) bool {
	at, ok := d[k]
	return ok && now-at < boundRequestTime
}

// expire removes what no longer counts as requested.
func (d boundDemand) expire(now time.Duration) {
	for k, at := range d {
		if now-at >= boundRequestTime {
			delete(d, k)
		}
	}
}

// anySoftware is the index of no software version: servers of all versions count.
const anySoftware = -1

// softwarePlan is the planning state of one model at the servers of one software version.
type softwarePlan struct {
	count   int  // as in modelPlan, of servers of this version
	serving int  // as in modelPlan, of servers of this version
	bound   bool // requests bound to this version came within boundRequestTime
}

// need is a model that needs a replica.
type need struct {
	model    *modelPlan
	software int // index of the software version that the server must have, or anySoftware
}

// met reports whether the model has a replica where one is needed.
func (n need) met() bool {
	if n.software == anySoftware {
		return n.model.count > 0
	}
	return n.model.bySoftware[n.software].count > 0
}

// addSoftware prepares the counts by software version, which are kept only while several
// versions are in use.
func (p *planning) addSoftware() {
	if len(p.software) < 2 {
		return
	}
	p.bindStreamsOfLeaving()
	counts := make([]softwarePlan, len(p.models)*len(p.software))
	for i := range p.models {
		m := &p.models[i]
		m.bySoftware, counts = counts[:len(p.software)], counts[len(p.software):]
		for software, index := range p.software {
			m.bySoftware[index].bound = p.state.Demand.bound.requested(boundKey{m.model.Name, software}, p.now)
		}
	}
}

// bindStreamsOfLeaving records the streams that run on draining servers as requests bound to
// their software version: if they don't end in time, their clients take them up again there,
// and have no time for a load that begins only then.
func (p *planning) bindStreamsOfLeaving() {
	for i := range p.servers {
		s := p.servers[i].state.Server
		if !s.Draining {
			continue
		}
		for key, count := range p.state.Demand.running[s.ID] {
			if count > 0 {
				p.state.Demand.bound[boundKey{key.Model, s.Software}] = p.now
			}
		}
	}
}

// appendBound appends the software versions at which a model has no replica although
// requests are bound to them.
func (m *modelPlan) appendBound(needs []need) []need {
	for i := range m.bySoftware {
		if m.bySoftware[i].bound && m.bySoftware[i].count == 0 {
			needs = append(needs, need{model: m, software: i})
		}
	}
	return needs
}

// hasRoom reports whether some server that meets the need has room for the model, after
// unloading others if necessary. A server that carries out an order may have room later.
func (p *planning) hasRoom(n need) bool {
	pl := placement{need: n, reason: ReasonBound, evictLast: p.mayEvictLast(n.model, ReasonBound)}
	for i := range p.servers {
		sp := &p.servers[i]
		if !n.fits(sp) || !p.state.takesLoads(sp.state) {
			continue
		}
		o := option{server: sp}
		if !sp.open || sp.hasLoaded(n.model) || p.chooseVictims(&o, p.missingMB(sp, n.model), &pl) {
			return true
		}
	}
	return false
}

// recordRoom records for which bound models no server has room.
func (p *planning) recordRoom() {
	p.state.noRoom = nil
	var unmet []need
	for i := range p.models {
		unmet = p.models[i].appendBound(unmet)
	}
	for _, n := range unmet {
		if p.hasRoom(n) {
			continue
		}
		if p.state.noRoom == nil {
			p.state.noRoom = map[boundKey]bool{}
		}
		p.state.noRoom[boundKey{n.model.model.Name, p.softwareName(n.software)}] = true
	}
}

// softwareName returns the software version with an index.
func (p *planning) softwareName(index int) string {
	for name, i := range p.software {
		if i == index {
			return name
		}
	}
	return ""
}

// lastOfSoftware reports whether no other server of the same software version serves the
// model, while several versions are in use.
func (v *residentPlan) lastOfSoftware() bool {
	if v.software == nil {
		return false
	}
	n := v.software.serving
	if v.serves {
		n--
	}
	return n <= 0
}

// boundHere reports whether requests need this replica because of its software version.
func (v *residentPlan) boundHere() bool { return v.lastOfSoftware() && v.software.bound }

// mayBeResumed reports whether streams of the model may have begun at its software version
// lately, which could not go on without this replica.
func (v *residentPlan) mayBeResumed() bool {
	return v.lastOfSoftware() && (v.model.requested || v.running > 0)
}

// softwareAt returns the counts of a model at the software version of a server, or nil
// while one version is in use.
func (p *planning) softwareAt(m *modelPlan, s *ServerState) *softwarePlan {
	if m.bySoftware == nil {
		return nil
	}
	return &m.bySoftware[p.software[s.Server.Software]]
}

// stillNeeded reports whether a victim of an intent must stay after all: its other replicas
// were lost, or it was requested meanwhile.
func (p *planning) stillNeeded(victim string, s *ServerState) bool {
	m := p.model(victim)
	if m == nil {
		return false
	}
	if m.serving == 0 && m.requested {
		return true
	}
	v := p.softwareAt(m, s)
	return v != nil && v.serving == 0 && v.bound
}
