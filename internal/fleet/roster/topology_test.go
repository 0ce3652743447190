package roster_test

import (
	"fmt"
	"testing"

	"geraniumhollow/internal/core/sets"
	"geraniumhollow/internal/fleet/roster"
)

// Guards against small nodes that relay messages while large ones could, and against a first node that is
// root of several data centres.
func TestLargeNodesFirst(t *testing.T) {
	t.Parallel()
	const nodes = 120
	places := make([]roster.NodeInfo, 0, nodes)
	for i := range nodes {
		p := roster.NodeInfo{Node: fmt.Sprintf("n%d", i), DataCentre: fmt.Sprintf("dc%d", i%3), Capacity: 0.2}
		if i < 9 {
			p.Capacity = 0.8
		}
		places = append(places, p)
	}
	topology := roster.NewTopology(places)
	large := func(n string) bool { return len(n) == 2 }
	excluded := sets.New[string]()
	for range 9 {
		first := topology.FirstRoot(excluded)
		if !large(first) {
			t.Fatalf("the first node is %s, but %d large nodes are not excluded", first, 9-excluded.Len())
		}
		roots := 0
		for dc := range 3 {
			if topology.RootOf(fmt.Sprintf("dc%d", dc), excluded) == first {
				roots++
			}
		}
		if roots != 1 {
			t.Errorf("the first node is root of %d data centres, want 1", roots)
		}
		excluded.Add(first)
	}
	if topology.FirstRoot(excluded) == "" {
		t.Error("no first node after all large ones are excluded")
	}
}
