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

// Guards against a host in two groups, a route that is open while a member is missing or in another
// group or generation, and an old order that an engine takes after a newer one.
func TestInterleavings(t *testing.T) {
	t.Parallel()
	opened := 0
	rapid.Check(t, func(rt *rapid.T) {
		got := plans.Interleave(drawn{rt})
		if got.Fault != "" {
			rt.Fatal(got.Fault)
		}
		opened += got.Opened
	})
	if opened == 0 {
		t.Error("no route ever opened, so nothing was shown")
	}
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
