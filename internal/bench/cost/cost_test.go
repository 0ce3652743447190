package cost_test

import (
	"math"
	"testing"

	"geraniumhollow/internal/bench/cost"
)

// Guards against slopes that give the cost of requests to tokens or the other way round.
func TestFit(t *testing.T) {
	t.Parallel()
	const base, perRequest, perToken = 0.01, 100e-6, 5e-6
	samples := make([]cost.Sample, 0, 5)
	for _, st := range []cost.Step{{0, 0}, {50, 8}, {200, 8}, {100, 64}, {50, 128}} {
		samples = append(samples, cost.Sample{
			Step: st, CPU: base + perRequest*st.Rate + perToken*st.Rate*float64(st.Tokens),
		})
	}
	got, err := cost.Fit(samples)
	if err != nil {
		t.Fatal(err)
	}
	near := func(a, b float64) bool { return math.Abs(a-b) < 1e-9 }
	if !near(got.Base, base) || !near(got.PerRequest, perRequest) || !near(got.PerToken, perToken) || got.Worst > 1e-9 {
		t.Errorf("got %+v", got)
	}
}
