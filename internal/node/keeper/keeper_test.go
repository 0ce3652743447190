package keeper_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"geraniumhollow/internal/core/tasks"
	"geraniumhollow/internal/fake/store"
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

var errUnreachable = errors.New("no backend server")

func (unreachableEngines) Order(context.Context, group.Order) (group.Outcome, error) {
	return group.Unknown, errUnreachable
}

func (unreachableEngines) Report(context.Context, group.Probe) (server.Report, error) {
	return server.Report{}, errUnreachable
}

// Guards against a keeper that keeps the duty while the store is down, or does not acquire it again afterwards.
func TestReacquiresDutyAfterStoreOutage(t *testing.T) {
	t.Parallel()
	table, registry := store.New(), index.New()
	k := keeper.New(keeper.Config{
		Node: "a/1", Table: table, Engines: unreachableEngines{}, View: registry.View,
		Service:   func() (string, *batch.Engine) { return "llm", &batch.Engine{} },
		StallTime: time.Second, HeartbeatInterval: time.Second,
		ReadHeartbeats: func(context.Context) (map[string]uint64, error) { return map[string]uint64{}, nil },
		ProbeFromPeers: func(context.Context, group.Probe) (int, int) { return 0, 0 },
		Announce:       func(uint64, bool) {}, HasPeerExcept: func(string) bool { return false },
		IsStandby: func() bool { return true }, Traffic: func() bool { return false },
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
