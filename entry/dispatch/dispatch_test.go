package dispatch

import (
	"errors"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"peridotchute.example/common/fault"
	"peridotchute.example/common/wire"
)

func TestOnlyFailuresOfTheServerSpeakAgainstIt(t *testing.T) {
	refusal := wire.NewFailure(http.StatusServiceUnavailable, wire.OutcomeNotRun, "draining", "leaving")
	assert.Assert(t, serverFault(fault.New(fault.KindUnknown, "s", "p", errors.New("reset"))))
	assert.Assert(t, !serverFault(nil))
	assert.Assert(t, !serverFault(fault.New(fault.KindCanceled, "s", "p", errors.New("caller has gone"))))
	assert.Assert(t, !serverFault(fault.New(fault.KindUnavailable, "s", "p", refusal)))
}
