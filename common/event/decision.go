package event

import "github.com/sirupsen/logrus"

// Events 600 to 639: requests that are sent to backend servers directly.
var (
	RequestRouted   = define(600, "request routed", logrus.InfoLevel, "The route, service and model of a request, the IDs of its prompt's parts, and the configuration version that decided them. Written only if the request had a problem before its end, for example if an attempt failed.")
	ServerChosen    = define(602, "server chosen", logrus.InfoLevel, "The backend server that a request was sent to, with the expected time to first token, the backlog and the age of the view used for the choice. kept means that the server has no readable registration; see line 672. stopping_ms is the time since this process began to stop.")
	RequestRetried  = define(603, "request retried", logrus.InfoLevel, "A failed attempt is retried; if a stream is resumed, resume_after is the last event that the caller has.")
	RetryWithheld   = define(604, "retry withheld", logrus.WarnLevel, "A failed attempt was not retried; reason says why.")
	RequestRefused  = define(605, "request refused", logrus.WarnLevel, "The entry answered without running the request. reason says why, retry_after_ms when the caller may retry.")
	RequestServed   = define(606, "request served", logrus.InfoLevel, "A complete response within the route's objective, with the inputs that decided where it ran.")
	RequestLate     = define(607, "request served late", logrus.WarnLevel, "A complete response after the route's objective. Compare waited_ms, expected_ms and first_byte_ms to find the cause: the wait, a wrong estimate or the server.")
	RequestFailed   = define(608, "request failed", logrus.WarnLevel, "The caller got an error after at least one attempt, or after its deadline. The lines of its attempts say why.")
	CallerLeft      = define(609, "caller left", logrus.InfoLevel, "The caller closed its connection before the response was complete.")
	TraceTruncated  = define(610, "decisions not kept", logrus.WarnLevel, "A request made more decisions than its trace stores; count is the number left out.")
	ServerSilent    = define(611, "server silent", logrus.InfoLevel, "During an attempt of the request its server sent nothing on any connection of this entry for silent_ms. The lines after it say whether the attempt went on or another server took over.")
	HandlerPanicked = define(612, "request handler panicked", logrus.ErrorLevel, "A defect ended the handling of a request, and its connection was closed without an answer. reason has the panic and its stack.")
	StreamResumed   = define(613, "stream resumed by its client", logrus.InfoLevel, "A client resumes a stream that an earlier request brought, named in resumes.")
	OriginSought    = define(614, "stream's version sought", logrus.InfoLevel, "What the entry found out about the software version that began a stream which a client resumes: known, any (one version is in use), derived (no record exists, so that it follows from the splits) or unknown. source names where the record was; versions are those in use lately, store says whether the store's records were read for it (failed: could not be; kept: those of a read less than a second before), records how many are known from there, splits those of which streams may be in progress, unanswered the entries that did not answer, servers_age_ms the age of the registrations.")
	KeyUnknown      = define(615, "API key unknown", logrus.InfoLevel, "The entry answered 401 without running the request: no client account of the active configuration holds its key. The key itself is not logged.")
	OverQuota       = define(616, "request over quota", logrus.WarnLevel, "The entry refused a request of the client account for its quota: 429 if the quota is used up, 503 if no entry answered that could tell. retry_after_ms says when the request can be allowed; without it, it costs more than the account may use at once.")
	LogLinesLeftOut = define(699, "log lines left out", logrus.WarnLevel, "Counts, by event, of the log lines left out since the previous such line: the event exceeded its rate, or the writer was too slow.")
)
