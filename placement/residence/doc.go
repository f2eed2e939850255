// Package residence decides which model server loads which model and adapter
// where servers are called directly and one process gives all orders. It holds
// what that process knows of the servers (Book, State), the choice of a server
// for an adapter, and the replicas of the models. Times are readings of one
// steady clock that are passed in; nothing here calls, waits or logs.
//
// An order carries the number of orders that its server has accepted so far,
// and a server refuses an order with another number. So of two orders that were
// based on the same state at most one takes effect, also when one of them was
// lost and arrives late.
package residence

// Key names a model or, unless Adapter is empty, an adapter of it.
type Key struct {
	Model   string
	Adapter string
}
