package keeper_test

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"geraniumhollow/internal/core/tasks"
	"geraniumhollow/internal/fake/store"
	"geraniumhollow/internal/fleet/duty"
	"geraniumhollow/internal/fleet/index"
	"geraniumhollow/internal/fleet/server"
	"geraniumhollow/internal/node/keeper"
	"geraniumhollow/internal/plan/group"
	"geraniumhollow/internal/report/metric"
	"geraniumhollow/internal/route/batch"
	"github.com/hashicorp/go-hclog"
)

// unreachableEngines fails all calls to backend servers.
type unreachableEngines struct{}

// engine has one model, whose groups have two servers.
var engine = &batch.Engine{Models: []batch.Model{{Name: "m", Hosts: 2, TimeFactor: 1, WorkFraction: 1}}}

var errUnreachable = errors.New("no backend server")

func (unreachableEngines) Order(context.Context, group.Order) (group.Outcome, error) {
	return group.Unknown, errUnreachable
}

func (unreachableEngines) Report(context.Context, group.Probe) (server.Report, error) {
	return server.Report{}, errUnreachable
}

func (unreachableEngines) Try(context.Context, group.Probe, func()) error { return errUnreachable }

// startKeeper starts a keeper that reaches no backend server.
func startKeeper(t *testing.T, table *store.Store, registry *index.Index) *keeper.Keeper {
	t.Helper()
	return startKeeperWith(t, table, registry, unreachableEngines{}, tasks.Sleep)
}

// startKeeperWith starts a keeper with backend servers and a function that sleeps.
func startKeeperWith(
	t *testing.T, table *store.Store, registry *index.Index, engines keeper.Engines, sleep func(context.Context, time.Duration) bool,
) *keeper.Keeper {
	t.Helper()
	k := keeper.New(keeper.Config{
		Node: "a/1", Table: table, Engines: engines, View: registry.View,
		Service:   func() (string, *batch.Engine) { return "llm", engine },
		StallTime: time.Second, HeartbeatInterval: time.Second,
		ReadHeartbeats: func(context.Context) (map[string]uint64, error) { return map[string]uint64{}, nil },
		ProbeFromPeers: func(context.Context, group.Probe) (int, int) { return 0, 0 },
		Confirm:        func(context.Context) bool { return true }, Heard: func(string) {}, Isolated: func() bool { return false },
		Announce: func(duty.HolderReport) {}, HasPeerExcept: func(string) bool { return false },
		IsStandby: func() bool { return true }, Traffic: func() bool { return false }, Sleep: sleep,
		Metrics: metric.New(), Log: hclog.NewNullLogger(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	g := tasks.New(ctx)
	g.Go("keeper", k.Run)
	t.Cleanup(func() {
		cancel()
		if err := g.Wait(); err != nil {
			t.Error(err)
		}
	})
	return k
}

// Guards against a keeper that keeps the duty while the store is down, or does not acquire it again afterwards.
func TestReacquiresDutyAfterStoreOutage(t *testing.T) {
	t.Parallel()
	table, registry := store.New(), index.New()
	k := startKeeper(t, table, registry)
	await := func(holds bool) {
		t.Helper()
		for end := time.Now().Add(10 * time.Second); k.Holds() != holds; time.Sleep(20 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("keeper.Holds() is still %v after 10 s", !holds)
			}
		}
	}
	await(true)
	time.Sleep(300 * time.Millisecond) // Time for the keeper to read the plan.
	table.SetDown(true)
	await(false)
	time.Sleep(300 * time.Millisecond) // Time for the keeper to discard its decider.
	table.SetDown(false)
	await(true)
}

// Guards against a keeper that takes over an older plan than it has stored itself, and forgets formations that no server reports.
func TestWritesPlanAgainAfterRestoration(t *testing.T) {
	t.Parallel()
	table, registry := store.New(), index.New()
	restore := table.Copy()
	c := index.Change{Full: true}
	for _, id := range []string{"s0", "s1"} {
		c.Put = append(c.Put, server.Info{ID: id, Service: "llm", Address: id, Domain: "d", StagedModels: []string{"m"}})
	}
	registry.Apply(time.Now(), c)
	startKeeper(t, table, registry)
	// awaitPlan waits until the store has a plan of an era with one formation.
	awaitPlan := func(era uint64) group.Formation {
		t.Helper()
		for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			rows := make(group.Rows)
			list, err := table.Scan(t.Context(), "plan/llm/", "", 10)
			for _, r := range list {
				rows[strings.TrimPrefix(r.Key, "plan/llm/")] = r.Value
			}
			plan, perr := rows.Plan()
			if err != nil || perr != nil {
				t.Fatal(err, perr)
			}
			if len(plan.Current) == 1 && plan.Fence > duty.FirstOfEra(era) {
				return plan.Current[0]
			}
		}
		t.Fatalf("no plan of era %d after 10 s", era)
		return group.Formation{}
	}
	before := awaitPlan(1)
	restore()
	if after := awaitPlan(2); after.Epoch != before.Epoch {
		t.Errorf("the plan has formation %+v, want %+v", after, before)
	}
}
