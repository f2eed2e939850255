package event

import "github.com/sirupsen/logrus"

// Events 450 to 499: admission.
var (
	RequestRejected = define(450, "request rejected", logrus.DebugLevel, "A request was not admitted; reason names the limit that it exceeded. The counter admission.rejected counts these. Check the team's limits, or add backend servers.")
)
