package roster_test

import (
	"fmt"
	"testing"

	"geraniumhollow/internal/core/sets"
	"geraniumhollow/internal/fleet/roster"
)

// Guards against small nodes that pass on what large ones could, and against two first nodes.
func TestCapacityOrder(t *testing.T) {
	t.Parallel()
	const nodes = 120
	places := make([]roster.Place, 0, nodes)
	for i := range nodes {
		p := roster.Place{Node: fmt.Sprintf("n%d", i), DataCentre: fmt.Sprintf("dc%d", i%3), Capacity: 0.2}
		if i < 9 {
			p.Capacity = 0.8
		}
		places = append(places, p)
	}
	topo := roster.NewTopology(places)
	large := func(n string) bool { return len(n) == 2 }
	out := sets.New[string]()
	for range 9 {
		first := topo.First(out)
		if !large(first) {
			t.Fatalf("the first node is %s while %d large ones are left", first, 9-out.Len())
		}
		roots := 0
		for dc := range 3 {
			if topo.RootOf(fmt.Sprintf("dc%d", dc), out) == first {
				roots++
			}
		}
		if roots != 1 {
			t.Errorf("the first node leads %d data centres", roots)
		}
		out.Add(first)
	}
	if topo.First(out) == "" {
		t.Error("no first node without large ones")
	}
}
