package roster_test

import (
	"fmt"
	"testing"
	"time"

	"geraniumhollow/internal/core/sets"
	"geraniumhollow/internal/fleet/roster"
	"geraniumhollow/internal/plat/hosts"
	"pgregory.net/rapid"
)

func places(nodes, dataCentres int) []roster.NodeInfo {
	out := make([]roster.NodeInfo, nodes)
	for i := range out {
		out[i] = roster.NodeInfo{Node: fmt.Sprintf("n%03d", i), DataCentre: fmt.Sprintf("dc%d", i%dataCentres)}
	}
	return out
}

// Guards against nodes that disagree on their relations, and against a topology that is partitioned when
// suspects are excluded.
func TestTopology(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		all := places(rapid.IntRange(1, 220).Draw(t, "nodes"), rapid.IntRange(1, 3).Draw(t, "data centres"))
		suspects := sets.New[string]()
		for range rapid.IntRange(0, len(all)/3).Draw(t, "suspects") {
			suspects.Add(all[rapid.IntRange(0, len(all)-1).Draw(t, "suspect")].Node)
		}
		topology := roster.NewTopology(all)
		first := ""
		rel := map[string]map[string]roster.Relation{}
		for _, p := range all {
			if !suspects.Has(p.Node) {
				rel[p.Node] = topology.Neighbours(p.Node, suspects)
				first = p.Node
			}
		}
		for node, near := range rel {
			for other, r := range near {
				if got := rel[other][node]; got != r.Inverse() {
					t.Fatalf("%s is %q to %s, but the inverse relation is %q", other, r, node, got)
				}
			}
		}
		if got := countReachable(rel, first); got != len(rel) {
			t.Fatalf("%d of %d nodes are reachable", got, len(rel))
		}
	})
}

// countReachable returns the number of nodes connected to first, including itself.
func countReachable(rel map[string]map[string]roster.Relation, first string) int {
	seen := sets.New(first)
	for next := []string{first}; len(next) > 0; next = next[1:] {
		for n := range rel[next[0]] {
			if seen.Add(n) {
				next = append(next, n)
			}
		}
	}
	return len(seen)
}

// Guards against too many links per node in a large fleet.
func TestLinksPerNode(t *testing.T) {
	t.Parallel()
	tests := []struct{ nodes, dataCentres, most int }{{6, 3, 5}, {16, 1, 15}, {24, 3, 10}, {96, 3, 10}, {380, 6, 13}}
	for _, tt := range tests {
		t.Run(fmt.Sprint(tt.nodes), func(t *testing.T) {
			t.Parallel()
			all := places(tt.nodes, tt.dataCentres)
			topology := roster.NewTopology(all)
			most := 0
			for _, p := range all {
				most = max(most, len(topology.Neighbours(p.Node, nil)))
			}
			if most > tt.most {
				t.Errorf("a node has %d links, want at most %d", most, tt.most)
			}
		})
	}
}

// harness drives one roster with two peers, a and b.
type harness struct {
	roster      *roster.Roster
	lastSeq     int
	echoSeq     map[string]int
	probeRounds int
}

func at(ms int) time.Time { return time.Unix(100, 0).Add(time.Duration(ms) * time.Millisecond) }

func newHarness() *harness {
	s := &harness{roster: roster.New(roster.NodeInfo{Node: "self", DataCentre: "dc"}, 1000, at(0)), echoSeq: map[string]int{}}
	s.roster.SetHosts(at(0), entries("self", "a", "b"))
	return s
}

func entries(names ...string) []hosts.Host {
	out := make([]hosts.Host, 0, len(names))
	for _, n := range names {
		out = append(out, hosts.Host{Name: n, Kind: hosts.Entry, State: hosts.Live, DataCentre: "dc"})
	}
	return out
}

// run advances the time in steps of 100 ms. The sending peers send a heartbeat every 500 ms, and each probe
// has the given result.
func (s *harness) run(from, to int, probesSucceed bool, sending ...string) {
	for ms := from; ms < to; ms += 100 {
		for _, p := range sending {
			if ms%500 == 0 {
				s.lastSeq++
				s.roster.HeartbeatReceived(at(ms), p, roster.Heartbeat{Seq: s.lastSeq, Echo: s.echoSeq[p], Relation: roster.Mesh})
			}
		}
		sends, probes := s.roster.Tick(at(ms), roster.LocalState{})
		for _, o := range sends {
			s.echoSeq[o.To] = o.Heartbeat.Seq
		}
		for _, p := range probes {
			s.probeRounds++
			s.roster.ProbeDone(at(ms), p.Node, probesSucceed)
		}
	}
}

