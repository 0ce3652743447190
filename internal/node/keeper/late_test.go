package keeper_test

import (
	"context"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"geraniumhollow/internal/core/tasks"
	"geraniumhollow/internal/fake/store"
	"geraniumhollow/internal/fleet/index"
	"geraniumhollow/internal/fleet/server"
	"geraniumhollow/internal/node/keeper"
	"geraniumhollow/internal/plan/group"
	"github.com/cockroachdb/errors"
)

// slowEngines are backend servers that execute orders at once and answer probes after a delay.
type slowEngines struct {
	registry *index.Index

	mu      sync.Mutex
	delay   time.Duration
	servers map[string]server.Info
}

var _ keeper.Engines = (*slowEngines)(nil)

func newSlowEngines(registry *index.Index, ids ...string) *slowEngines {
	e := &slowEngines{registry: registry, servers: make(map[string]server.Info)}
	for _, id := range ids {
		e.servers[id] = server.Info{ID: id, Service: "llm", Address: id, Domain: "d", StartedAt: time.UnixMilli(time.Now().UnixMilli()), StagedModels: []string{"m"}}
	}
	e.register()
	return e
}

// register updates the registry.
func (e *slowEngines) register() {
	c := index.Change{Full: true}
	for _, i := range e.servers {
		c.Put = append(c.Put, i)
	}
	e.registry.Apply(time.Now(), c)
}

// Order implements keeper.Engines.
func (e *slowEngines) Order(_ context.Context, o group.Order) (group.Outcome, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	i := e.servers[o.Server]
	switch o.Kind {
	case group.Join:
		i.Model = o.Model
		i.Member = server.Member{Group: o.Group, Epoch: o.Epoch, Rank: slices.Index(o.Members, o.Server), State: server.Ready}
	case group.Open:
		i.Member.State = server.Open
	case group.Close:
		i.Member.State = server.Ready
	case group.Leave:
		i.Member = server.Member{}
	case group.Stage:
	}
	e.servers[o.Server] = i
	e.register()
	return group.Accepted, nil
}

// Report implements keeper.Engines.
func (e *slowEngines) Report(ctx context.Context, p group.Probe) (server.Report, error) {
	e.mu.Lock()
	delay := e.delay
	e.mu.Unlock()
	if !tasks.Sleep(ctx, delay) {
		return server.Report{}, errors.Newf("report: %w", ctx.Err())
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return server.Report{Info: e.servers[p.Server], Slowdown: 1}, nil
}

// Try implements keeper.Engines.
func (e *slowEngines) Try(context.Context, group.Probe, func()) error { return nil }

// setDelay sets the delay of probes.
func (e *slowEngines) setDelay(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.delay = d
}

// storedGroup returns the only group of the stored plan, or one without a name.
func storedGroup(t *testing.T, table *store.Store) group.Formation {
	t.Helper()
	rows := make(group.Rows)
	list, err := table.Scan(t.Context(), "plan/llm/", "", 10)
	for _, r := range list {
		rows[strings.TrimPrefix(r.Key, "plan/llm/")] = r.Value
	}
	plan, perr := rows.Plan()
	if err != nil || perr != nil {
		t.Fatal(err, perr)
	}
	if len(plan.Current) != 1 {
		return group.Formation{}
	}
	return plan.Current[0]
}

// Guards against a keeper that dissolves a group because it was not scheduled while the members answered its probes: the time of the
// probes was over before it could read the answers (TestOddRegistrations, issue 46).
func TestProbesOfKeeperThatWasNotScheduled(t *testing.T) {
	t.Parallel()
	const stall = 400 * time.Millisecond
	table, registry := store.New(), index.New()
	engines := newSlowEngines(registry, "s0", "s1")
	// Every second step of a probe ends late.
	var mu sync.Mutex
	stalls, steps := false, 0
	sleep := func(ctx context.Context, d time.Duration) bool {
		mu.Lock()
		if steps++; stalls && steps%2 == 0 {
			d += stall
		}
		mu.Unlock()
		return tasks.Sleep(ctx, d)
	}
	k := startKeeperWith(t, table, registry, engines, sleep)
	var before group.Formation
	for end := time.Now().Add(10 * time.Second); before.Group == "" || !isOpen(registry, before); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("no group is open after 10 s")
		}
		before = storedGroup(t, table)
	}
	mu.Lock()
	stalls = true
	mu.Unlock()
	engines.setDelay(stall)
	for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		k.Suspect(index.Formation{Group: before.Group, Epoch: before.Epoch})
	}
	if after := storedGroup(t, table); after.Epoch != before.Epoch {
		t.Errorf("the plan has %+v, want %+v", after, before)
	}
}

// isOpen reports whether the head of a formation is open.
func isOpen(registry *index.Index, f group.Formation) bool {
	e, ok := registry.View().Servers[f.Head()]
	return ok && e.Member.InFormation(f.Group, f.Epoch) && e.Member.State == server.Open
}
