// Package prefix finds the backend servers that have the leading part of a prompt in their cache.
//
// A prompt is split into blocks of a fixed size. The fingerprint of a block is the xxh3 hash of its bytes,
// seeded with the fingerprint of the preceding block, so that a fingerprint identifies the whole prompt up to
// the end of its block. An Index records which server has which fingerprints. The package does no I/O and is
// not safe for concurrent use.
package prefix

import (
	"encoding/binary"

	"github.com/zeebo/xxh3"
)

// BlockBytes is the size of a block. 512 bytes are about 128 tokens, the granularity at which sharing a cache
// entry is worth a lookup.
const BlockBytes = 512

// BlockTokens is the approximate size of a block in tokens.
const BlockTokens = BlockBytes / 4

// MaxBlocks is the maximum number of fingerprints per prompt. Later blocks are not looked up.
const MaxBlocks = 64

// Seed returns the fingerprint seed for a version of a model with an adapter, because a cache is only valid for
// the same combination. If all names are empty, the seed is 0.
func Seed(model, version, adapter string) uint64 {
	var seed uint64
	for _, s := range []string{model, version, adapter} {
		if s != "" || seed != 0 {
			seed = xxh3.HashStringSeed(s, seed)
		}
	}
	return seed
}

// Append appends the fingerprints of the complete leading blocks of prompt to dst, shortest prefix first.
func Append(dst []uint64, seed uint64, prompt string) []uint64 {
	for range MaxBlocks {
		if len(prompt) < BlockBytes {
			break
		}
		seed = xxh3.HashStringSeed(prompt[:BlockBytes], seed)
		dst = append(dst, seed)
		prompt = prompt[BlockBytes:]
	}
	return dst
}

// Chain returns the fingerprint that follows prev for a block identified only by a number. It is for simulated
// load that has no text.
func Chain(prev, block uint64) uint64 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], block)
	return xxh3.HashSeed(b[:], prev)
}
