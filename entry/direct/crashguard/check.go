package crashguard

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"peridotchute.example/admission/quarantine"
	"peridotchute.example/common/clock"
	"peridotchute.example/fleet"
)

const (
	maxLosses = 1024 // lost requests that wait for a check; further ones are not reported
	maxChecks = 64   // servers checked at a time; requests lost at others are not reported

	dialTimeout = 400 * time.Millisecond
	gatherTime  = 20 * time.Millisecond // after the check, for requests whose loss is noticed late
)

// dialDelays are the pauses before each dial of a server that may have crashed: it may
// close its connections before its port.
var dialDelays = []time.Duration{0, 50 * time.Millisecond, 150 * time.Millisecond}

// lostAttempt is a request whose connection broke after it was sent.
type lostAttempt struct {
	server *fleet.Server
	at     time.Time
	lost   quarantine.Lost
}

// pending is a server that is being checked.
type pending struct {
	server  *fleet.Server
	at      time.Time // of the first loss
	lost    []quarantine.Lost
	crashed bool // result of the check
}

// checker checks whether servers that lost requests have crashed.
type checker struct {
	losses  chan lostAttempt
	done    chan *pending       // checks that have ended
	pending map[string]*pending // by incarnation; used by run only
	crashed func(*pending)      // called for each server that has crashed
	missed  atomic.Int64        // lost requests whose server was not checked
}

func newChecker(crashed func(*pending)) *checker {
	return &checker{
		losses:  make(chan lostAttempt, maxLosses),
		done:    make(chan *pending),
		pending: map[string]*pending{},
		crashed: crashed,
	}
}

// offer passes a loss to run without blocking.
func (c *checker) offer(l lostAttempt) {
	select {
	case c.losses <- l:
	default:
		c.missed.Add(1)
	}
}

// run checks servers until ctx is done.
func (c *checker) run(ctx context.Context) {
	for {
		select {
		case l := <-c.losses:
			c.add(ctx, l)
		case p := <-c.done:
			delete(c.pending, incarnation(p.server))
			if p.crashed {
				c.crashed(p)
			}
		case <-ctx.Done():
			return
		}
	}
}

// add adds a loss to the check of its server, which it starts if there is none.
func (c *checker) add(ctx context.Context, l lostAttempt) {
	key := incarnation(l.server)
	p := c.pending[key]
	if p == nil {
		if len(c.pending) >= maxChecks {
			c.missed.Add(1)
			return
		}
		p = &pending{server: l.server, at: l.at}
		c.pending[key] = p
		go c.check(ctx, p)
	}
	p.lost = append(p.lost, l.lost)
}

// check determines whether a server has crashed and passes p back to run.
func (c *checker) check(ctx context.Context, p *pending) {
	p.crashed = refuses(ctx, p.server.Address)
	_ = clock.Sleep(ctx, gatherTime) // if ctx is done, nobody receives p
	select {
	case c.done <- p:
	case <-ctx.Done():
	}
}

// incarnation identifies the process of a server. Without the time of its start, a process
// that starts under the ID of one that crashed is not told from it.
func incarnation(s *fleet.Server) string { return fmt.Sprintf("%s@%d", s.ID, s.Born) }

// refuses reports whether the address refuses connections. A server that does not
// answer, or accepts one, has not crashed as far as this entry can tell.
func refuses(ctx context.Context, address string) bool {
	dialer := net.Dialer{Timeout: dialTimeout}
	for _, delay := range dialDelays {
		if clock.Sleep(ctx, delay) != nil {
			return false
		}
		c, err := dialer.DialContext(ctx, "tcp", address)
		if err == nil {
			_ = c.Close()
			continue
		}
		if errors.Is(err, syscall.ECONNREFUSED) {
			return true
		}
	}
	return false
}
