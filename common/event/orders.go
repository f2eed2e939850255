package event

import "github.com/sirupsen/logrus"

// Events 430 to 439: orders to model servers that are called directly.
var (
	OrdersTaken      = define(430, "orders lease taken", logrus.InfoLevel, "This entry now gives all orders to model servers, under the term given as count. The entry named by peer did before.")
	OrdersLeaseEnded = define(431, "orders lease ended", logrus.InfoLevel, "This entry gives no more orders: the lease was released, was not renewed in time, or has another holder.")
	OrdersLeaseError = define(432, "orders lease unreadable", logrus.WarnLevel, "The lease of the orders could not be read or written. The holder stops giving orders when this lasts; look at the platform's store.")
	OrderGiven       = define(433, "order given", logrus.InfoLevel, "A model server took an order to load or unload a model or adapter. Count is the number of orders that it had accepted before.")
	OrderDeclined    = define(434, "order declined", logrus.InfoLevel, "A model server did not take an order, since another is in progress or was accepted before. It is asked what it holds, and the order is decided on anew.")
	OrderNoAnswer    = define(435, "order without answer", logrus.WarnLevel, "No answer came to an order, so it may still be carried out. The server is asked what it holds before its next order.")
	ReportFailed     = define(436, "report failed", logrus.WarnLevel, "A model server did not tell what it holds. It gets no orders until it has.")
	WorkFinished     = define(437, "model order finished", logrus.InfoLevel, "A model server has finished loading or unloading a model.")
	DemandNotTold    = define(438, "demand not told", logrus.InfoLevel, "The entry that gives the orders did not hear what was asked for here; it is told again with the next demand.")
)

// Event 440: libraries.
var (
	LibraryMessage = define(440, "library message", logrus.InfoLevel, "A library reported something to the standard log, for instance that a backend server sent more than one answer on a connection.")
)