func (s *harness) state(node string) roster.State {
	m, _ := s.roster.Member(node)
	return m.State
}

// Guards against false and missed suspicion.
func TestSuspicion(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name  string
		setup func(s *harness)
		now   int
		heard int
		want  roster.State
	}{
		{"all heard", func(s *harness) { s.run(0, 5000, false, "a", "b") }, 5000, 3, roster.Live},
		{"silence of 2.9 s", func(s *harness) {
			s.run(0, 3000, false, "a", "b")
			s.run(3000, 5400, false, "a")
		}, 5400, 3, roster.Live},
		{"silent, probes fail", func(s *harness) {
			s.run(0, 3000, false, "a", "b")
			s.run(3000, 6500, false, "a")
		}, 6500, 2, roster.Suspect},
		{"silent, a probe succeeds", func(s *harness) {
			s.run(0, 3000, false, "a", "b")
			s.run(3000, 6500, true, "a")
		}, 6500, 2, roster.Live},
		{"silent for 6 s, probes succeed", func(s *harness) {
			s.run(0, 3000, false, "a", "b")
			s.run(3000, 9500, true, "a")
		}, 9500, 2, roster.Suspect},
		{"heard again", func(s *harness) {
			s.run(0, 3000, false, "a", "b")
			s.run(3000, 7000, false, "a")
			s.run(7000, 9000, false, "a", "b")
		}, 9000, 3, roster.Live},
		{"this node paused for 10 s", func(s *harness) {
			s.run(0, 3000, false, "a", "b")
			s.run(13_000, 13_200, false)
		}, 13_200, 1, roster.Live},
		{"newer incarnation", func(s *harness) {
			s.run(0, 3000, false, "a", "b")
			s.run(3000, 7000, false, "a")
			s.roster.AcceptIncarnation(at(7000), "b", "2")
		}, 7000, 2, roster.Live},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			s := newHarness()
			tt.setup(s)
			if got := s.state("b"); got != tt.want {
				t.Errorf("state %s, want %s, after %d probes", got, tt.want, s.probeRounds)
			}
			if got := s.roster.HeardCount(at(tt.now)); got != tt.heard {
				t.Errorf("%d nodes heard, want %d", got, tt.heard)
			}
		})
	}
}

// Guards against counting peers that do not receive this node's messages.
func TestOneWayLink(t *testing.T) {
	t.Parallel()
	s := newHarness()
	for ms := 0; ms < 6000; ms += 100 {
		s.lastSeq++
		s.roster.HeartbeatReceived(at(ms), "a", roster.Heartbeat{Seq: s.lastSeq, Relation: roster.Mesh})
		s.roster.Tick(at(ms), roster.LocalState{})
	}
	if got := s.roster.HeardCount(at(6000)); got != 1 || s.roster.MayCommit(at(6000)) {
		t.Errorf("%d nodes heard, may commit %v; want 1, false", got, s.roster.MayCommit(at(6000)))
	}
}

// Guards against a delayed message that is treated as recent.
func TestDelayedConfirmation(t *testing.T) {
	t.Parallel()
	s := newHarness()
	sends, _ := s.roster.Tick(at(0), roster.LocalState{})
	beat := roster.Heartbeat{
		Seq: 1, Echo: sends[0].Heartbeat.Seq, Hold: 200 * time.Millisecond, Relation: roster.Mesh,
		Version: 3, Age: 100 * time.Millisecond,
	}
	asOf, ok := s.roster.HeartbeatReceived(at(5000), sends[0].To, beat)
	if !ok || asOf.After(at(100)) {
		t.Errorf("confirmation at %v (known %v), want at most 100 ms", asOf.Sub(at(0)), ok)
	}
}

// Guards against removed nodes that are still counted, and against removals that are not reported.
func TestHostList(t *testing.T) {
	t.Parallel()
	s := newHarness()
	if gone := s.roster.SetHosts(at(100), entries("self", "a")); len(gone) != 1 || gone[0] != "b" {
		t.Errorf("removed nodes are %v, want b", gone)
	}
	if _, ok := s.roster.DroppedAt("b"); !ok || s.roster.Size() != 2 {
		t.Errorf("size %d, removal of b recorded %v; want 2, true", s.roster.Size(), ok)
	}
	leaving := entries("a")
	leaving[0].State = hosts.Leaving
	s.roster.SetHosts(at(200), leaving)
	if got := s.state("a"); got != roster.Leaving {
		t.Errorf("state %s, want leaving", got)
	}
}
