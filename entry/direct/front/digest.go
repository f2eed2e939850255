package front

import (
	"crypto/sha256"
	"encoding/binary"
	"hash"
)

// digest identifies what the client asks for: requests that a client repeats, with other IDs
// and at other entries, have the same one. It is never 0. Its first call hashes the body.
func (q *request) digest() uint64 {
	q.digestOnce.Do(func() { q.digestValue = digestOf(q) })
	return q.digestValue
}

func digestOf(q *request) uint64 {
	h := sha256.New()
	for _, field := range []string{q.method, hostOf(q.host), q.target, q.Caller} {
		writeLength(h, len(field))
		h.Write([]byte(field)) // a hash never returns an error
	}
	writeLength(h, len(q.body))
	h.Write(q.body)
	return max(binary.BigEndian.Uint64(h.Sum(nil)), 1)
}

// writeLength separates the fields.
func writeLength(h hash.Hash, n int) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(n))
	h.Write(length[:])
}
