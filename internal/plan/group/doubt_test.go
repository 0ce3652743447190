package group_test

import (
	"testing"
	"time"
)

// Guards against a group that is formed anew, which ends all of its requests, because its members answer probes late or this process
// misses the answers for lack of processor time, although they run (issue 46, LOST; TestOddRegistrations).
func TestKeepsGroupOfServersThatRun(t *testing.T) {
	t.Parallel()
	tests := map[string]func(sim *simulation, ids []string){
		"answer after 0.3 s": func(sim *simulation, ids []string) {
			for _, id := range ids {
				sim.late[id] = 300 * time.Millisecond
			}
		},
		"answer after 1 s": func(sim *simulation, ids []string) {
			for _, id := range ids {
				sim.late[id] = time.Second
			}
		},
		"reached by other nodes": func(sim *simulation, ids []string) {
			for _, id := range ids {
				sim.silent[id], sim.noHeartbeat[id], sim.reachedByPeers[id] = true, true, true
			}
		},
		"hosts accept connections": func(sim *simulation, ids []string) {
			for _, id := range ids {
				sim.late[id], sim.noHeartbeat[id], sim.connects[id] = 1800*time.Millisecond, true, true
			}
		},
		"keeper not scheduled for 1 s": func(sim *simulation, ids []string) {
			sim.d.ObserverLate(sim.now)
			sim.renewals = time.Second
			for _, id := range ids {
				sim.late[id] = time.Second
			}
		},
	}
	for name, impair := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sim := newSimulation(t, 5)
			sim.late, sim.reachedByPeers, sim.connects = make(map[string]time.Duration), make(map[string]bool), make(map[string]bool)
			sim.run(3 * time.Second)
			f := sim.open()["g1"]
			impair(sim, f.Members)
			for range 20 {
				sim.d.RequestProbes(f.Group, f.Epoch)
				sim.run(500 * time.Millisecond)
			}
			if g, ok := sim.open()["g1"]; !ok || g.Epoch != f.Epoch {
				t.Errorf("the group is %+v, open %v: %v", g, ok, sim.orders)
			}
		})
	}
}

// Guards against a member that has gone dark and is replaced late because of what was known of it before, or of its registration alone.
func TestReplacesDarkMember(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		goDark func(sim *simulation, id string)
		within time.Duration
	}{
		"dark": {func(sim *simulation, id string) { sim.silent[id], sim.noHeartbeat[id] = true, true }, time.Second},
		"dark after a late answer": {func(sim *simulation, id string) {
			sim.d.AnsweredLate(sim.now, id, sim.servers[id].StartedAt)
			sim.silent[id], sim.noHeartbeat[id] = true, true
		}, time.Second},
		"dark, and renews its registration": {func(sim *simulation, id string) { sim.silent[id] = true }, 3500 * time.Millisecond},
		"stopped, and its host accepts connections": {func(sim *simulation, id string) {
			sim.silent[id], sim.noHeartbeat[id], sim.connects = true, true, map[string]bool{id: true}
		}, 3500 * time.Millisecond},
		"dark, and the keeper was late": {func(sim *simulation, id string) {
			sim.d.ObserverLate(sim.now)
			sim.silent[id], sim.noHeartbeat[id] = true, true
		}, 3500 * time.Millisecond},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sim := newSimulation(t, 5)
			sim.run(3 * time.Second)
			f := sim.open()["g1"]
			lost := f.Members[1]
			tt.goDark(sim, lost)
			sim.d.RequestProbes(f.Group, f.Epoch)
			sim.run(tt.within)
			if g, ok := sim.open()["g1"]; !ok || g.HasMember(lost) {
				t.Errorf("%v later, the group is %+v, open %v: %v", tt.within, g, ok, sim.orders)
			}
		})
	}
}
