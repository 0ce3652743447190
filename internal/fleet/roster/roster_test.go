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

func places(nodes, dataCentres int) []roster.Place {
	out := make([]roster.Place, nodes)
	for i := range out {
		out[i] = roster.Place{Node: fmt.Sprintf("n%03d", i), DataCentre: fmt.Sprintf("dc%d", i%dataCentres)}
	}
	return out
}

// Guards against nodes that disagree on their links, against a fleet that falls apart when nodes are
// left out, and against trees that are deeper or wider than the propagation time allows.
func TestTopology(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		all := places(rapid.IntRange(1, 220).Draw(t, "nodes"), rapid.IntRange(1, 3).Draw(t, "data centres"))
		out := sets.New[string]()
		for range rapid.IntRange(0, len(all)/3).Draw(t, "suspects") {
			out.Add(all[rapid.IntRange(0, len(all)-1).Draw(t, "suspect")].Node)
		}
		top := roster.NewTopology(all)
		first := ""
		rel := map[string]map[string]roster.Relation{}
		for _, p := range all {
			if !out.Has(p.Node) {
				rel[p.Node] = top.Neighbours(p.Node, out)
				first = p.Node
			}
		}
		for node, near := range rel {
			for other, r := range near {
				if got := rel[other][node]; got != r.Inverse() {
					t.Fatalf("%s is %q to %s, which is %q to it", other, r, node, got)
				}
			}
		}
		if got := reach(rel, first); got != len(rel) {
			t.Fatalf("%d of %d nodes are connected", got, len(rel))
		}
	})
}

// reach counts the nodes that are connected to first.
func reach(rel map[string]map[string]roster.Relation, first string) int {
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

// Guards against a node of a large fleet that holds too many links.
func TestLinksPerNode(t *testing.T) {
	t.Parallel()
	tests := []struct{ nodes, dataCentres, most int }{{6, 3, 5}, {16, 1, 15}, {24, 3, 10}, {96, 3, 10}, {380, 6, 13}}
	for _, tt := range tests {
		t.Run(fmt.Sprint(tt.nodes), func(t *testing.T) {
			t.Parallel()
			all := places(tt.nodes, tt.dataCentres)
			top := roster.NewTopology(all)
			most := 0
			for _, p := range all {
				most = max(most, len(top.Neighbours(p.Node, nil)))
			}
			if most > tt.most {
				t.Errorf("a node has %d links, want at most %d", most, tt.most)
			}
		})
	}
}

// scene drives one roster with two peers, a and b, that beat each 500 ms.
type scene struct {
	r      *roster.Roster
	seq    int
	echo   map[string]int
	probes int
}

func at(ms int) time.Time { return time.Unix(100, 0).Add(time.Duration(ms) * time.Millisecond) }

func newScene() *scene {
	s := &scene{r: roster.New(roster.Place{Node: "self", DataCentre: "dc"}, 1000, at(0)), echo: map[string]int{}}
	s.r.List(at(0), entries("self", "a", "b"))
	return s
}

func entries(names ...string) []hosts.Host {
	out := make([]hosts.Host, 0, len(names))
	for _, n := range names {
		out = append(out, hosts.Host{Name: n, Kind: hosts.Entry, State: hosts.Live, DataCentre: "dc"})
	}
	return out
}

// run lets time pass in steps of 100 ms; the talking peers beat each 500 ms, and answer probes.
func (s *scene) run(from, to int, answer bool, talking ...string) {
	for ms := from; ms < to; ms += 100 {
		for _, p := range talking {
			if ms%500 == 0 {
				s.seq++
				s.r.Received(at(ms), p, roster.Beat{Seq: s.seq, Echo: s.echo[p], Relation: roster.Mesh})
			}
		}
		sends, probes := s.r.Tick(at(ms), roster.Own{})
		for _, o := range sends {
			s.echo[o.To] = o.Beat.Seq
		}
		for _, p := range probes {
			s.probes++
			s.r.Probed(at(ms), p.Node, answer)
		}
	}
}

func (s *scene) state(node string) roster.State {
	m, _ := s.r.Member(node)
	return m.State
}

// Guards against false and against missed suspicions.
func TestSuspicion(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name  string
		prep  func(s *scene)
		now   int
		heard int
		want  roster.State
	}{
		{"all heard", func(s *scene) { s.run(0, 5000, false, "a", "b") }, 5000, 3, roster.Live},
		{"silence of 2.9 s", func(s *scene) {
			s.run(0, 3000, false, "a", "b")
			s.run(3000, 5400, false, "a")
		}, 5400, 3, roster.Live},
		{"silent, probes fail", func(s *scene) {
			s.run(0, 3000, false, "a", "b")
			s.run(3000, 6500, false, "a")
		}, 6500, 2, roster.Suspect},
		{"silent, a probe reaches it", func(s *scene) {
			s.run(0, 3000, false, "a", "b")
			s.run(3000, 6500, true, "a")
		}, 6500, 2, roster.Live},
		{"silent for 6 s, probes reach it", func(s *scene) {
			s.run(0, 3000, false, "a", "b")
			s.run(3000, 9500, true, "a")
		}, 9500, 2, roster.Suspect},
		{"heard again", func(s *scene) {
			s.run(0, 3000, false, "a", "b")
			s.run(3000, 7000, false, "a")
			s.run(7000, 9000, false, "a", "b")
		}, 9000, 3, roster.Live},
		{"own pause of 10 s", func(s *scene) {
			s.run(0, 3000, false, "a", "b")
			s.run(13_000, 13_200, false)
		}, 13_200, 1, roster.Live},
		{"newer incarnation", func(s *scene) {
			s.run(0, 3000, false, "a", "b")
			s.run(3000, 7000, false, "a")
			s.r.Incarnation(at(7000), "b", "2")
		}, 7000, 2, roster.Live},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			s := newScene()
			tt.prep(s)
			if got := s.state("b"); got != tt.want {
				t.Errorf("state %s, want %s, after %d probes", got, tt.want, s.probes)
			}
			if got := s.r.Heard(at(tt.now)); got != tt.heard {
				t.Errorf("heard %d, want %d", got, tt.heard)
			}
		})
	}
}

