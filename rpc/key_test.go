package rpc

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"
)

func TestKeyRequiredUnlessOpen(t *testing.T) {
	tests := []struct {
		name           string
		server, caller Local
		accepted       bool
	}{
		{name: "no key, not open", accepted: false},
		{name: "open listener only", server: Local{Open: true}, accepted: false},
		{name: "open caller only", caller: Local{Open: true}, accepted: false},
		{name: "both open", server: Local{Open: true}, caller: Local{Open: true}, accepted: true},
		{name: "open listener, caller with a key", server: Local{Open: true}, caller: Local{Key: "k"}, accepted: false},
		{name: "listener with a key, open caller", server: Local{Key: "k"}, caller: Local{Open: true}, accepted: false},
		{name: "a key stays a key", server: Local{Key: "k", Open: true}, caller: Local{Open: true}, accepted: false},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			s := NewServer(tc.server, NewHandlers(), nil)
			assert.NilError(t, s.Start("127.0.0.1:0"))
			defer func() { assert.NilError(t, s.Stop()) }()
			peer, err := Dial(context.Background(), s.Address(), tc.caller, NewHandlers())
			assert.Equal(t, err == nil, tc.accepted, "%v", err)
			if peer != nil {
				assert.NilError(t, peer.Close())
			}
		})
	}
}

func TestHandleInOrder(t *testing.T) {
	const messages = 2000
	got := make(chan int, messages)
	h := NewHandlers()
	HandleInOrder(h, "count", func(_ context.Context, _ *Peer, n int) (struct{}, error) {
		got <- n
		return struct{}{}, nil
	})
	local := Local{Key: "k"}
	s := NewServer(local, h, nil)
	assert.NilError(t, s.Start("127.0.0.1:0"))
	defer func() { assert.NilError(t, s.Stop()) }()
	peer, err := Dial(context.Background(), s.Address(), local, NewHandlers())
	assert.NilError(t, err)
	defer peer.Close()
	for i := range messages {
		assert.NilError(t, Notify(context.Background(), peer, "count", i))
	}
	for i := range messages {
		assert.Equal(t, <-got, i)
	}
}
