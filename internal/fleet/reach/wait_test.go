package reach_test

import (
	"testing"
	"time"

	"geraniumhollow/internal/fleet/reach"
)

// Guards against waits that end because the process did not run, and against ones that never end.
func TestWait(t *testing.T) {
	t.Parallel()
	const limit = 150 * time.Millisecond
	steps := func(n int, step time.Duration) []time.Duration {
		list := make([]time.Duration, n)
		for i := range list {
			list[i] = step
		}
		return list
	}
	late := 400 * time.Millisecond
	tests := []struct {
		name    string
		steps   []time.Duration
		over    bool
		givenUp bool
	}{
		{"on time, not yet", steps(5, reach.Step), false, false},
		{"on time", steps(6, reach.Step), true, false},
		{"somewhat late", steps(4, reach.Step*8/5), true, false},
		{"did not run at first", append([]time.Duration{late}, steps(5, reach.Step)...), false, false},
		{"did not run at the end", append(steps(6, reach.Step), late), false, false},
		{"has run on time since", append(append(steps(6, reach.Step), late), steps(2, reach.Step)...), true, false},
		{"did not run for a minute", append(steps(5, reach.Step), time.Minute), false, false},
		{"hardly runs", steps(10, 100*time.Millisecond), false, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			var w reach.Wait
			for _, s := range tt.steps {
				w.Add(s)
			}
			if over, givenUp := w.Over(limit), w.GivenUp(); over != tt.over || givenUp != tt.givenUp {
				t.Errorf("over %t, given up %t, want %t, %t", over, givenUp, tt.over, tt.givenUp)
			}
		})
	}
}
