package event

import "github.com/sirupsen/logrus"

// Events 450 to 499: admission.
var (
	RequestRejected = define(450, "request rejected", logrus.DebugLevel, "A request was not let in; reason says which limit it met. The counter admission.rejected counts them. Look at the team's limits, or add backend servers.")
)
