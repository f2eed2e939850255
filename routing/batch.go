package routing

import "time"

// The wait at a model server is estimated from its remaining prefill work, not
// from its number of requests: prompts differ greatly in length, and a hot model
// may have few replicas.

const (
	// peerLoadTTL is the time after which another entry's load expires. Entries
	// report several times a second, so an older report means that the entry has
	// stopped or is unreachable.
	peerLoadTTL = 2 * time.Second

	// minRemainingShare is the share of the known work that counts as remaining,
	// however old it is, until a first event shows that it is done.
	minRemainingShare = 0.25

	// The first event of a request is overdue after overdueMargin plus overdueFactor
	// times the known work of the server, since requests of other entries may go first.
	overdueFactor = 2
	overdueMargin = 300 * time.Millisecond
	stalledAfter  = 700 * time.Millisecond // overdue time; about a second with the margin, longer than any batch step

	shareStep      = 0.02 // smoothing factor of the share; averages about a second of reports of ten entries
	staleWeight    = 0.5  // weight of stale reports, whose error is about twice that of a full count
	minShareFactor = 0.25 // minimum share, relative to an equal one; few own requests are a poor sample

	// utilizationHalfLife is the half-life of the average utilization, about as
	// long as an answer takes.
	utilizationHalfLife = 2 * time.Second
)

// Priorities is the number of distinct priorities. Less urgent ones count as the
// last.
const Priorities = 3

// Load describes the requests of one or more entries at one server.
type Load struct {
	Waiting  int                       // requests without a first event
	Running  int                       // requests with a first event
	Work     time.Duration             // prefill time of the waiting requests at a server of usual speed
	Urgent   int                       // requests of priority 0, waiting or running
	Tokens   int                       // memory of all requests at their end, in tokens
	Reserved [Priorities]time.Duration // work of requests that wait in the entry for this server, by priority
}

func (l *Load) add(m *Load) { l.addSigned(m, 1) }

// addSigned adds another load or, if sign is -1, subtracts it.
func (l *Load) addSigned(m *Load, sign int) {
	l.Waiting += sign * m.Waiting
	l.Running += sign * m.Running
	l.Urgent += sign * m.Urgent
	l.Work += time.Duration(sign) * m.Work
	l.Tokens += sign * m.Tokens
	for i := range l.Reserved {
		l.Reserved[i] += time.Duration(sign) * m.Reserved[i]
	}
}

// weight returns the weight of a load in othersAt.
func (l *Load) weight() time.Duration {
	return l.Work + time.Duration(l.Waiting+l.Running)*time.Millisecond
}

// reservedAhead returns the reserved work of the given priority and of more
// urgent ones.
func (l *Load) reservedAhead(priority int) time.Duration {
	var sum time.Duration
	for i := range min(priority+1, Priorities) {
		sum += l.Reserved[i]
	}
	return sum
}

// SentRequest describes a request that was sent to a server. Keep it until the
// request ends: Started and Ended need the same values.
type SentRequest struct {
	Priority int
	Work     time.Duration // prefill time at a server of usual speed
	Tokens   int           // memory at the end of the request, in tokens
}

// urgent returns 1 for a request of priority 0 and 0 for others.
func (s *SentRequest) urgent() int {
	if s.Priority <= 0 {
		return 1
	}
	return 0
}

// Batch tracks the requests at one server: this entry's own requests and the
// loads that other entries reported. The zero value is empty. It is not safe for
// concurrent use.
//
//	s := routing.SentRequest{Work: prompt.Work(choice.Cached), Tokens: prompt.Memory()}
//	server.Batch.Sent(s, now)
//	server.Started(s, &prefillTime, choice.Wait, took, now) // first event
//	server.Batch.Ended(s, true, now)                 // complete, failed or canceled
type Batch struct {
	own           Load
	others        Load
	lastProgress  time.Time           // last first event of an own request, or when own requests began to wait
	othersAt      time.Time           // mean time of the reports in others, weighted by their loads
	utilization   float64             // share of the last seconds in which there was work
	utilizationAt time.Time           // when utilization was computed
	share         float64             // smoothed share of this entry in the server's requests; 0 if unknown
	recent        recentWork          // of own requests
	peers         map[string]peerLoad // by entry
	nextExpiry    time.Time           // when the oldest load in peers expires
}

// peerLoad is the load that another entry reported at a time.
type peerLoad struct {
	load Load
	at   time.Time
}

// Sent counts a request that was sent to the server.
func (b *Batch) Sent(s SentRequest, now time.Time) {
	b.updateUtilization(now)
	if b.own.Waiting == 0 {
		b.lastProgress = now
	}
	b.own.Waiting++
	b.own.Urgent += s.urgent()
	b.own.Work += s.Work
	b.own.Tokens += s.Tokens
	b.recent.add(s.Work, now)
}

// Started counts the first event of a request.
func (b *Batch) Started(s SentRequest, now time.Time) {
	b.updateUtilization(now)
	b.own.Waiting--
	b.own.Work -= s.Work
	b.own.Running++
	b.lastProgress = now
}

// Ended removes a request. started reports whether Started was called for it.
func (b *Batch) Ended(s SentRequest, started bool, now time.Time) {
	b.updateUtilization(now)
	b.own.Urgent -= s.urgent()
	b.own.Tokens -= s.Tokens
	if started {
		b.own.Running--
		return
	}
	b.own.Waiting--
	b.own.Work -= s.Work
}

// Reserve reserves work for a request that waits for the server. Negative work
// releases a reservation.
func (b *Batch) Reserve(priority int, work time.Duration) {
	b.own.Reserved[min(max(priority, 0), Priorities-1)] += work
}

