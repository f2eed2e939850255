package rpc

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"

	"peridotchute.example/common/clock"
)

const (
	minRedialDelay = 50 * time.Millisecond
	maxRedialDelay = 2 * time.Second
)

// KeepConnected maintains one connection until ctx ends and redials with jittered backoff.
// It calls address before each attempt and use with each connection, which it closes
// when use returns.
func KeepConnected(ctx context.Context, address func() string, local Local, handlers *Handlers, use func(context.Context, *Peer)) {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = minRedialDelay
	wait.MaxInterval = maxRedialDelay
	for ctx.Err() == nil {
		peer, err := Dial(ctx, address(), local, handlers)
		if err == nil {
			wait.Reset()
			use(ctx, peer)
			_ = peer.Close()
		}
		_ = clock.Sleep(ctx, wait.NextBackOff())
	}
}
