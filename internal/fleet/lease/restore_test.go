package lease_test

import (
	"testing"
	"time"

	"geraniumhollow/internal/fleet/duty"
)

// Guards against fencing numbers that are given out twice, holders that lose the track of their grants, and processes that end
// because a restored table has forgotten them.
func TestRestoredTable(t *testing.T) {
	t.Parallel()
	const margin = 50 * time.Millisecond
	// restore brings back the rows that the table had before f ran.
	restore := func(f *testFleet, change func()) {
		time.Sleep(margin)
		before := time.Now()
		time.Sleep(margin)
		change()
		f.store.Restore(time.Since(before))
	}
	tests := []struct {
		name string
		run  func(f *testFleet)
	}{
		{"a holder goes on without a break", func(f *testFleet) {
			f.run(10*time.Second, "x")
			_, old := f.held("x", "a")
			restore(f, func() { f.run(5*time.Second, "x") })
			f.run(10*time.Second, "x")
			n, now := f.held("x", "a")
			f.expect("all duties held", n == len(duties) && f.deciders["x"].Holds(f.now, "a", now.Fence))
			f.expect("continued in the new era", now.Continued && now.Previous == old.Fence && now.Fence == duty.FirstOfEra(2)+1)
		}},
		{"a holder of before is back", func(f *testFleet) {
			f.run(10*time.Second, "x")
			var lost uint64
			restore(f, func() {
				f.run(30*time.Second, "y")
				_, tenure := f.held("y", "a")
				lost = tenure.Fence
			})
			f.run(10*time.Second, "x", "y")
			x, now := f.held("x", "a")
			y, _ := f.held("y", "a")
			f.expect("one holder", x == len(duties) && y == 0)
			f.expect("a new tenure with a higher fence", lost > 1 && now.Fence > lost && !now.Continued && !now.Clean)
		}},
		{"rows of duties are gone", func(f *testFleet) {
			var lost uint64
			restore(f, func() {
				f.run(10*time.Second, "x")
				_, tenure := f.held("x", "a")
				lost = tenure.Fence
			})
			f.run(20*time.Second, "y")
			n, now := f.held("y", "a")
			f.expect("claimed with a higher fence", n == len(duties) && lost > 0 && now.Fence > lost && !now.Clean)
		}},
		{"the row of a predecessor is back", func(f *testFleet) {
			f.run(10*time.Second, "x")
			restore(f, func() {
				f.start("x", "x-2")
				f.run(40*time.Second, "x")
			})
			f.run(20*time.Second, "x")
			n, _ := f.held("x", "a")
			f.expect("process goes on", !f.deciders["x"].Replaced() && f.deciders["x"].Valid(f.now) && n == len(duties))
		}},
		{"restored twice", func(f *testFleet) {
			f.run(10*time.Second, "x")
			restore(f, func() { f.run(10*time.Second, "x") })
			f.run(10*time.Second, "x")
			restore(f, func() { f.run(10*time.Second, "x") })
			f.store.Restore(0)
			f.run(10*time.Second, "x")
			_, now := f.held("x", "a")
			f.expect("continued in the latest era", now.Continued && now.Fence == duty.FirstOfEra(4)+1)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			tt.run(newFleet(t, "x", "y", "z"))
		})
	}
}
