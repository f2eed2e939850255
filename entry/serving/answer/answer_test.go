package answer

import (
	"bytes"
	"context"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"peridotchute.example/common/wire"
	"peridotchute.example/standin/faults"
	"peridotchute.example/standin/objects"
	"peridotchute.example/store"
)

func TestLongAnswersGoToTheObjectStore(t *testing.T) {
	server := objects.New()
	web := httptest.NewServer(server)
	defer web.Close()
	s := NewStore(store.NewObjects(store.ObjectSettings{URL: web.URL, Bucket: "b"}))
	ctx := context.Background()

	short := &wire.Answer{Status: 200, Body: []byte("short")}
	stored, err := s.Keep(ctx, "short", short)
	assert.NilError(t, err)
	assert.Equal(t, stored, Stored{Answer: short})

	long := &wire.Answer{Status: 200, Body: bytes.Repeat([]byte("x"), maxRowBytes+1)}
	stored, err = s.Keep(ctx, "long", long)
	assert.NilError(t, err)
	assert.Assert(t, stored.Answer == nil)
	loaded, err := s.Load(ctx, stored)
	assert.NilError(t, err)
	assert.DeepEqual(t, loaded, long)

	server.Set(faults.Settings{Down: true})
	_, err = s.Load(ctx, stored)
	assert.Assert(t, err != nil, "an unreadable answer must not look like one that was not stored")
	_, err = s.Keep(ctx, "other", long)
	assert.Assert(t, err != nil)
}
