package dispatch

import (
	"context"
	"errors"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"peridotchute.example/common/fault"
	"peridotchute.example/common/wire"
)

func TestOnlyServerFaultsCountAgainstTheServer(t *testing.T) {
	ctx := context.Background()
	refusal := wire.NewFailure(http.StatusServiceUnavailable, wire.OutcomeNotRun, "draining", "leaving")
	assert.Assert(t, isServerFault(ctx, fault.New(fault.KindUnknown, "s", "p", errors.New("reset"))))
	assert.Assert(t, !isServerFault(ctx, nil))
	canceledCtx, cancel := context.WithCancel(ctx)
	cancel()
	assert.Assert(t, !isServerFault(canceledCtx, fault.New(fault.KindUnknown, "s", "p", context.Canceled)))
	assert.Assert(t, !isServerFault(ctx, fault.New(fault.KindCanceled, "s", "p", errors.New("caller disconnected"))))
	assert.Assert(t, !isServerFault(ctx, fault.New(fault.KindUnavailable, "s", "p", refusal)))
}
