package front

import (
	"context"
	"net/http"
	"sync"

	"peridotchute.example/common/decisionlog"
	"peridotchute.example/fleet"
)

// identify returns the client account of a request, and has the request name it in place of the
// credentials. On public routes an unknown key counts as none.
func identify(r *fleet.Request, route *fleet.Route, accounts *fleet.Accounts) (*fleet.Account, *refusal) {
	if accounts == nil {
		return nil, nil
	}
	r.Caller = ""
	account := accounts.ByKey(r.Key)
	if account == nil && !route.Public {
		return nil, &refusal{status: http.StatusUnauthorized, reason: decisionlog.RefusedKeyUnknown}
	}
	if account != nil {
		r.Caller = account.Name
	}
	return account, nil
}

// priority returns the priority of the request, which its account may set.
func (q *request) priority() int { return q.account.PriorityOn(q.route) }

// accountName returns the name of the request's account, or "".
func (q *request) accountName() string {
	if q.account == nil {
		return ""
	}
	return q.account.Name
}

// charge is what a request took from the quota of its account. It is handed back unless a server
// may have run the request.
type charge struct {
	quotas  Quotas
	account string
	cost    float64

	mu       sync.Mutex
	sendings int // to servers, so far
	notRun   int // of these: by servers that did not run the request
}

// takeQuota charges the account's quota with the request, or returns a refusal.
func (f *Front) takeQuota(ctx context.Context, req *request) *refusal {
	if req.account == nil || !req.account.Quota.Limited() {
		return nil
	}
	c := &charge{quotas: f.opts.Quotas, account: req.account.Name, cost: req.account.Quota.Cost(&req.Request)}
	d := c.quotas.Take(ctx, c.account, c.cost)
	switch {
	case d.Allowed:
		req.charge = c
		return nil
	case d.Unreachable:
		return &refusal{status: http.StatusServiceUnavailable, retryAfter: d.RetryAfter, reason: decisionlog.RefusedQuotaUnknown}
	}
	return &refusal{status: http.StatusTooManyRequests, retryAfter: d.RetryAfter, reason: decisionlog.RefusedQuota}
}

// sending records that the request is about to be sent to a server.
func (c *charge) sending() {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sendings++
}

// didNotRun records that a server to which the request was sent did not run it and never will.
func (c *charge) didNotRun() {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.notRun++
}

// settle hands the charge back if no server can have run the request, at the end of it.
func (c *charge) settle() {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sendings == c.notRun {
		c.quotas.Return(c.account, c.cost)
	}
}
