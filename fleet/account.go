package fleet

import (
	"crypto/sha256"
	"fmt"
	"math"
)

// KeyDigest is the SHA-256 of an API key. Keys themselves are kept nowhere.
type KeyDigest [sha256.Size]byte

// DigestOf returns the digest of an API key.
func DigestOf(key string) KeyDigest {
	var buffer [maxUsualKey]byte // keeps a key of usual length from being allocated
	return sha256.Sum256(append(buffer[:0], key...))
}

// maxUsualKey is the length in bytes up to which a key is looked up without an allocation.
const maxUsualKey = 128

// Account is a client account: who may send requests, and how many.
type Account struct {
	Name     string
	Keys     []KeyDigest
	Priority int  // of all its requests, in place of the routes'; 0 is the most urgent
	Ranked   bool // Priority is set
	Quota    Quota
}

// PriorityOn returns the priority of the account's requests on a route. The account may be nil.
func (a *Account) PriorityOn(r *Route) int {
	if a != nil && a.Ranked {
		return a.Priority
	}
	return r.Priority
}

// QuotaUnit is what a quota counts.
type QuotaUnit int

// The units of quotas.
const (
	QuotaRequests QuotaUnit = iota
	QuotaTokens             // prompt tokens plus the maximum number of response tokens
)

// Quota limits the requests of an account over all entries together. Its figures are in its
// unit.
type Quota struct {
	Unit        QuotaUnit
	PerSecond   float64 // 0 means no limit
	Burst       float64 // what may be used at once beyond PerSecond
	PlainTokens int     // cost of a request that states no tokens, if Unit is QuotaTokens
}

// Limited reports whether the quota limits anything.
func (q Quota) Limited() bool { return q.PerSecond > 0 }

// Cost returns what a request takes from the quota.
func (q Quota) Cost(r *Request) float64 {
	switch {
	case q.Unit == QuotaRequests:
		return 1
	case r.TokensIn+r.TokensOut == 0:
		return float64(q.PlainTokens)
	}
	return float64(r.TokensIn) + float64(r.TokensOut)
}

// Accounts are the client accounts of a configuration. It does not change after NewAccounts.
type Accounts struct {
	list  []Account
	byKey map[KeyDigest]*Account
}

// NewAccounts returns the accounts of a configuration, or nil if there are none. It returns an
// error if an account has no name or an invalid quota, or if two accounts have the same name or
// key.
func NewAccounts(list []Account) (*Accounts, error) {
	if len(list) == 0 {
		return nil, nil
	}
	out := &Accounts{list: list, byKey: map[KeyDigest]*Account{}}
	names := make(map[string]bool, len(list))
	for i := range list {
		a := &list[i]
		if err := a.check(); err != nil {
			return nil, err
		}
		if names[a.Name] {
			return nil, fmt.Errorf("two accounts are named %q", a.Name)
		}
		names[a.Name] = true
		for _, k := range a.Keys {
			if other := out.byKey[k]; other != nil && other != a {
				return nil, fmt.Errorf("accounts %q and %q have the same key", other.Name, a.Name)
			}
			out.byKey[k] = a
		}
	}
	return out, nil
}

// maxQuota bounds the figures of a quota, with which other ones are computed.
const maxQuota = 1e15

func (a *Account) check() error {
	if a.Name == "" {
		return fmt.Errorf("an account has no name")
	}
	for _, figure := range []float64{a.Quota.PerSecond, a.Quota.Burst, float64(a.Quota.PlainTokens)} {
		if math.IsNaN(figure) || figure < 0 || figure > maxQuota {
			return fmt.Errorf("account %q: the quota has a figure out of range: %g", a.Name, figure)
		}
	}
	return nil
}

// ByKey returns the account that holds a key, or nil if none does.
func (as *Accounts) ByKey(key string) *Account {
	if key == "" {
		return nil
	}
	return as.byKey[DigestOf(key)]
}

// All returns the accounts in the order of the configuration. The caller must not change them.
func (as *Accounts) All() []Account {
	if as == nil {
		return nil
	}
	return as.list
}