// Guards against a node that counts peers to which its own messages do not arrive.
func TestOneWay(t *testing.T) {
	t.Parallel()
	s := newScene()
	for ms := 0; ms < 6000; ms += 100 {
		s.seq++
		s.r.Received(at(ms), "a", roster.Beat{Seq: s.seq, Relation: roster.Mesh})
		s.r.Tick(at(ms), roster.Own{})
	}
	if got := s.r.Heard(at(6000)); got != 1 || s.r.MayCommit(at(6000)) {
		t.Errorf("heard %d, may commit %v; want 1, false", got, s.r.MayCommit(at(6000)))
	}
}

// Guards against a message that was delayed and passes for a young one.
func TestDelayedConfirmation(t *testing.T) {
	t.Parallel()
	s := newScene()
	sends, _ := s.r.Tick(at(0), roster.Own{})
	beat := roster.Beat{
		Seq: 1, Echo: sends[0].Beat.Seq, Hold: 200 * time.Millisecond, Relation: roster.Mesh,
		Version: 3, Age: 100 * time.Millisecond,
	}
	asOf, ok := s.r.Received(at(5000), sends[0].To, beat)
	if !ok || asOf.After(at(100)) {
		t.Errorf("confirmed at %v, %v; want 100 ms at the latest", asOf.Sub(at(0)), ok)
	}
}

// Guards against nodes that are gone but still counted, and against gone nodes that nobody learns of.
func TestList(t *testing.T) {
	t.Parallel()
	s := newScene()
	if gone := s.r.List(at(100), entries("self", "a")); len(gone) != 1 || gone[0] != "b" {
		t.Errorf("gone %v, want b", gone)
	}
	if _, ok := s.r.DroppedAt("b"); !ok || s.r.Size() != 2 {
		t.Errorf("size %d, end of b remembered %v", s.r.Size(), ok)
	}
	leaving := entries("a")
	leaving[0].State = hosts.Leaving
	s.r.List(at(200), leaving)
	if got := s.state("a"); got != roster.Leaving {
		t.Errorf("state %s, want leaving", got)
	}
}
