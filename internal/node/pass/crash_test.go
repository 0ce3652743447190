package pass_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"geraniumhollow/internal/core/fault"
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
	mu          sync.Mutex
	deadServers map[string]bool
	silent      map[string]int
	trials      map[crash.Part]int
	storeAway   bool
	// stranded is set while the connections of the nodes to all servers are refused.
	stranded atomic.Bool
}

func newFleet(t *testing.T, n int) (*fleet, *tasks.Group) {
	t.Helper()
	f := &fleet{deadServers: make(map[string]bool), silent: make(map[string]int), trials: make(map[crash.Part]int)}
	g := tasks.New(context.Background())
	for i := range n {
		n, err := pass.NewCrashTracker(pass.CrashTrackerDeps{
			Probe:      func(_ context.Context, e *index.Entry) pass.Liveness { return f.probe(e.ID) },
			Confirm:    func(context.Context) bool { return !f.stranded.Load() },
			Share:      func(found crash.Findings) { f.share(i, found) },
			ClaimTrial: f.claim,
			Group:      func() *tasks.Group { return g }, Log: hclog.NewNullLogger(),
		})
		if err != nil {
			t.Fatal(err)
		}
		f.nodes = append(f.nodes, n)
	}
	return f, g
}

// kill ends a server, which does not answer the given number of probes.
func (f *fleet) kill(id string, silent int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.deadServers[id], f.silent[id] = true, silent
}

// probe finds a server that has died dead and any other alive, unless it is silent for a number of probes.
func (f *fleet) probe(id string) pass.Liveness {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.silent[id]--
	switch {
	case f.silent[id] >= 0:
		return pass.LivenessUnknown
	case f.deadServers[id] || f.stranded.Load():
		return pass.Dead
	default:
		return pass.Alive
	}
}

func (f *fleet) share(from int, found crash.Findings) {
	for i, n := range f.nodes {
		if i != from {
			n.Learn(fmt.Sprint(from), found)
		}
	}
}

// claim grants each trial of a part once, unless the store is away.
func (f *fleet) claim(_ context.Context, p crash.Part, number int) bool {
	if f.storeAway || f.trials[p] >= number {
		return false
	}
	f.trials[p] = number
	return true
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
		f.kill(id, 0)
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

// Guards against suspecting the requests of a process because an earlier one with the same ID has died.
func TestDeathOfEarlierProcess(t *testing.T) {
	t.Parallel()
	f, g := newFleet(t, 1)
	earlier, later := entry("server"), entry("server")
	earlier.StartedAt, later.StartedAt = time.UnixMilli(1000), time.UnixMilli(2000)
	run := f.nodes[0].StartRunAt("earlier", earlier)
	f.nodes[0].StartRunAt("later", later)
	f.kill("server", 0)
	f.nodes[0].EndRun(run, "earlier", earlier, pass.Failed, true)
	if err := g.Wait(); err != nil {
		t.Fatal(err)
	}
	for id, want := range map[crash.Fingerprint]int{"earlier": 1, "later": 0} {
		if _, crashes := f.nodes[0].Refused(id); crashes != want {
			t.Errorf("%s: %d crashes, want %d", id, crashes, want)
		}
	}
}

// strandedTime is how long a node has lost all servers.
const strandedTime = 100 * time.Millisecond

// Guards against suspecting a request because connections to live servers broke, also if the node has lost all servers.
func TestBrokenConnections(t *testing.T) {
	t.Parallel()
	for _, stranded := range []bool{false, true} {
		f, g := newFleet(t, 1)
		f.stranded.Store(stranded)
		for i := range 6 {
			id := fmt.Sprint("server", i)
			run := f.nodes[0].StartRun("r", id)
			f.nodes[0].EndRun(run, "r", entry(id), pass.Failed, true)
		}
		time.AfterFunc(strandedTime, func() { f.stranded.Store(false) })
		if err := g.Wait(); err != nil {
			t.Fatal(err)
		}
		if refused, crashes := f.nodes[0].Refused("r"); refused || crashes > 0 {
			t.Errorf("stranded %v: refused %v after %d crashes", stranded, refused, crashes)
		}
	}
}

// Guards against a part of prompts that crashes one server after another because each request that has it is new, and
// goes through another node.
func TestCrashingPart(t *testing.T) {
	t.Parallel()
	f, g := newFleet(t, 3)
	bad, sound := []crash.Part{"f", "x"}, []crash.Part{"f"}
	for i, n := range f.nodes[:2] {
		id := fmt.Sprint("server", i)
		f.kill(id, 0)
		sharing := n.StartPrompt(crash.Fingerprint(fmt.Sprint("sound", i)), sound, id, func(error) {})
		run := n.StartPrompt(crash.Fingerprint(fmt.Sprint("bad", i)), bad, id, func(error) {})
		n.AnswerBegan(run)
		n.EndRun(sharing, crash.Fingerprint(fmt.Sprint("sound", i)), entry(id), pass.Failed, true)
		n.EndRun(run, crash.Fingerprint(fmt.Sprint("bad", i)), entry(id), pass.Failed, true)
		if err := g.Wait(); err != nil {
			t.Fatal(err)
		}
		time.Sleep(simultaneous)
	}
	for i, n := range f.nodes {
		if refusal := n.Admit(t.Context(), "r", bad); refusal == nil || refusal.Outcome() != fault.NotRun || refusal.RetryAfter() <= 0 {
			t.Errorf("node %d: a request with the part is answered with %v", i, refusal)
		}
		if refusal := n.Admit(t.Context(), "r", sound); refusal != nil {
			t.Errorf("node %d: a request with the first part only is refused: %v", i, refusal)
		}
	}
}

// simultaneous is longer than the time in which deaths count as one.
const simultaneous = 120 * time.Millisecond

// Guards against a death that is missed because the server answers nothing until it is back, and against one that is
// blamed on an attempt that broke while the server lived.
func TestDeathOfSilentServer(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f, _ := newFleet(t, 1)
		n := f.nodes[0]
		// allProbes is longer than all probes of a server take.
		const allProbes = 8 * time.Second
		end := func(request crash.Fingerprint, server string, o pass.Outcome) {
			n.EndRun(n.StartRun(request, server), request, entry(server), o, true)
			time.Sleep(allProbes)
		}
		for i, o := range []pass.Outcome{pass.Failed, pass.Stalled, pass.Failed} {
			id := fmt.Sprint("server", i)
			f.kill(id, 3)
			end("bad", id, o)
		}
		if refused, crashes := n.Refused("bad"); !refused {
			t.Errorf("not refused after %d crashes of 3 servers that were silent for 3 probes", crashes)
		}
		end("sound", "alive", pass.Failed)
		f.kill("alive", 0)
		end("other", "alive", pass.Failed)
		if _, crashes := n.Refused("sound"); crashes > 0 {
			t.Error("an attempt that broke while the server lived is blamed for its death")
		}
	})
}

