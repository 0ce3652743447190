package plans_test

import (
	"strings"
	"testing"

	"geraniumhollow/internal/bench/plans"
	"pgregory.net/rapid"
)

// drawn is a Source that rapid can shrink.
type drawn struct{ t *rapid.T }

func (d drawn) IntN(n int) int { return rapid.IntRange(0, n-1).Draw(d.t, "choice") }

// Guards against a head that opens before all members were ready in its formation, and a server that joins
// another formation while the head of its own serves: with lost, late and unanswered orders, two keepers of
// which one may be paused, an unreachable store, and servers that end, return or are cut off.
func TestInterleavings(t *testing.T) {
	t.Parallel()
	opened := 0
	rapid.Check(t, func(rt *rapid.T) {
		got := plans.Interleave(drawn{rt}, plans.Options{})
		if got.Fault != "" {
			rt.Fatal(got.Fault)
		}
		opened += got.Opened
	})
	if opened == 0 {
		t.Error("no head ever opened, so nothing was shown")
	}
}

// Guards against the same while groups make room for others because demand changes.
func TestInterleavingsOfDemand(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		if got := plans.Interleave(drawn{rt}, plans.Options{Demand: true}); got.Fault != "" {
			rt.Fatal(got.Fault)
		}
	})
}

// Guards against a head that has left, but whose delayed join and open of an earlier keeper are carried out before it joins its
// next formation. The interleaving is in testdata.
func TestLateJoinOfHead(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		if got := plans.Interleave(drawn{rt}, plans.Options{}); got.Fault != "" {
			rt.Fatal(got.Fault)
		}
	})
}

// firstTermDays reach past the first term starts.
const firstTermDays = 20

// Guards against a model of the school year in which capacity is warm at once, which would make every
// policy look the same.
func TestYearTellsPoliciesApart(t *testing.T) {
	t.Parallel()
	var out strings.Builder
	if err := plans.Year(&out, 1, firstTermDays); err != nil {
		t.Fatal(err)
	}
	for policy, below := range map[string]bool{"largest_always": false, "at_the_hour": true, "counted_back": false} {
		for line := range strings.Lines(out.String()) {
			fields := strings.Fields(line)
			if fields[0] == policy && (fields[1] != "0.00") != below {
				t.Errorf("%s was below the need: %s hours", policy, fields[1])
			}
		}
	}
}
