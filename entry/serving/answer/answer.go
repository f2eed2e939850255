// Package answer stores complete answers for repeats of the same request: short
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

// maxRowBytes is the longest answer stored in a row of the table.
const maxRowBytes = 64 << 10

const keyPrefix = "answers/"

// Stored is the form of an answer in a row: the answer itself or the key of its
// object. Both are empty if the answer was not stored.
type Stored struct {
	Answer *wire.Answer
	Object string
}

// Store stores long answers in the object store.
type Store struct {
	objects store.Objects
}

// NewStore returns a Store that uses the given object store.
func NewStore(objects store.Objects) *Store { return &Store{objects: objects} }

// Keep returns the form of a to be stored in a row, after writing a long answer to
// the object store. name must be unique to the answer; Keep is idempotent.
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

// Load returns the answer of a row, or nil if it was not stored or its object no
// longer exists. The error has KindUnavailable if the object store cannot be read.
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
