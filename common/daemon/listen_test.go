package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"go.uber.org/fx"
	"gotest.tools/v3/assert"
)

// TestShutdownAnswersUnfinishedRequest stops a process while a request does not end. Its
// handler must be able to answer before the connection is closed.
func TestShutdownAnswersUnfinishedRequest(t *testing.T) {
	began := make(chan struct{})
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		close(began)
		<-r.Context().Done()
		if errors.Is(context.Cause(r.Context()), ErrStopping) {
			w.WriteHeader(http.StatusGatewayTimeout)
		}
	})
	free, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := free.Addr().String()
	assert.NilError(t, free.Close())
	app := fx.New(fx.NopLogger, fx.Invoke(func(lc fx.Lifecycle) {
		Serve(lc, logrus.New(), Listener{Name: "test", Address: address, Handler: handler, Drain: time.Second})
	}))
	assert.NilError(t, app.Start(t.Context()))
	type result struct {
		status int
		err    error
	}
	answered := make(chan result, 1)
	go func() {
		resp, err := http.Get("http://" + address)
		if err != nil {
			answered <- result{err: err}
			return
		}
		_ = resp.Body.Close()
		answered <- result{status: resp.StatusCode}
	}()
	<-began
	assert.NilError(t, app.Stop(t.Context()))
	got := <-answered
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusGatewayTimeout)
}
