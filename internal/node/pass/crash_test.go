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

// fleet is a set of nodes that share their suspected requests, and the set of servers that have died.
type fleet struct {
	nodes       []*pass.CrashTracker
	deadServers map[string]bool
}

func newFleet(t *testing.T, n int) (*fleet, *tasks.Group) {
	t.Helper()
	f := &fleet{deadServers: make(map[string]bool)}
	g := tasks.New(context.Background())
	for i := range n {
		f.nodes = append(f.nodes, pass.NewCrashTracker(pass.CrashTrackerDeps{
			HasDied: func(_ context.Context, e *index.Entry) bool { return f.deadServers[e.ID] },
			Share:   func(list []crash.Suspicion) { f.share(i, list) },
			Group:   func() *tasks.Group { return g }, Log: hclog.NewNullLogger(),
		}))
	}
	return f, g
}

func (f *fleet) share(from int, list []crash.Suspicion) {
	for i, n := range f.nodes {
		if i != from {
			n.Learn(fmt.Sprint(from), list)
		}
	}
}

func entry(id string) *index.Entry { return &index.Entry{Info: server.Info{ID: id}} }

// Guards against a request that crashes one server after another because it is sent through a different node each
// time.
func TestCrashingRequest(t *testing.T) {
	t.Parallel()
	f, g := newFleet(t, 3)
	for i, n := range f.nodes {
		if refused, _ := n.Refused("bad"); refused {
			t.Fatalf("refused after %d crashes", i)
		}
		id := fmt.Sprint("server", i)
		run := n.StartRun("bad", id)
		f.deadServers[id] = true
		n.EndRun(run, "bad", entry(id), pass.Failed, true)
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

// Guards against suspecting a request because connections to live servers broke.
func TestBrokenConnections(t *testing.T) {
	t.Parallel()
	f, g := newFleet(t, 1)
	for i := range 6 {
		id := fmt.Sprint("server", i)
		run := f.nodes[0].StartRun("r", id)
		f.nodes[0].EndRun(run, "r", entry(id), pass.Failed, true)
	}
	if err := g.Wait(); err != nil {
		t.Fatal(err)
	}
	if refused, crashes := f.nodes[0].Refused("r"); refused || crashes > 0 {
		t.Errorf("refused %v after %d crashes", refused, crashes)
	}
}

// Guards against a request that stays suspected after it has completed.
func TestClearedRequest(t *testing.T) {
	t.Parallel()
	f, g := newFleet(t, 2)
	n := f.nodes[0]
	run := n.StartRun("r", "a")
	f.deadServers["a"] = true
	n.EndRun(run, "r", entry("a"), pass.Failed, true)
	if err := g.Wait(); err != nil {
		t.Fatal(err)
	}
	n.EndRun(n.StartRun("r", "b"), "r", entry("b"), pass.Served, false)
	for i, n := range f.nodes {
		if _, crashes := n.Refused("r"); crashes > 0 {
			t.Errorf("node %d counts %d crashes after the request ran to its end", i, crashes)
		}
	}
}
