package runs_test

import (
	"flag"
	"os"
	"testing"

	"geraniumhollow/internal/bench/runs"
	"geraniumhollow/internal/core/sets"
	"pgregory.net/rapid"
)

// interleavings is the number of different ones that section 13 of the design asks for. Some of the
// numbers that rapid draws are equal, so that more are drawn.
const (
	interleavings = 10_000
	draws         = "12000"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.checks", draws); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// drawSeed returns the seed of an interleaving, whose choices are uniform. The choices are not drawn
// from rapid itself: its numbers lean to small ones, and most steps would be of one kind.
func drawSeed(t *rapid.T) uint64 {
	var seed uint64
	for range 4 {
		seed = seed*0x9e3779b97f4a7c15 + rapid.Uint64().Draw(t, "part of the seed")
	}
	return seed
}

// Guards against a call that runs twice, a not_run that is false, an answer of another call, and a
// request that never ends, whatever the table, the nodes and the backend servers do.
func TestClaims(t *testing.T) {
	t.Parallel()
	var sum runs.Claims
	seeds := sets.New[uint64]()
	rapid.Check(t, func(t *rapid.T) {
		seed := drawSeed(t)
		got := runs.RunClaims(runs.Seeded(seed))
		if got.Bad() {
			t.Fatalf("broken promise with seed %d: %+v", seed, got)
		}
		seeds.Add(seed)
		sum = sum.Add(got)
	})
	if !t.Failed() && seeds.Len() < interleavings {
		t.Errorf("%d different interleavings, want %d", seeds.Len(), interleavings)
	}
	t.Logf("%+v", sum)
	if sum.Runs == 0 || sum.Answers == 0 || sum.NotRun == 0 || sum.Unknown == 0 {
		t.Errorf("the interleavings do not reach every outcome: %+v", sum)
	}
}

// Guards against a request that crashes servers more often than the fleet allows, or beside others.
func TestCrashes(t *testing.T) {
	t.Parallel()
	var sum runs.Crashes
	seeds := sets.New[uint64]()
	rapid.Check(t, func(t *rapid.T) {
		seed := drawSeed(t)
		got := runs.RunCrashes(runs.Seeded(seed))
		if got.Bad() {
			t.Fatalf("broken promise with seed %d: %+v", seed, got)
		}
		seeds.Add(seed)
		sum = sum.Add(got)
	})
	if !t.Failed() && seeds.Len() < interleavings {
		t.Errorf("%d different interleavings, want %d", seeds.Len(), interleavings)
	}
	t.Logf("%+v", sum)
	if sum.Alone == 0 || sum.Refused == 0 || sum.Completed == 0 {
		t.Errorf("the interleavings do not reach every outcome: %+v", sum)
	}
}
