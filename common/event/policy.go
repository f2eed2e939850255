package event

import "github.com/sirupsen/logrus"

// Events 400 to 429: engine memory and placement.
var (
	ArtifactLoaded    = define(400, "artifact loaded", logrus.InfoLevel, "An engine has loaded an artifact.")
	ArtifactUnloaded  = define(401, "artifact unloaded", logrus.InfoLevel, "An engine has unloaded an artifact, by order or to free memory.")
	OrderFailed       = define(402, "engine order failed", logrus.WarnLevel, "The engine rejected an order or could not be reached. The order had no effect; it is issued again when needed.")
	OrderLost         = define(403, "engine order lost", logrus.WarnLevel, "No response to an order arrived. Until the order has settled, memory is counted for both possible outcomes. Check the engine if this repeats.")
	OrderRefused      = define(404, "plan order refused", logrus.InfoLevel, "An order from the lease holder was too old, had expired, or would have taken memory that is in use.")
	InventoryFailed   = define(405, "inventory failed", logrus.WarnLevel, "The engine did not report what it has loaded. Nothing is loaded until it does.")
	LeaseTaken        = define(410, "cell lease taken", logrus.InfoLevel, "This entry now plans the placement of a shard, under the fencing token given as count.")
	LeaseFailed       = define(411, "cell lease not renewed", logrus.WarnLevel, "The table service did not answer. Without a lease nothing is moved; artifacts are still loaded on demand.")
	PlanOrderIssued   = define(412, "plan order given", logrus.InfoLevel, "A side process accepted an order to load or unload an artifact.")
	PlanOrderFailed   = define(413, "plan order not taken", logrus.WarnLevel, "A side process rejected an order or did not answer. The next plan takes this into account.")
	MemoryOver        = define(406, "memory over capacity", logrus.ErrorLevel, "The engine's inventory exceeds memory_bytes. Check the setting, and whether something else sends orders to the engine.")
	PermitsUnreadable = define(420, "load permits unreadable", logrus.WarnLevel, "The table service did not answer, so the side process loads after a random delay instead of waiting for a permit. Check the platform if this lasts.")
)
