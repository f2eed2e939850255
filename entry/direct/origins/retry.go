package origins

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/sirupsen/logrus"

	"peridotchute.example/common/clock"
	"peridotchute.example/common/event"
)

const (
	rowTimeout  = time.Second // of one call to the store
	minRowRetry = 250 * time.Millisecond
	maxRowRetry = 2 * time.Second
)

// retrier paces calls to the store that are repeated until they succeed, and logs the first
// of consecutive failures.
type retrier struct {
	log     logrus.FieldLogger
	failed  event.Event
	pause   *backoff.ExponentialBackOff
	failing bool
}

func newRetrier(log logrus.FieldLogger, failed event.Event) *retrier {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = minRowRetry, maxRowRetry
	return &retrier{log: log, failed: failed, pause: b}
}

// wait takes the result of a call. After a failure it waits until the call may be repeated,
// and returns true.
func (r *retrier) wait(ctx context.Context, err error) (repeat bool) {
	if err == nil {
		r.pause.Reset()
		r.failing = false
		return false
	}
	if !r.failing && ctx.Err() == nil {
		event.Log(r.log, r.failed, event.Err(err))
	}
	r.failing = true
	_ = clock.Sleep(ctx, r.pause.NextBackOff())
	return true
}
