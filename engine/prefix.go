package engine

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// BlockBytes is the length of one block of the prefix cache, in prompt bytes.
const BlockBytes = 256

// BytesPerToken is the mean length of a prompt token, in bytes.
const BytesPerToken = 4

// Prefixes returns the chained hash of every whole block of a prompt. Equal
// hashes at the same position mean equal prompts up to the end of that block.
func Prefixes(artifact string, prompt []byte) []uint64 {
	return AppendPrefixes(nil, artifact, prompt)
}

// AppendPrefixes appends the hashes that Prefixes returns to dst.
func AppendPrefixes(dst []uint64, artifact string, prompt []byte) []uint64 {
	h := xxhash.Sum64String(artifact)
	var chain [8]byte
	var d xxhash.Digest
	for len(prompt) >= BlockBytes {
		d.Reset()
		binary.LittleEndian.PutUint64(chain[:], h)
		_, _ = d.Write(chain[:])
		_, _ = d.Write(prompt[:BlockBytes])
		h = d.Sum64()
		dst = append(dst, h)
		prompt = prompt[BlockBytes:]
	}
	return dst
}
