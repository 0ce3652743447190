package share_test

import (
	"testing"
	"time"

	"geraniumhollow/internal/bench/share"
	"pgregory.net/rapid"
)

// Guards against an engine that holds more than its limit, and against a server that gets no grants
// again, under random faults. The measuring command runs more of the same.
func TestInterleavings(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		cold := rapid.IntRange(1, 4).Draw(t, "cold")
		p := share.Plan{
			Seed:   rapid.Uint64().Draw(t, "seed"),
			Nodes:  rapid.IntRange(2, 6).Draw(t, "nodes"),
			Limits: share.MakeLimits(cold, cold*rapid.IntRange(1, 4).Draw(t, "factor")),
			Warm:   rapid.Bool().Draw(t, "warm"),
			Slow:   rapid.SampledFrom([]int{0, 10, 100}).Draw(t, "slow"),
		}
		p.StayCold = !p.Warm && rapid.Bool().Draw(t, "stay cold")
		seconds := rapid.IntRange(0, 120)
		p.Faults = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) share.Fault {
			return share.Fault{
				Kind: share.FaultKind(rapid.IntRange(0, int(share.Lower)).Draw(t, "kind")),
				At:   time.Duration(seconds.Draw(t, "at")) * time.Second,
				For:  time.Duration(seconds.Draw(t, "for")/2) * time.Second,
				Node: rapid.IntRange(0, p.Nodes-1).Draw(t, "node"),
				Peer: rapid.IntRange(0, p.Nodes-1).Draw(t, "peer"),
			}
		}), 0, 12).Draw(t, "faults")
		if r := share.Run(p); r.Broken != "" {
			t.Fatal(r.Broken)
		}
	})
}
