package prefix_test

import (
	"slices"
	"strings"
	"testing"

	"geraniumhollow/internal/route/prefix"
)

// Guards against fingerprints that do not identify the whole prompt up to the end of their block, and against
// an unlimited number of fingerprints per prompt.
func TestFingerprints(t *testing.T) {
	t.Parallel()
	a, b := strings.Repeat("a", prefix.BlockBytes), strings.Repeat("b", prefix.BlockBytes)
	tests := []struct {
		name   string
		one    string
		other  string
		blocks int
		shared int
	}{
		{"same", a + b, a + b, 2, 2},
		{"tail without a whole block", a + b + "x", a + b + "y", 2, 2},
		{"other second block", a + b, a + a, 2, 1},
		{"same block after another one", a + b, b + b, 2, 0},
		{"short", "x", "x", 0, 0},
		{"very long", strings.Repeat(a, 100), strings.Repeat(a, 100), prefix.MaxBlocks, prefix.MaxBlocks},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			one, other := prefix.Append(nil, 0, tt.one), prefix.Append(nil, 0, tt.other)
			shared := 0
			for i := range min(len(one), len(other)) {
				if one[i] == other[i] {
					shared++
				}
			}
			if len(one) != tt.blocks || shared != tt.shared {
				t.Errorf("%d blocks, %d shared; want %d, %d", len(one), shared, tt.blocks, tt.shared)
			}
		})
	}
	if prefix.Seed("lm", "v1", "") == prefix.Seed("lm", "", "v1") {
		t.Error("a version and an adapter of the same name share fingerprints")
	}
}

// update is a change to the records of server 0.
type update func(x *prefix.Index)

func events(evs ...prefix.Event) update { return func(x *prefix.Index) { x.Apply(0, evs) } }

func stored(seq, hash uint64) prefix.Event {
	return prefix.Event{Seq: seq, Hash: hash, Stored: true}
}

func dropped(seq, hash uint64) prefix.Event { return prefix.Event{Seq: seq, Hash: hash} }

func instance(name string) update { return func(x *prefix.Index) { x.SetInstance(0, name) } }

// Guards against an index that adds, loses or overestimates cached blocks when events are duplicated, late or
// missing. The prompt has the blocks 1, 2 and 3.
func TestIndex(t *testing.T) {
	t.Parallel()
	const certain, uncertain = prefix.BlockTokens, prefix.BlockTokens / 2
	all := events(stored(1, 1), stored(2, 2), stored(3, 3))
	tests := []struct {
		name   string
		give   []update
		blocks int
		tokens int
	}{
		{"nothing known", nil, 0, 0},
		{"all stored", []update{all}, 3, 3 * certain},
		{"middle block dropped", []update{all, events(dropped(4, 2))}, 1, certain},
		{"events repeated", []update{all, events(dropped(4, 2)), all}, 1, certain},
		{"gap makes earlier blocks uncertain", []update{all, events(stored(9, 7))}, 3, 3 * uncertain},
		{"block seen again after a gap", []update{all, events(stored(9, 1))}, 3, certain + 2*uncertain},
		{"first event missed", []update{events(stored(5, 1))}, 1, certain},
		{"new instance", []update{instance("a"), all, instance("b")}, 0, 0},
		{"same instance", []update{instance("a"), all, instance("a")}, 3, 3 * certain},
		{"forgotten", []update{all, func(x *prefix.Index) { x.RemoveServer(0) }}, 0, 0},
		{"sent without events", []update{func(x *prefix.Index) { x.RecordSent(0, []uint64{1, 2, 3}) }}, 3, 3 * uncertain},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			x := index(t, 100)
			for _, s := range tt.give {
				s(x)
			}
			var got prefix.Hit
			if hits := x.Lookup(nil, []uint64{1, 2, 3}); len(hits) > 0 {
				got = hits[0]
			}
			if got.Blocks != tt.blocks || got.Tokens != tt.tokens {
				t.Errorf("got %d blocks, %d tokens; want %d, %d", got.Blocks, got.Tokens, tt.blocks, tt.tokens)
			}
		})
	}
}

func index(t *testing.T, entries int) *prefix.Index {
	t.Helper()
	x, err := prefix.NewIndex(entries)
	if err != nil {
		t.Fatalf("make index: %v", err)
	}
	return x
}

// Guards against an index that stays confident when answers contradict it, or uncertain when they confirm it.
func TestCorrect(t *testing.T) {
	t.Parallel()
	expected := func(cached int) int {
		x := index(t, 100)
		chain := []uint64{1, 2, 3}
		x.RecordSent(0, chain)
		for range 100 {
			x.RecordResult(0, chain, x.Lookup(nil, chain)[0], 3*prefix.BlockTokens, cached)
		}
		return x.Lookup(nil, chain)[0].Tokens
	}
	if got := expected(0); got > prefix.BlockTokens/2 {
		t.Errorf("expects %d tokens of a server that has dropped everything 100 times", got)
	}
	if got := expected(3 * prefix.BlockTokens); got < 5*prefix.BlockTokens/2 {
		t.Errorf("expects %d tokens of a server that has had all 100 times", got)
	}
}

// Guards against unlimited growth with the number of prompts or servers.
func TestIndexIsBounded(t *testing.T) {
	t.Parallel()
	x := index(t, 50)
	for i := range uint64(1000) {
		x.RecordSent(int(i), []uint64{1, i + 2})
	}
	hits := x.Lookup(nil, []uint64{1})
	if x.Len() > 50 || len(hits) > 16 {
		t.Errorf("%d entries and %d holders; want at most 50 and 16", x.Len(), len(hits))
	}
	if !slices.ContainsFunc(hits, func(h prefix.Hit) bool { return h.Server == 999 }) {
		t.Error("the newest holder is missing")
	}
}
