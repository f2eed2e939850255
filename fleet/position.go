package fleet

import "cmp"

// Position is a point in the history of the platform's store. When the store returns from
// an older copy, a new era begins: versions continue from those of the copy and are assigned
// again. So versions of different eras cannot be compared with each other.
type Position struct {
	Era     int64 // 0 if the store does not tell
	Version int64
}

// Compare returns a negative number if p is before q, a positive number if it is after q,
// and 0 if they are equal.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Era, q.Era), cmp.Compare(p.Version, q.Version))
}

// versionBits is the number of bits that Position.Number uses for the version. At a million
// transactions per second, versions fit for half a year.
const versionBits = 44

// Number encodes the position in one number, such that numbers compare as positions do. A
// position of era 0 is encoded as its version.
func (p Position) Number() int64 { return p.Era<<versionBits | p.Version }

// PositionOf is the inverse of Position.Number.
func PositionOf(number int64) Position {
	return Position{Era: number >> versionBits, Version: number & (1<<versionBits - 1)}
}
