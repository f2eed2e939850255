package fault

import (
	"errors"
	"fmt"
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

func TestOfExchange(t *testing.T) {
	tests := []struct {
		err  error
		want Kind
	}{
		{err: &net.OpError{Op: "dial", Err: errors.New("refused")}, want: KindUnavailable},
		{err: fmt.Errorf("wrapped: %w", &net.OpError{Op: "dial", Err: errors.New("refused")}), want: KindUnavailable},
		{err: &net.OpError{Op: "read", Err: errors.New("reset")}, want: KindUnknown},
		{err: errors.New("timeout"), want: KindUnknown},
	}
	for _, tc := range tests {
		assert.Equal(t, KindOfNetworkError(tc.err), tc.want, "%v", tc.err)
	}
}
