package order_test

import (
	"slices"
	"testing"

	"geraniumhollow/internal/bench/order"
	"geraniumhollow/internal/plan/loads"
)

// Guards against an ordering that drops or repeats a job, which would leave a group without weights.
func TestOrderingsArePermutations(t *testing.T) {
	t.Parallel()
	for name, policy := range map[string]loads.Policy{
		"first_come": order.FirstCome, "smallest_first": loads.SmallestFirst, "bottleneck": order.Bottleneck,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			jobs, links := order.Restart(order.Today, order.DataCentre, 7)
			got := policy(jobs, links)
			slices.Sort(got)
			for i, j := range got {
				if i != j {
					t.Fatalf("job %d is missing or stands twice", i)
				}
			}
			if len(got) != len(jobs) {
				t.Errorf("%d jobs ordered, want %d", len(got), len(jobs))
			}
		})
	}
}

// Guards against a link model that finishes loads too early: two jobs that share one link must need
// the sum of their times.
func TestRunSharesLinks(t *testing.T) {
	t.Parallel()
	links := []loads.Link{{Name: "store", BytesPerSecond: 10e9}}
	job := func(bytes float64, seq int) loads.Job {
		return loads.Job{Weight: 1, Seq: seq, Loads: []loads.Load{{Bytes: bytes, Links: []int{0}}}}
	}
	jobs := []loads.Job{job(40e9, 0), job(10e9, 1)}
	tests := []struct {
		name   string
		policy loads.Policy
		want   order.Result
	}{
		{"first_come", order.FirstCome, order.Result{Average: 4.5, Half: 4, Worst: 5}},
		{"smallest_first", loads.SmallestFirst, order.Result{Average: 3, Half: 1, Worst: 5}},
		{"bottleneck", order.Bottleneck, order.Result{Average: 3, Half: 1, Worst: 5}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			if got := order.Run(tt.policy, jobs, links); got != tt.want {
				t.Errorf("got %+v, want %+v", got, tt.want)
			}
		})
	}
}