// Guards against attempts with a bad part that go on to crash servers after the part is known, and against the end of
// attempts that servers have begun to answer.
func TestQuarantineCancelsWaiting(t *testing.T) {
	t.Parallel()
	f, _ := newFleet(t, 2)
	cancelled := make(map[string]bool)
	start := func(name string, parts ...crash.Part) crash.RunID {
		return f.nodes[0].StartPrompt(crash.Fingerprint(name), parts, "s", func(error) { cancelled[name] = true })
	}
	start("bad", "f", "x")
	start("sound", "f")
	f.nodes[0].AnswerBegan(start("answering", "f", "x"))
	f.nodes[0].Learn("1", crash.Findings{Quarantines: []crash.Quarantine{{Part: "x"}}})
	if !cancelled["bad"] || cancelled["sound"] || cancelled["answering"] {
		t.Errorf("cancelled: %v", cancelled)
	}
}

// Guards against trials of one part on several nodes, trials that nobody granted because the store is away, and a part
// that stays quarantined on some nodes after it was answered.
func TestTrialOfQuarantinedPart(t *testing.T) {
	t.Parallel()
	f, g := newFleet(t, 4)
	bad := []crash.Part{"f", "x"}
	for _, n := range f.nodes {
		n.Learn("x", crash.Findings{Quarantines: []crash.Quarantine{{Part: "x", Age: time.Minute}}})
	}
	f.storeAway = true
	if f.nodes[0].Admit(t.Context(), "r", bad) == nil {
		t.Error("a trial began without the store")
	}
	f.storeAway = false
	admitted := 0
	for range 3 {
		for _, n := range f.nodes[1:] {
			if n.Admit(t.Context(), "r", bad) == nil {
				admitted++
			}
		}
	}
	if admitted != 1 {
		t.Errorf("%d trials began, want 1", admitted)
	}
	run := f.nodes[1].StartPrompt("r", bad, "s", func(error) {})
	f.nodes[1].EndRun(run, "r", entry("s"), pass.Served, false)
	if err := g.Wait(); err != nil {
		t.Fatal(err)
	}
	for i, n := range f.nodes {
		if refusal := n.Admit(t.Context(), "r", bad); refusal != nil {
			t.Errorf("node %d refuses the part after it was answered: %v", i, refusal)
		}
	}
}

// Guards against a request that stays suspected after it has completed.
func TestClearedRequest(t *testing.T) {
	t.Parallel()
	f, g := newFleet(t, 2)
	n := f.nodes[0]
	run := n.StartRun("r", "a")
	f.kill("a", 0)
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
