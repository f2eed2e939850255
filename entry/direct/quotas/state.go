package quotas

import "math"

// State is the quotas' part of the state dump.
type State struct {
	Pool     string         `json:"pool"` // name of the entry that this one would ask now; empty if none is in reach
	Entries  int            `json:"entries"`
	Accounts []AccountState `json:"accounts"`
	Counters
}

// AccountState is what this entry holds of an account's quota, in its unit.
type AccountState struct {
	Name      string  `json:"name"`
	PerSecond float64 `json:"per_second"`
	Burst     float64 `json:"burst"`
	Reserve   float64 `json:"reserve"`        // this entry's own tokens
	Pool      float64 `json:"pool,omitempty"` // tokens that entries have paid to this one
	Waiting   int     `json:"waiting,omitempty"`
}

// maxDumped bounds the accounts in a dump.
const maxDumped = 1000

// State returns the current state.
func (k *Keeper) State() State {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := State{Entries: k.entries, Pool: k.choosePool(k.opts.Clock()), Counters: k.counters}
	for name, a := range k.accounts {
		if len(s.Accounts) == maxDumped {
			break
		}
		s.Accounts = append(s.Accounts, AccountState{
			Name:      name,
			PerSecond: a.limit.PerSecond,
			Burst:     a.limit.Burst,
			Reserve:   math.Floor(a.part.Reserve()),
			Pool:      math.Floor(a.pool.Level()),
			Waiting:   len(a.waiting),
		})
	}
	return s
}
