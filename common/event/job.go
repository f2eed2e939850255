package event

import "github.com/sirupsen/logrus"

// Events 350 to 369: late work.
var (
	JobAccepted  = define(350, "job accepted", logrus.DebugLevel, "Late work was written to the table and will be run.")
	JobTaken     = define(351, "job taken over", logrus.InfoLevel, "The entry that held a job's lease let it lapse; this entry runs the job again.")
	JobRetried   = define(352, "job tried again", logrus.InfoLevel, "One try of a job failed; it is tried again later.")
	JobUnwritten = define(353, "job state not written", logrus.WarnLevel, "The table did not take a job's state. The job is looked at again at the next scan.")
	JobScan      = define(354, "reading jobs failed", logrus.WarnLevel, "The table could not be read for jobs. It is read again at the next turn.")
)
