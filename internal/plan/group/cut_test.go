package group_test

import (
	"maps"
	"testing"
	"time"

	"geraniumhollow/internal/fleet/server"
	"geraniumhollow/internal/plan/group"
)

// cutOff cuts all servers off from the keeper, all other nodes and the registry, which keeps the given entries.
func (sim *simulation) cutOff(entries map[string]server.Info) {
	for id, i := range entries {
		sim.silent[id], sim.noHeartbeat[id], sim.stale[id] = true, true, i
	}
}

// reconnect ends the cut for a server.
func (sim *simulation) reconnect(id string) {
	delete(sim.silent, id)
	delete(sim.noHeartbeat, id)
	delete(sim.stale, id)
}

// Guards against members that join another group because their head, which opened as a cut began and which nobody reached since, counts
// as dead when the cut ends and they answer before it (review case 3, TWO).
func TestHeadOpensAsCutBegins(t *testing.T) {
	t.Parallel()
	e := newEngine()
	e.Models[0].Hosts = 4
	sim := newSimulation(t, 6)
	sim.d = newDecider(e, group.Plan{})
	sim.run(3 * time.Second)
	first := sim.open()["g1"]
	delete(sim.servers, first.Members[1])
	// entries are those from before the head opens.
	var entries map[string]server.Info
	sim.loses = func(o group.Order) bool {
		if o.Kind == group.Open && entries == nil {
			entries = maps.Clone(sim.servers)
		}
		return false
	}
	for end := sim.now.Add(5 * time.Second); entries == nil; sim.run(50 * time.Millisecond) {
		if sim.now.After(end) {
			t.Fatalf("no head was ordered to open: %v", sim.orders)
		}
	}
	// The keeper misses the head first, and probes it again later than the others.
	head := first.Head()
	sim.cutOff(map[string]server.Info{head: entries[head]})
	sim.run(700 * time.Millisecond)
	delete(entries, head)
	sim.cutOff(entries)
	sim.run(3700 * time.Millisecond)
	for id := range entries {
		sim.reconnect(id)
	}
	delete(sim.silent, head)
	sim.run(time.Second) // The head renews its registration last.
	sim.reconnect(head)
	sim.run(10 * time.Second)
	if len(sim.open()) != 1 {
		t.Errorf("no group is open after the cut: %v", sim.orders)
	}
}
