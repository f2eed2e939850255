package wire

import (
	"fmt"
	"strconv"
	"strings"
)

// Claim is sent with a non-idempotent action from the entry to the side process.
// The side process starts an attempt only once, and only if the claim names its
// current incarnation, an id that changes with every restart.
type Claim struct {
	Key         string // team-scoped action key
	Attempt     int    // counts from 1
	Incarnation string // of the side process that may start the attempt
}

// String returns the header form attempt;incarnation;key.
func (c Claim) String() string {
	return strconv.Itoa(c.Attempt) + ";" + c.Incarnation + ";" + c.Key
}

// ParseClaim parses the form that String returns.
func ParseClaim(s string) (Claim, error) {
	parts := strings.SplitN(s, ";", 3)
	if len(parts) != 3 || parts[1] == "" || parts[2] == "" {
		return Claim{}, fmt.Errorf("claim %q is not of the form attempt;incarnation;key", s)
	}
	attempt, err := strconv.Atoi(parts[0])
	if err != nil || attempt < 1 {
		return Claim{}, fmt.Errorf("claim %q has no attempt number", s)
	}
	return Claim{Key: parts[2], Attempt: attempt, Incarnation: parts[1]}, nil
}
