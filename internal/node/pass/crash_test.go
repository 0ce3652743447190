package pass_test

import (
	"context"
	"fmt"
	"testing"

	"geraniumhollow/internal/core/tasks"
	"geraniumhollow/internal/fleet/index"
	"geraniumhollow/internal/fleet/server"
	"geraniumhollow/internal/node/pass"
	"geraniumhollow/internal/route/crash"
	"github.com/hashicorp/go-hclog"
)

// fleet is some nodes that tell each other of suspicions, before servers of which some have died.
type fleet struct {
	nodes []*pass.Crashes
	dead  map[string]bool
}

func newFleet(t *testing.T, n int) (*fleet, *tasks.Group) {
	t.Helper()
	f := &fleet{dead: make(map[string]bool)}
	g := tasks.New(context.Background())
	for i := range n {
		f.nodes = append(f.nodes, pass.NewCrashes(pass.CrashDeps{
			Dead:  func(_ context.Context, e *index.Entry) bool { return f.dead[e.ID] },
			Share: func(list []crash.Suspicion) { f.tell(i, list) },
			Group: func() *tasks.Group { return g }, Log: hclog.NewNullLogger(),
		}))
	}
	return f, g
}

func (f *fleet) tell(from int, list []crash.Suspicion) {
	for i, n := range f.nodes {
		if i != from {
			n.Learn(fmt.Sprint(from), list)
		}
	}
}

func entry(id string) *index.Entry { return &index.Entry{Info: server.Info{ID: id}} }

// Guards against a request that crashes one server after the other, sent through one node after the other.
func TestCrashingRequest(t *testing.T) {
	t.Parallel()
	f, g := newFleet(t, 3)
	for i, n := range f.nodes {
		if refused, _ := n.Refused("bad"); refused {
			t.Fatalf("refused after %d crashes", i)
		}
		id := fmt.Sprint("server", i)
		run := n.Begin("bad", id)
		f.dead[id] = true
		n.End(run, "bad", entry(id), pass.Failed, true)
		if err := g.Wait(); err != nil {
			t.Fatal(err)
		}
	}
	for i, n := range f.nodes {
		if refused, crashes := n.Refused("bad"); !refused || crashes != 3 {
			t.Errorf("node %d: refused %v after %d crashes", i, refused, crashes)
		}
		if refused, _ := n.Refused("good"); refused {
			t.Errorf("node %d refuses another request", i)
		}
	}
}

// Guards against requests that are suspected because connections broke, of servers that live.
func TestBrokenConnections(t *testing.T) {
	t.Parallel()
	f, g := newFleet(t, 1)
	for i := range 6 {
		id := fmt.Sprint("server", i)
		run := f.nodes[0].Begin("r", id)
		f.nodes[0].End(run, "r", entry(id), pass.Failed, true)
	}
	if err := g.Wait(); err != nil {
		t.Fatal(err)
	}
	if refused, crashes := f.nodes[0].Refused("r"); refused || crashes > 0 {
		t.Errorf("refused %v after %d crashes", refused, crashes)
	}
}

// Guards against a request that stays suspected after it has run to its end.
func TestClearedRequest(t *testing.T) {
	t.Parallel()
	f, g := newFleet(t, 2)
	n := f.nodes[0]
	run := n.Begin("r", "a")
	f.dead["a"] = true
	n.End(run, "r", entry("a"), pass.Failed, true)
	if err := g.Wait(); err != nil {
		t.Fatal(err)
	}
	n.End(n.Begin("r", "b"), "r", entry("b"), pass.Served, false)
	for i, n := range f.nodes {
		if _, crashes := n.Refused("r"); crashes > 0 {
			t.Errorf("node %d counts %d crashes after the request ran to its end", i, crashes)
		}
	}
}
