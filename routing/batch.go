package routing

import "time"

// Long prompts among short ones, and a hot model with few replicas: the wait
// at a server follows from what it has still to prefill, not from a count of
// requests.

const (
	// heardFor bounds the age of what another entry told: entries tell several
	// times a second, so one that is silent for so long is gone or cut off.
	heardFor = 2 * time.Second

	// leastBacklog is the least share of the work told or sent that still counts
	// while no first event shows that it is done.
	leastBacklog = 0.25

	// A first event is overdue when it takes so many times the work known there
	// and as much more: other entries' requests may go first.
	overdueTimes = 2
	overdueAfter = 300 * time.Millisecond
	silentAfter  = 700 * time.Millisecond // overdue; with the above about a second, above any batch step

	shareStep  = 0.02 // of a new share is taken over: a second's messages of ten entries
	toldWeight = 0.5  // of stale figures: they err about twice as much as a count of all would
	leastShare = 0.25 // of an equal share: an entry with few requests knows little by them

	// dutySpan is the time over which a server's busy time is averaged, about
	// as long as an answer takes.
	dutySpan = 2 * time.Second
)

// Priorities is how many priorities are told apart; less urgent ones count as the last.
const Priorities = 3

// Load is what an entry has under way at one server.
type Load struct {
	Waiting  int                       // requests without a first event
	Running  int                       // requests that are being answered
	Work     time.Duration             // prefill of the waiting, at a server of usual speed
	Urgent   int                       // requests of priority 0 among all of them
	Tokens   int                       // memory of all of them at their end
	Reserved [Priorities]time.Duration // work that waits in the entry and is meant for the server
}

func (l *Load) add(m *Load) { l.change(m, 1) }

// change adds or, with sign -1, takes off another load.
func (l *Load) change(m *Load, sign int) {
	l.Waiting += sign * m.Waiting
	l.Running += sign * m.Running
	l.Urgent += sign * m.Urgent
	l.Work += time.Duration(sign) * m.Work
	l.Tokens += sign * m.Tokens
	for i := range l.Reserved {
		l.Reserved[i] += time.Duration(sign) * m.Reserved[i]
	}
}

// weight is what a load counts in the mean time of telling.
func (l *Load) weight() time.Duration {
	return l.Work + time.Duration(l.Waiting+l.Running)*time.Millisecond
}

// ahead returns the reserved work that goes before a request of a priority.
func (l *Load) ahead(priority int) time.Duration {
	var sum time.Duration
	for i := range min(priority+1, Priorities) {
		sum += l.Reserved[i]
	}
	return sum
}

// Sending is one request as it was sent, to be kept until it ends.
type Sending struct {
	Priority int
	Work     time.Duration // prefill, at a server of usual speed
	Tokens   int           // memory at its end
}

func (s *Sending) urgent() int {
	if s.Priority <= 0 {
		return 1
	}
	return 0
}

// Batch is what is under way at one server: this entry's own requests, and the
// totals that other entries told. The zero value is empty. It is not safe for
// concurrent use.
//
//	s := routing.Sending{Work: prompt.Work(choice.Cached), Tokens: prompt.Memory()}
//	server.Batch.Sent(s, now)
//	server.Started(s, &pace, choice.Wait, took, now) // first event
//	server.Batch.Ended(s, true, now)                 // whole, broken or given up
type Batch struct {
	own      Load
	others   Load
	progress time.Time // last own first event, or when own requests began to wait
	toldAt   time.Time // when the others' work was told, as a mean over it
	duty     float64   // share of the last seconds in which there was work
	dutyAt   time.Time // when it was computed
	share    float64   // usual, of this entry in the requests there
	heard    map[string]heard
	silentAt time.Time // when the oldest of heard is too old
}

type heard struct {
	load Load
	at   time.Time
}

// Sent counts a request that was sent to the server.
func (b *Batch) Sent(s Sending, now time.Time) {
	b.account(now)
	if b.own.Waiting == 0 {
		b.progress = now
	}
	b.own.Waiting++
	b.own.Urgent += s.urgent()
	b.own.Work += s.Work
	b.own.Tokens += s.Tokens
}

// Started counts the first event of a request.
func (b *Batch) Started(s Sending, now time.Time) {
	b.account(now)
	b.own.Waiting--
	b.own.Work -= s.Work
	b.own.Running++
	b.progress = now
}

// Ended removes a request; started says whether Started was called for it.
func (b *Batch) Ended(s Sending, started bool, now time.Time) {
	b.account(now)
	b.own.Urgent -= s.urgent()
	b.own.Tokens -= s.Tokens
	if started {
		b.own.Running--
		return
	}
	b.own.Waiting--
	b.own.Work -= s.Work
}

// Reserve adds work of a waiting request that is meant for the server; negative
// work takes it back.
func (b *Batch) Reserve(priority int, work time.Duration) {
	b.own.Reserved[min(max(priority, 0), Priorities-1)] += work
}

