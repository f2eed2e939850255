// Package fault provides the error type of all processes. An error carries the
// step that failed, the peer involved, and a kind from which the caller can
// conclude whether the failed operation had an effect.
package fault

import (
	"errors"
	"fmt"
	"net"
)

// Kind classifies an error by what the caller may conclude from it.
type Kind int

// The kinds of error.
const (
	// KindInternal is a defect or an unclassified failure.
	KindInternal Kind = iota
	// KindInvalid means that the input was invalid; a retry with it fails again.
	KindInvalid
	// KindNotFound means that the named thing does not exist.
	KindNotFound
	// KindConflict means that the condition of a conditional write was false.
	KindConflict
	// KindUnavailable means that the operation failed and certainly had no effect.
	KindUnavailable
	// KindUnknown means that the operation may or may not have taken effect.
	KindUnknown
	// KindRefused means that the peer rejected the operation and did nothing.
	KindRefused
	// KindCanceled means that the context ended before the operation did.
	KindCanceled
)

// String returns the name of the kind in logs and dumps.
func (k Kind) String() string {
	names := [...]string{"internal", "invalid", "not-found", "conflict", "unavailable", "unknown", "refused", "canceled"}
	if int(k) < 0 || int(k) >= len(names) {
		return fmt.Sprintf("kind(%d)", int(k))
	}
	return names[k]
}

// Error is an error with its kind, the step that failed and the peer involved.
type Error struct {
	Step string // operation in progress, such as "table.put"
	Peer string // name or address of the other party; empty when local
	Kind Kind
	Err  error
}

// New returns an Error wrapping err.
func New(kind Kind, step, peer string, err error) *Error {
	return &Error{Step: step, Peer: peer, Kind: kind, Err: err}
}

// Newf returns an Error with a formatted message.
func Newf(kind Kind, step, peer, format string, args ...any) *Error {
	return New(kind, step, peer, fmt.Errorf(format, args...))
}

// Error formats the step, the peer, the kind and the cause.
func (e *Error) Error() string {
	if e.Peer == "" {
		return fmt.Sprintf("%s: %s: %v", e.Step, e.Kind, e.Err)
	}
	return fmt.Sprintf("%s at %s: %s: %v", e.Step, e.Peer, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// KindOf returns the kind of the outermost Error in err's chain, or
// KindInternal when there is none.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return KindInternal
}

// Is reports whether err carries the given kind.
func Is(err error, kind Kind) bool {
	return err != nil && KindOf(err) == kind
}

// KindOfNetworkError returns the kind of an error of a network request: KindUnavailable
// if the dial failed, since nothing was sent, and KindUnknown otherwise, since
// the peer may have acted.
func KindOfNetworkError(err error) Kind {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return KindUnavailable
	}
	return KindUnknown
}
