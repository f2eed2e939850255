package event

import "github.com/sirupsen/logrus"

// Events 400 to 499: memory, routing, limits and placement.
var (
	ArtifactLoaded    = define(400, "artifact loaded", logrus.InfoLevel, "An engine holds one more artifact.")
	ArtifactUnloaded  = define(401, "artifact unloaded", logrus.InfoLevel, "An engine has let an artifact go, by order or to make room.")
	OrderFailed       = define(402, "engine order failed", logrus.WarnLevel, "The engine refused an order or could not be reached. The order had no effect; it is given again when needed.")
	OrderLost         = define(403, "engine order lost", logrus.WarnLevel, "No answer to an order came, so it counts as done and as not done until it has settled. Look at the engine when this repeats.")
	OrderRefused      = define(404, "plan order refused", logrus.InfoLevel, "A plan holder's order was too old, has expired, or would have taken memory that is in use.")
	InventoryFailed   = define(405, "inventory failed", logrus.WarnLevel, "The engine did not tell what it holds. Nothing is loaded before it has.")
	LeaseTaken        = define(410, "cell lease taken", logrus.InfoLevel, "This entry now plans the placement of a cell, under the term given as count.")
	LeaseFailed       = define(411, "cell lease not renewed", logrus.WarnLevel, "The table service did not answer. Without a lease nothing is moved; artifacts are still loaded on demand.")
	PlanOrderGiven    = define(412, "plan order given", logrus.InfoLevel, "A side process took an order to load or unload an artifact.")
	PlanOrderFailed   = define(413, "plan order not taken", logrus.WarnLevel, "A side process refused an order or did not answer. The next plan takes it into account.")
	MemoryOver        = define(406, "memory over capacity", logrus.ErrorLevel, "The engine's inventory shows more than memory_bytes. Check the setting, and whether something else gives orders to the engine.")
	PermitsUnreadable = define(420, "load permits unreadable", logrus.WarnLevel, "The table service did not answer, so the side process loads after a random delay in place of a permit. Look at the platform when it lasts.")
)