// account brings the duty up to date, before the work changes.
func (b *Batch) account(now time.Time) {
	keep := halved(now.Sub(b.dutyAt), dutySpan)
	b.dutyAt = now
	b.duty *= keep
	if b.own.Work+b.others.Work > 0 {
		b.duty += 1 - keep
	}
}

// Own returns this entry's part, to be told to the other entries.
func (b *Batch) Own(now time.Time) Load {
	l := b.own
	l.Work = left(l.Work, b.Load(now).Work, now.Sub(b.progress))
	return l
}

// Hear replaces what another entry told, which it did at the time at.
func (b *Batch) Hear(entry string, l Load, at, now time.Time) {
	if b.heard == nil {
		b.heard = map[string]heard{}
	}
	b.account(now)
	b.Load(now) // without what is too old
	if old, ok := b.heard[entry]; ok {
		b.count(&old, -1)
	}
	h := heard{l, at}
	b.heard[entry] = h
	b.count(&h, 1)
	b.learnShare()
}

// count adds what an entry told to the totals or, with sign -1, takes it off.
func (b *Batch) count(h *heard, sign int) {
	before := b.others.weight()
	b.others.change(&h.load, sign)
	switch {
	case before <= 0:
		b.toldAt = h.at
	case b.others.weight() > 0:
		// The mean time of telling moves by the weight of this load.
		weight := float64(b.others.weight()-before) / float64(b.others.weight())
		b.toldAt = b.toldAt.Add(time.Duration(weight * float64(h.at.Sub(b.toldAt))))
	}
	if until := h.at.Add(heardFor); sign > 0 && (b.silentAt.IsZero() || until.Before(b.silentAt)) {
		b.silentAt = until
	}
}

// forget leaves out what was told too long ago.
func (b *Batch) forget(now time.Time) {
	b.others, b.silentAt, b.toldAt = Load{}, time.Time{}, now
	for entry, h := range b.heard {
		if !now.Before(h.at.Add(heardFor)) {
			delete(b.heard, entry)
			continue
		}
		b.count(&h, 1)
	}
}

// Load returns what all entries together have under way.
func (b *Batch) Load(now time.Time) Load {
	if !b.silentAt.IsZero() && !now.Before(b.silentAt) {
		b.forget(now)
	}
	sum := b.own
	sum.add(&b.others)
	return sum
}

// Backlog returns the prefill time that a server of usual speed has still to
// spend: what was sent, less the time since the last sign of progress.
func (b *Batch) Backlog(now time.Time) time.Duration {
	return b.backlog(b.Load(now).Work, now)
}

func (b *Batch) backlog(work time.Duration, now time.Time) time.Duration {
	if work <= 0 {
		return 0
	}
	own := left(b.own.Work, work, now.Sub(b.progress))
	others := left(b.others.Work, work, now.Sub(b.toldAt))
	return own + others + b.overdue(work, now)
}

// left returns what is left of a part of a server's work some time after it
// was known to be still to do, when the server works on all parts alike.
func left(part, all, since time.Duration) time.Duration {
	if all <= 0 {
		return 0
	}
	done := min(float64(since)/float64(all), 1-leastBacklog)
	return time.Duration(float64(part) * (1 - done))
}

// overdue returns for how long a first event has been missing beyond any doubt.
// A server that has gone silent gets no more requests by it.
func (b *Batch) overdue(work time.Duration, now time.Time) time.Duration {
	if b.own.Waiting == 0 {
		return 0
	}
	return max(now.Sub(b.progress)-work*overdueTimes-overdueAfter, 0)
}

// Silent reports whether the server has shown no progress for so long that the
// requests waiting there had better be sent elsewhere, if they may be.
func (b *Batch) Silent(now time.Time) bool {
	return b.overdue(b.Load(now).Work, now) > silentAfter
}

// Restarted forgets what other entries told of the server's earlier
// incarnation. Own requests end one by one as their connections break.
func (b *Batch) Restarted() {
	b.heard, b.others, b.silentAt, b.toldAt = nil, Load{}, time.Time{}, time.Time{}
}

// InProgress returns the expected number of requests in progress when each
// takes about so long. What others told loses its weight within that time, and
// this entry's own requests tell the more the larger its usual share of all is.
func (b *Batch) InProgress(each time.Duration, now time.Time) int {
	l := b.Load(now)
	told, own := l.Waiting+l.Running, b.own.Waiting+b.own.Running
	if len(b.heard) == 0 || b.share <= 0 {
		return told
	}
	stale := 1 - halved(now.Sub(b.toldAt), each)
	weight := stale * b.share / (b.share + toldWeight)
	byOwn := float64(own) / b.share
	return int(float64(told)*(1-weight) + byOwn*weight + 0.5)
}

// learnShare takes in this entry's present share of the requests there.
func (b *Batch) learnShare() {
	own, others := b.own.Waiting+b.own.Running, b.others.Waiting+b.others.Running
	if own+others == 0 {
		return
	}
	if b.share == 0 {
		b.share = 1 / float64(len(b.heard)+1)
	}
	b.share += (float64(own)/float64(own+others) - b.share) * shareStep
	b.share = max(b.share, leastShare/float64(len(b.heard)+1))
}
