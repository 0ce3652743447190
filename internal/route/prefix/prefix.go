// Package prefix tells which backend servers have the leading part of a prompt in their cache.
//
// A prompt is cut into blocks of a fixed size. The fingerprint of a block is the xxh3 hash of its
// bytes, seeded with the fingerprint of the block before it, so that a fingerprint stands for the
// whole prompt up to its block. An Index remembers which server has which fingerprint. Everything
// here is a decider and not safe for concurrent use.
package prefix

import (
	"encoding/binary"

	"github.com/zeebo/xxh3"
)

// BlockBytes is the size of a block. 512 bytes are about 128 tokens, the granularity at which
// sharing a cache entry is worth a lookup.
const BlockBytes = 512

// BlockTokens is the rough size of a block in tokens.
const BlockTokens = BlockBytes / 4

// MaxBlocks bounds the fingerprints of one prompt; later blocks are not looked up.
const MaxBlocks = 64

// Seed returns the seed of fingerprints for one version of a model with an adapter: caches of others
// are of no use. Empty names give 0.
func Seed(model, version, adapter string) uint64 {
	var seed uint64
	for _, s := range []string{model, version, adapter} {
		if s != "" || seed != 0 {
			seed = xxh3.HashStringSeed(s, seed)
		}
	}
	return seed
}

// Append appends the fingerprints of the whole leading blocks of prompt to dst, shortest prefix
// first.
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

// Chain returns the fingerprint that follows prev for a block that is known by a number only; it
// serves models of a load that have no text.
func Chain(prev, block uint64) uint64 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], block)
	return xxh3.HashSeed(b[:], prev)
}
