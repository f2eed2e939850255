// Package quotas keeps the quotas of client accounts over all entries. The decisions are made by
// package admission/quota; this package holds an entry's tokens, asks the pool for more, and is
// the pool if this entry was chosen.
//
// Nothing of it is stored: a restarted entry begins with empty parts, which is never more than
// what it had.
package quotas

import (
	"context"
	"sync"
	"time"

	"peridotchute.example/admission/quota"
	"peridotchute.example/fleet"
)

const (
	// minInterval is the least time between two payments of an entry.
	minInterval = 200 * time.Millisecond

	// maxExchanges bounds the payments that the pool gets from all entries, per second. At fewer,
	// hundreds of entries would have more of an account's quota on its way than the pool may hold.
	maxExchanges = 1500

	// exchangeTimeout bounds one call of the pool: many times a round trip between regions.
	exchangeTimeout = 300 * time.Millisecond

	// maxCalls is how many calls of this entry to the pool may be under way.
	maxCalls = 4

	// maxAsked bounds the requests of one account in a message.
	maxAsked = 200

	// unreachableRetryAfter is the Retry-After of a request that no pool has answered: another
	// entry may reach it.
	unreachableRetryAfter = 300 * time.Millisecond
)

// Decision is the answer to a request of an account.
type Decision struct {
	Allowed     bool
	Unreachable bool          // no pool has answered, so that it is not known whether the quota is used up
	RetryAfter  time.Duration // when the request may be allowed; 0 means never
}

// Options configures a Keeper.
type Options struct {
	Self   string // name of this entry
	Bounds quota.Bounds
	Peers  Peers
	Clock  func() time.Duration // runs while the machine is suspended
}

// Keeper keeps the quotas at one entry. It is safe for concurrent use.
type Keeper struct {
	opts Options
	wake chan struct{}
	call chan struct{} // has one element for each call under way

	mu       sync.Mutex
	accounts map[string]*account      // those with a limit, by name
	users    quota.Contacts           // of the pool at this entry
	avoided  map[string]time.Duration // by entry: until when it is not the pool
	entries  int                      // of the deployment, as of the last refresh
	lastPaid time.Duration
	counters Counters
}

// account is what this entry knows of a limited account.
type account struct {
	limit   quota.Limit
	share   quota.Share // as of the last refresh
	part    quota.Part
	pool    quota.Pool // used while this entry is the pool
	waiting []*asked
}

// asked is a request that waits for the pool's answer.
type asked struct {
	cost    float64
	decided chan Decision // has room for one
}

// Counters count decisions since the start.
type Counters struct {
	Local       int64   `json:"paid_by_own_part"`
	Pool        int64   `json:"paid_by_pool"`
	Refused     int64   `json:"refused"`
	HandedBack  float64 `json:"handed_back"` // cost of requests that did not run
	Unreachable int64   `json:"without_answer"`
	Calls       int64   `json:"calls"`
	FailedCalls int64   `json:"failed_calls"`
}

// New returns a Keeper without quotas.
func New(opts Options) *Keeper {
	return &Keeper{
		opts:     opts,
		wake:     make(chan struct{}, 1),
		call:     make(chan struct{}, maxCalls),
		accounts: map[string]*account{},
		avoided:  map[string]time.Duration{},
	}
}

// Update applies the accounts of a view.
func (k *Keeper) Update(v *fleet.View) {
	if v.Config == nil {
		return
	}
	limits := map[string]quota.Limit{}
	list := v.Config.Accounts.All()
	for i := range list {
		if q := list[i].Quota; q.Limited() {
			limits[list[i].Name] = quota.Limit{PerSecond: q.PerSecond, Burst: q.Burst}
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for name, a := range k.accounts {
		if _, limited := limits[name]; !limited {
			a.release()
			delete(k.accounts, name)
		}
	}
	for name, limit := range limits {
		if k.accounts[name] == nil {
			k.accounts[name] = &account{}
		}
		k.accounts[name].limit = limit
	}
	k.refresh()
	k.signal()
}

// release allows the requests that wait, since the account has no limit any more.
func (a *account) release() {
	for _, w := range a.waiting {
		w.decided <- Decision{Allowed: true}
	}
	a.waiting = nil
}

// refresh divides the quotas among the entries that are known now. The caller holds mu.
func (k *Keeper) refresh() {
	k.entries = k.opts.Peers.Entries()
	for _, a := range k.accounts {
		a.share = quota.Divide(a.limit, k.opts.Bounds, k.entries, interval(k.entries))
	}
}

// interval returns the time between two payments of an entry.
func interval(entries int) time.Duration {
	return max(minInterval, time.Duration(entries)*time.Second/maxExchanges)
}

// Take decides on a request of an account, whose cost is in the unit of its quota. It waits for
// the pool if this entry's own tokens do not suffice, until ctx ends.
func (k *Keeper) Take(ctx context.Context, name string, cost float64) Decision {
	waiting, d := k.take(name, cost)
	if waiting == nil {
		return d
	}
	select {
	case d := <-waiting.decided:
		return d
	case <-ctx.Done():
		k.abandon(name, waiting)
		return Decision{Unreachable: true}
	}
}

// take decides at once, or returns a request that waits for the pool.
func (k *Keeper) take(name string, cost float64) (*asked, Decision) {
	k.mu.Lock()
	defer k.mu.Unlock()
	a := k.accounts[name]
	if a == nil {
		return nil, Decision{Allowed: true}
	}
	a.part.Earn(a.share, k.opts.Clock())
	if a.part.Take(cost) {
		k.counters.Local++
		return nil, Decision{Allowed: true}
	}
	w := &asked{cost: cost, decided: make(chan Decision, 1)}
	a.waiting = append(a.waiting, w)
	k.signal()
	return w, Decision{}
}

// abandon removes a request whose caller does not wait any more. If the pool has allowed it
// meanwhile, its cost is handed back.
func (k *Keeper) abandon(name string, w *asked) {
	k.mu.Lock()
	defer k.mu.Unlock()
	a := k.accounts[name]
	if a == nil {
		return
	}
	for i, other := range a.waiting {
		if other == w {
			a.waiting = append(a.waiting[:i], a.waiting[i+1:]...)
			return
		}
	}
	select {
	case d := <-w.decided:
		if d.Allowed {
			a.part.Return(w.cost)
		}
	default: // its call is under way: what the pool allows is lost
	}
}

// Return hands back the cost of a request that was allowed and did not run.
func (k *Keeper) Return(name string, cost float64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if a := k.accounts[name]; a != nil {
		a.part.Return(cost)
		k.counters.HandedBack += cost
	}
}

// signal wakes Run.
func (k *Keeper) signal() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}