// updateUtilization updates the utilization. It must be called before the work
// changes.
func (b *Batch) updateUtilization(now time.Time) {
	keep := decay(now.Sub(b.utilizationAt), utilizationHalfLife)
	b.utilizationAt = now
	b.utilization *= keep
	if b.own.Work+b.others.Work > 0 {
		b.utilization += 1 - keep
	}
}

// OwnLoad returns the load of this entry, to be reported to the other entries.
func (b *Batch) OwnLoad(now time.Time) Load {
	l := b.own
	l.Work = remainingWork(l.Work, b.Load(now).Work, now.Sub(b.lastProgress))
	return l
}

// SetPeerLoad replaces the load of another entry by the one that it reported at the
// time at.
func (b *Batch) SetPeerLoad(entry string, l Load, at, now time.Time) {
	if b.peers == nil {
		b.peers = map[string]peerLoad{}
	}
	b.updateUtilization(now)
	b.Load(now) // removes expired loads
	if old, ok := b.peers[entry]; ok {
		b.applyPeer(&old, -1)
	}
	p := peerLoad{l, at}
	b.peers[entry] = p
	b.applyPeer(&p, 1)
	b.updateShare()
}

// applyPeer adds the load of another entry to others or, if sign is -1,
// subtracts it.
func (b *Batch) applyPeer(p *peerLoad, sign int) {
	before := b.others.weight()
	b.others.addSigned(&p.load, sign)
	switch {
	case before <= 0:
		b.othersAt = p.at
	case b.others.weight() > 0:
		// The mean report time moves in proportion to the weight of this load.
		weight := float64(b.others.weight()-before) / float64(b.others.weight())
		b.othersAt = b.othersAt.Add(time.Duration(weight * float64(p.at.Sub(b.othersAt))))
	}
	if until := p.at.Add(peerLoadTTL); sign > 0 && (b.nextExpiry.IsZero() || until.Before(b.nextExpiry)) {
		b.nextExpiry = until
	}
}

// expirePeers removes the loads that are older than peerLoadTTL.
func (b *Batch) expirePeers(now time.Time) {
	b.others, b.nextExpiry, b.othersAt = Load{}, time.Time{}, now
	for entry, p := range b.peers {
		if !now.Before(p.at.Add(peerLoadTTL)) {
			delete(b.peers, entry)
			continue
		}
		b.applyPeer(&p, 1)
	}
}

// Load returns the total load of all entries.
func (b *Batch) Load(now time.Time) Load {
	if !b.nextExpiry.IsZero() && !now.Before(b.nextExpiry) {
		b.expirePeers(now)
	}
	sum := b.own
	sum.add(&b.others)
	return sum
}

// Backlog returns the remaining prefill time of the known requests at a server
// of usual speed, plus the time by which a first event is overdue.
func (b *Batch) Backlog(now time.Time) time.Duration {
	return b.backlog(b.Load(now).Work, now)
}

// backlog is Backlog with the total work of the server given.
func (b *Batch) backlog(work time.Duration, now time.Time) time.Duration {
	if work <= 0 {
		return 0
	}
	own := remainingWork(b.own.Work, work, now.Sub(b.lastProgress))
	others := remainingWork(b.others.Work, work, now.Sub(b.othersAt))
	return own + others + b.overdue(work, now)
}

// remainingWork returns how much of part, a part of a server's work, remains
// some time after the work was known. It assumes that the server makes equal
// progress on all parts.
func remainingWork(part, all, since time.Duration) time.Duration {
	if all <= 0 {
		return 0
	}
	done := min(float64(since)/float64(all), 1-minRemainingShare)
	return time.Duration(float64(part) * (1 - done))
}

// overdue returns by how much the next first event of an own request is overdue,
// or 0. It counts as backlog, so that a stalled server gets no more requests.
func (b *Batch) overdue(work time.Duration, now time.Time) time.Duration {
	if b.own.Waiting == 0 {
		return 0
	}
	return max(now.Sub(b.lastProgress)-work*overdueFactor-overdueMargin, 0)
}

// Stalled reports whether the server has stalled: it has made no progress for so
// long that requests waiting there should be sent to another server if they may
// be repeated.
func (b *Batch) Stalled(now time.Time) bool {
	return b.overdue(b.Load(now).Work, now) > stalledAfter
}

// Restarted removes the loads that other entries reported for the server's
// earlier incarnation. Own requests end one by one as their connections break.
func (b *Batch) Restarted() {
	b.peers, b.others, b.nextExpiry, b.othersAt = nil, Load{}, time.Time{}, time.Time{}
}

// InProgress estimates the number of requests of all entries at the server.
// serviceTime is how long a request usually takes; reports of other entries lose
// their weight within about that time. Own requests divided by this entry's
// usual share are then the better estimate, the more so the larger the share.
func (b *Batch) InProgress(serviceTime time.Duration, now time.Time) int {
	l := b.Load(now)
	reported, own := l.Waiting+l.Running, b.own.Waiting+b.own.Running
	if len(b.peers) == 0 || b.share <= 0 {
		return reported
	}
	stale := 1 - decay(now.Sub(b.othersAt), serviceTime)
	weight := stale * b.share / (b.share + staleWeight)
	byOwn := float64(own) / b.share
	return int(float64(reported)*(1-weight) + byOwn*weight + 0.5)
}

// updateShare updates the smoothed share with the current one.
func (b *Batch) updateShare() {
	own, others := b.own.Waiting+b.own.Running, b.others.Waiting+b.others.Running
	if own+others == 0 {
		return
	}
	if b.share == 0 {
		b.share = 1 / float64(len(b.peers)+1)
	}
	b.share += (float64(own)/float64(own+others) - b.share) * shareStep
	b.share = max(b.share, minShareFactor/float64(len(b.peers)+1))
}
