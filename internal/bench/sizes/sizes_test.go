package sizes_test

import (
	"testing"
	"time"

	"geraniumhollow/internal/bench/sizes"
)

// Guards against scaling that costs more than it gains: servers that are added or removed without need, groups that are broken up at the
// same time, that wait for weights, or that are formed for the wrong model. Demand needs all servers at the usual utilisation.
func TestScalingPays(t *testing.T) {
	t.Parallel()
	for seed := range uint64(2) {
		o := sizes.Options{Seed: 4 * seed, Scales: true, Time: 60 * time.Second, LoadsPerSecond: 3, LoadsAtOnce: 16}
		r := sizes.Run(o)
		if r.LostShare() > 0.002 {
			t.Errorf("seed %d: %.4f of the requests are lost: %v", o.Seed, r.LostShare(), r.Events)
		}
		if r.Servers > 162 || r.ServerSeconds > 162*60 {
			t.Errorf("seed %d: %.0f server seconds, %d servers in the end", o.Seed, r.ServerSeconds, r.Servers)
		}
		if r.Open["small"] < 14 || r.Open["large"] < 4 {
			t.Errorf("seed %d: open groups %v in the end", o.Seed, r.Open)
		}
	}
}

// Guards against groups that are dissolved for the wrong model after the loss of a data centre. 0.045 of the requests were lost with seed 2
// when the mean answer was taken to be the configured one of all models while requests were late.
func TestLossOfDataCentre(t *testing.T) {
	t.Parallel()
	for _, seed := range []uint64{2, 9} {
		o := sizes.Options{Seed: seed, Scales: true, Time: 80 * time.Second, LoadsPerSecond: 3, LoadsAtOnce: 16, LostAt: 35 * time.Second}
		if r := sizes.Run(o); r.LostShare() > 0.025 {
			t.Errorf("seed %d: %.4f of the requests are lost: %v", seed, r.LostShare(), r.Events)
		}
	}
}
