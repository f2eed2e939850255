package crashguard

import (
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"

	"peridotchute.example/admission/quarantine"
	"peridotchute.example/common/clock"
	"peridotchute.example/common/decisionlog"
	"peridotchute.example/fleet"
)

const (
	maxLosses = 1024 // lost requests that wait for RunChecks; further ones are not reported
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

// Lost records that the connection to a server broke after a request was sent there, and
// before its answer was complete. It does not block.
func (g *Guard) Lost(s *fleet.Server, lost quarantine.Lost) {
	if len(lost.Parts) == 0 {
		return
	}
	select {
	case g.losses <- lostAttempt{server: s, at: time.Now(), lost: lost}:
	default:
	}
}

// incarnation identifies the process of a server. Without the time of its start, a process
// that starts under the ID of one that crashed is not told from it.
func incarnation(s *fleet.Server) string { return fmt.Sprintf("%s@%d", s.ID, s.Born) }

// RunChecks checks whether servers that lost requests have crashed, until ctx is done.
func (g *Guard) RunChecks(ctx context.Context) {
	for {
		select {
		case l := <-g.losses:
			g.addLoss(ctx, l)
		case p := <-g.done:
			delete(g.checks, incarnation(p.server))
			if p.crashed {
				g.report(p)
			}
		case <-ctx.Done():
			return
		}
	}
}

func (g *Guard) addLoss(ctx context.Context, l lostAttempt) {
	key := incarnation(l.server)
	p := g.checks[key]
	if p == nil {
		if len(g.checks) >= maxChecks {
			return
		}
		p = &pending{server: l.server, at: l.at}
		g.checks[key] = p
		go g.checkServer(ctx, p)
	}
	p.lost = append(p.lost, l.lost)
}

// checkServer determines whether a server has crashed and passes p to RunChecks.
func (g *Guard) checkServer(ctx context.Context, p *pending) {
	p.crashed = refuses(ctx, p.server.Address)
	_ = clock.Sleep(ctx, gatherTime) // if ctx is done, nobody receives p
	select {
	case g.done <- p:
	case <-ctx.Done():
	}
}

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

// report records a crash and tells the other entries.
func (g *Guard) report(p *pending) {
	g.opts.Log.Write(decisionlog.ServerCrashed{Server: p.server.ID, Service: p.server.Service, Address: p.server.Address, Lost: len(p.lost)})
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.addCrash(incarnation(p.server), p.at, p.lost, now)
	g.opts.Peers.BroadcastCrash(reportOf(incarnation(p.server), p.at, p.lost, now))
}
