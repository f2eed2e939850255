package direct

import (
	"context"
	"sync"
	"time"

	"peridotchute.example/common/clock"
	"peridotchute.example/entry/direct/mesh"
	"peridotchute.example/entry/direct/orders"
)

// changesInterval is the least time between two broadcasts of changes: the lease holder
// has hundreds of them a second and sends each broadcast to every entry.
const changesInterval = 40 * time.Millisecond

// changeMessage announces what a server has loaded after an order.
type changeMessage struct {
	Server string              `json:"server"` // ID
	Change orders.ServerUpdate `json:"change"`
}

// changeQueue collects changes of servers' loaded models until the next broadcast. It
// keeps the newest change of each server.
type changeQueue struct {
	mu      sync.Mutex
	pending map[string]orders.ServerUpdate // by server ID
	added   chan struct{}                  // has one element when pending is not empty
}

func newChangeQueue() *changeQueue {
	return &changeQueue{pending: map[string]orders.ServerUpdate{}, added: make(chan struct{}, 1)}
}

func (q *changeQueue) add(server string, change orders.ServerUpdate) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.pending[server] = change
	select {
	case q.added <- struct{}{}:
	default:
	}
}

// take removes and returns all pending changes.
func (q *changeQueue) take() []changeMessage {
	q.mu.Lock()
	defer q.mu.Unlock()
	out := make([]changeMessage, 0, len(q.pending))
	for server, change := range q.pending {
		out = append(out, changeMessage{Server: server, Change: change})
	}
	clear(q.pending)
	return out
}

// publishChange passes a server's state after an order to the balancer and has it
// broadcast to the other entries.
func (c *coordination) publishChange(server string, change orders.ServerUpdate) {
	c.balancer.ApplyChange(server, change)
	c.changes.add(server, change)
}

// broadcastChanges broadcasts pending changes until ctx ends.
func (c *coordination) broadcastChanges(ctx context.Context) {
	for {
		select {
		case <-c.changes.added:
		case <-ctx.Done():
			return
		}
		c.mesh.Broadcast(methodChanges, c.changes.take())
		if clock.Sleep(ctx, changesInterval) != nil {
			return
		}
	}
}

// handleChanges registers the messages about servers' loaded models from the lease holder.
func (c *coordination) handleChanges() {
	mesh.HandleBroadcast(c.mesh, methodChanges, func(_ string, changes []changeMessage) {
		for _, n := range changes {
			c.balancer.ApplyChange(n.Server, n.Change)
		}
	})
	mesh.HandleBroadcast(c.mesh, methodChange, func(_ string, n changeMessage) {
		c.balancer.ApplyChange(n.Server, n.Change)
	})
}
