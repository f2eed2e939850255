// Package answer keeps whole answers for repeats of the same request: short
// ones in the row of the action or job, long ones in the object store.
package answer

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"peridotchute.example/common/fault"
	"peridotchute.example/common/wire"
	"peridotchute.example/store"
)

// maxRowBytes is the longest answer kept in a row of the table.
const maxRowBytes = 64 << 10

const keyPrefix = "answers/"

// Stored is an answer as a row holds it: whole, by the key of its object, or
// neither when it was not kept.
type Stored struct {
	Answer *wire.Answer
	Object string
}

// Store keeps long answers.
type Store struct {
	objects store.Objects
}

// NewStore returns a store over the object store.
func NewStore(objects store.Objects) *Store { return &Store{objects: objects} }

// Keep returns what the row is to hold. name identifies the answer among all
// others; keeping the same one twice is harmless.
func (s *Store) Keep(ctx context.Context, name string, a *wire.Answer) (Stored, error) {
	if a == nil || a.Size() <= maxRowBytes {
		return Stored{Answer: a}, nil
	}
	value, err := json.Marshal(a)
	if err != nil {
		return Stored{}, fault.New(fault.KindInternal, "answer.keep", "", err)
	}
	sum := sha256.Sum256([]byte(name))
	key := keyPrefix + hex.EncodeToString(sum[:])
	if err := s.objects.Put(ctx, key, value); err != nil {
		return Stored{}, err
	}
	return Stored{Object: key}, nil
}

// Load returns the answer that a row holds, nil when none was kept. The error
// has KindUnavailable when the object store cannot be read.
func (s *Store) Load(ctx context.Context, stored Stored) (*wire.Answer, error) {
	if stored.Object == "" {
		return stored.Answer, nil
	}
	value, err := s.objects.Get(ctx, stored.Object)
	if fault.Is(err, fault.KindNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var a wire.Answer
	if err := json.Unmarshal(value, &a); err != nil {
		return nil, fault.New(fault.KindInternal, "answer.load", "", err)
	}
	return &a, nil
}
