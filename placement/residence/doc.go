// Package residence decides which model server loads which models and adapters
// when servers are called directly and one process, the lease holder, issues
// all load and unload orders. It contains the placement state known to that
// process (Book, State), the choice of a server for an adapter, and the
// planning of model replicas. Times are readings of a monotonic clock passed in
// by the caller; the package does no I/O, waiting or logging.
//
// Each order carries the number of orders that its server has accepted so far,
// and a server rejects an order with any other number. Of two orders based on
// the same state at most one therefore takes effect, even if one was lost and
// arrives late.
package residence

// Key names a model or, unless Adapter is empty, an adapter of it.
type Key struct {
	Model   string
	Adapter string
}
