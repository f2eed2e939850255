package event

import "github.com/sirupsen/logrus"

// Events 350 to 369: asynchronous jobs (Prefer: respond-async).
var (
	JobAccepted        = define(350, "job accepted", logrus.DebugLevel, "A job was written to the table and will be run.")
	JobTaken           = define(351, "job taken over", logrus.InfoLevel, "The lease on a job expired; this entry took the job over and runs it again.")
	JobRetried         = define(352, "job tried again", logrus.InfoLevel, "An attempt of a job failed; the job is retried later.")
	JobStateNotWritten = define(353, "job state not written", logrus.WarnLevel, "A job's state could not be written to the table. The job is checked again at the next scan.")
	JobScanFailed      = define(354, "reading jobs failed", logrus.WarnLevel, "The table could not be read for jobs. The read is retried at the next scan.")
)
