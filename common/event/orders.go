package event

import "github.com/sirupsen/logrus"

// Events 430 to 439: orders to model servers that are called directly.
var (
	OrdersLeaseTaken   = define(430, "orders lease taken", logrus.InfoLevel, "This entry now issues all orders to model servers, under the fencing token given as count. peer names the previous lease holder.")
	OrdersLeaseEnded   = define(431, "orders lease ended", logrus.InfoLevel, "This entry no longer issues orders: the lease was released, was not renewed in time, was yielded to an entry with more processor, or has another holder.")
	OrdersLeaseError   = define(432, "orders lease unreadable", logrus.WarnLevel, "The orders lease could not be read or written. The lease holder stops issuing orders if this lasts; check the platform's store.")
	OrderIssued        = define(433, "order given", logrus.InfoLevel, "A model server accepted an order to load or unload a model or adapter. count is the number of orders that it had accepted before.")
	OrderDeclined      = define(434, "order declined", logrus.InfoLevel, "A model server declined an order because another is in progress or was accepted first. The server is asked for its loaded models before a new order is decided.")
	OrderNoAnswer      = define(435, "order without answer", logrus.WarnLevel, "No response to an order arrived, so it may still be carried out. The server is asked for its loaded models before its next order.")
	ReportFailed       = define(436, "report failed", logrus.WarnLevel, "A model server did not report its loaded models. It gets no orders until it does.")
	OrderFinished      = define(437, "model order finished", logrus.InfoLevel, "A model server has finished loading or unloading a model.")
	DemandNotDelivered = define(438, "demand not told", logrus.InfoLevel, "The demand at this entry was not delivered to the lease holder; it is sent again with the next demand.")
)

// Event 440: libraries.
var (
	LibraryMessage = define(440, "library message", logrus.InfoLevel, "A library wrote to the standard log, for example that a backend server sent more than one response on a connection.")
)
