// Package membudget bounds the memory that an entry's buffers of requests and answers take
// together. Each buffer has a limit of its own, which says nothing about their sum: a faulty
// server may keep hundreds of answers open just below it.
package membudget

import (
	"fmt"
	"io"
	"sync"
)

const (
	// FreeBytes is the capacity up to which a buffer is not counted, so that buffers of
	// usual size take no lock.
	FreeBytes = 16 << 10

	budgetShare = 0.25    // of the VM's memory; a growing buffer exists twice, and garbage is collected late
	serverParts = 10      // a server's answers hold at most this part of the budget
	callerParts = 2       // the bodies of requests likewise, so that answers always have a part
	minBudget   = 4 << 20 // bytes
)

// ShortError means that a buffer may not grow.
type ShortError struct {
	Holder string // server, or empty for the bodies of requests
	Held   int64  // bytes held by all of its buffers
	All    bool   // the whole budget is used, not only the holder's part
}

func (e *ShortError) Error() string {
	scope := "the part of " + e.Holder
	switch {
	case e.All:
		scope = "the entry's budget"
	case e.Holder == "":
		scope = "the part of request bodies"
	}
	return fmt.Sprintf("memory runs short: %d bytes held, %s is used up", e.Held, scope)
}

// Budget is the memory for buffers of one entry. A nil Budget has no limit. It is safe for
// concurrent use.
//
// Invariant: held is the sum of byHolder, and at most limit.
type Budget struct {
	limit int64

	mu       sync.Mutex
	held     int64
	byHolder map[string]int64
	refused  int64 // growths that were refused
}

// New returns the budget of an entry on a VM with the given memory in bytes.
func New(vmMemory int64) *Budget {
	return &Budget{limit: max(int64(float64(vmMemory)*budgetShare), minBudget), byHolder: map[string]int64{}}
}

// State is the section of the state dump.
type State struct {
	Limit    int64            `json:"limit_bytes"`
	Held     int64            `json:"held_bytes"`
	ByHolder map[string]int64 `json:"by_holder"` // by server; empty for the bodies of requests
	Refused  int64            `json:"refused"`   // growths since the start
}

// State returns the current state.
func (b *Budget) State() State {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := State{Limit: b.limit, Held: b.held, ByHolder: make(map[string]int64, len(b.byHolder)), Refused: b.refused}
	for holder, n := range b.byHolder {
		s.ByHolder[holder] = n
	}
	return s
}

// Server returns an account for a buffer of an answer of the server.
func (b *Budget) Server(id string) Account { return Account{budget: b, holder: id} }

// RequestBody returns an account for the body of a request.
func (b *Budget) RequestBody() Account { return Account{budget: b} }

// partOf returns the bytes that a holder may hold.
func (b *Budget) partOf(holder string) int64 {
	if holder == "" {
		return b.limit / callerParts
	}
	return b.limit / serverParts
}

// grow adds bytes to those of a holder, or returns a ShortError.
func (b *Budget) grow(holder string, n int64) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n <= 0 {
		b.shrink(holder, -n)
		return nil
	}
	held := b.byHolder[holder]
	if all := b.held+n > b.limit; all || held+n > b.partOf(holder) {
		b.refused++
		return &ShortError{Holder: holder, Held: held, All: all}
	}
	b.held += n
	b.byHolder[holder] = held + n
	return nil
}

// shrink takes bytes from those of a holder. The caller holds mu.
func (b *Budget) shrink(holder string, n int64) {
	b.held -= n
	if b.byHolder[holder] -= n; b.byHolder[holder] == 0 {
		delete(b.byHolder, holder)
	}
}

// Account is what one buffer holds. The zero value has no limit. It is not safe for
// concurrent use.
type Account struct {
	budget *Budget
	holder string
	held   int64
}

// Resize records that the buffer has the given capacity in bytes. On error, a ShortError, the
// account holds what it did before.
func (a *Account) Resize(capacity int) error {
	if a.budget == nil {
		return nil
	}
	want := int64(capacity)
	if want <= FreeBytes {
		want = 0
	}
	if want == a.held {
		return nil
	}
	if err := a.budget.grow(a.holder, want-a.held); err != nil {
		return err
	}
	a.held = want
	return nil
}

// Release gives back what the account holds.
func (a *Account) Release() { _ = a.Resize(0) }

// minRead is the least free capacity with which ReadAll reads.
const minRead = 512

// ReadAll reads until the end of the source, which is expected to have a number of bytes, or
// 0 if that is unknown. The account holds what the result takes; on error nothing.
func ReadAll(source io.Reader, expected int64, a *Account) ([]byte, error) {
	buf := make([]byte, 0, minRead)
	for {
		if cap(buf)-len(buf) < minRead {
			next := nextCapacity(len(buf), cap(buf), expected)
			if err := a.Resize(next); err != nil {
				a.Release()
				return nil, err
			}
			buf = append(make([]byte, 0, next), buf...)
		}
		n, err := source.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if err == io.EOF {
			return buf, nil
		}
		if err != nil {
			a.Release()
			return buf, err
		}
	}
}

// nextCapacity returns the capacity to which a full buffer grows: twice its own, but no more
// than the expected bytes need.
func nextCapacity(length, capacity int, expected int64) int {
	next := 2 * capacity
	if whole := int(max(expected, 0)) + minRead; length < whole && whole < next {
		return whole
	}
	return next
}
