package event

import "github.com/sirupsen/logrus"

// Events 600 to 639: requests that are sent to backend servers directly.
var (
	RequestRouted   = define(600, "request routed", logrus.InfoLevel, "The route, service and model of a request, and the configuration version that decided them. Written when the request met trouble later.")
	ServerChosen    = define(602, "server chosen", logrus.InfoLevel, "The backend server that a request was sent to, with the expected time to first token, the backlog and the age of the view that decided it.")
	RequestRetried  = define(603, "request retried", logrus.InfoLevel, "A failed attempt is followed by another one; resume_after is the last event that the caller has, when a stream goes on.")
	RetryWithheld   = define(604, "retry withheld", logrus.WarnLevel, "A failed attempt was the last one; reason says what forbids another.")
	RequestRefused  = define(605, "request refused", logrus.WarnLevel, "The entry answered without running the request. reason says why, retry_after_ms when the caller may come back.")
	RequestServed   = define(606, "request served", logrus.InfoLevel, "A whole answer within the route's objective, with the inputs that decided where it ran.")
	RequestLate     = define(607, "request served late", logrus.WarnLevel, "A whole answer after the route's objective. Compare waited_ms, expected_ms and first_byte_ms: the wait, a wrong expectation or the server.")
	RequestFailed   = define(608, "request failed", logrus.WarnLevel, "The caller got a failure after at least one attempt, or after its time was over. The lines of its attempts say why.")
	CallerLeft      = define(609, "caller left", logrus.InfoLevel, "The caller closed its connection before the answer was whole.")
	TraceTruncated  = define(610, "decisions not kept", logrus.WarnLevel, "A request made more decisions than are kept for it; count says how many were left out.")
	LogLinesLeftOut = define(699, "log lines left out", logrus.WarnLevel, "Lines left out since the last such line, by event: over the event's rate, or because the writer was behind.")
)
