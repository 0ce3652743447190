package tool_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"geraniumhollow/internal/bench/site"
	"geraniumhollow/internal/conf/apply"
	"geraniumhollow/internal/conf/view"
	"geraniumhollow/internal/core/tasks"
	fake "geraniumhollow/internal/fake/node"
	"geraniumhollow/internal/fake/noise"
	"geraniumhollow/internal/fake/store"
	"geraniumhollow/internal/node/admin"
	"geraniumhollow/internal/node/tool"
	"geraniumhollow/internal/plat/table"
	"geraniumhollow/internal/report/burn"
	"geraniumhollow/internal/report/metric"
	"geraniumhollow/internal/report/reason"
	"github.com/hashicorp/go-hclog"
	"github.com/rogpeppe/go-internal/testscript"
	"github.com/urfave/cli/v3"
)

const operatorKey = "a test key"

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"geraniumhollow": func() {
		app := &cli.Command{Name: "geraniumhollow", Commands: tool.Commands()}
		err := app.Run(context.Background(), os.Args)
		if err != nil {
			fmt.Fprintln(os.Stderr, "geraniumhollow:", err)
		}
		os.Exit(tool.ExitCode(err))
	}})
}

// faultyTable can lose the response to a commit that took effect. It can also drop every commit and
// return table.ErrUnknown, so that the caller cannot tell whether the commit took effect.
type faultyTable struct {
	*store.Store
	failCommits atomic.Bool
}

func (f *faultyTable) Commit(ctx context.Context, txn table.Txn) (table.Revision, error) {
	if f.failCommits.Load() {
		return table.Absent, table.ErrUnknown
	}
	return f.Store.Commit(ctx, txn)
}

// startNode serves a node's operator API and writes its document to the script's directory.
func startNode(env *testscript.Env) error {
	tb := &faultyTable{Store: store.New()}
	configs := apply.New(tb, time.Now)
	var current atomic.Pointer[view.View]
	accept := func(e apply.Entry) { current.Store(view.New(e.Version, e.Document)) }
	ctx, cancel := context.WithCancel(context.Background())
	g := tasks.New(ctx)
	env.Defer(func() {
		cancel()
		_ = g.Wait()
	})
	doc := site.Strygekurv().WithRunners(0).Document(site.Addresses{Instances: []string{"10.0.0.1:80"}})
	e, err := configs.Commit(ctx, 0, "first", doc)
	if err != nil {
		return err
	}
	accept(e)
	reasons := reason.New(10, time.Now)
	reasons.Add(reason.Route, "presse-lm-000", "closed", "a member is missing", reason.Name("host", "host-000-01"), reason.Int("age_ms", 3100))
	counts := burn.New()
	counts.Add(time.Now(), doc.Objectives, burn.Request{Account: "account-00", Model: "presse-lm", DataCentre: "vejle", Failed: true})
	if err := burn.NewArchive(tb.Objects(), counts, "node-1", "1").Write(ctx, time.Now()); err != nil {
		return err
	}
	srv, err := admin.New(ctx, admin.Deps{
		Log: hclog.NewNullLogger(), Configs: configs, View: current.Load, Metrics: metric.New().Handler(), Reasons: reasons,
		Node: fake.New("node-0", "vejle", current.Load, accept), KeyHash: view.HashKey(operatorKey), Now: time.Now,
		Burn: func(ctx context.Context) (burn.Snapshots, error) { return burn.Load(ctx, tb.Objects(), time.Now()) },
	})
	if err != nil {
		return err
	}
	ln, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	g.Go("operators", func(ctx context.Context) error { return srv.Serve(ctx, ln) })
	env.Values["table"] = tb
	env.Setenv("GERANIUMHOLLOW_OPERATOR_ADDRESS", ln.Addr().String())
	env.Setenv("GERANIUMHOLLOW_OPERATOR_KEY", operatorKey)
	env.Setenv("GERANIUMHOLLOW_AUTHOR", "Asta")
	raw, err := json.Marshal(doc)
	if err != nil {
		return err
	}
	return os.WriteFile(env.WorkDir+"/doc.json", raw, 0o600)
}

// injectFault implements the script command table. Its argument is down or up for an outage, lose to
// lose the response to the next commit, or swallow to drop all commits.
func injectFault(ts *testscript.TestScript, _ bool, args []string) {
	tb, _ := ts.Value("table").(*faultyTable)
	switch args[0] {
	case "down", "up":
		tb.SetDown(args[0] == "down")
	case "lose":
		tb.LoseResponses(1)
	case "swallow":
		tb.failCommits.Store(true)
	default:
		ts.Fatalf("unknown fault %q", args[0])
	}
}

// checkExitCode implements the script command code: it runs a command and checks its exit code.
func checkExitCode(ts *testscript.TestScript, _ bool, args []string) {
	err := ts.Exec(args[1], args[2:]...)
	got := "0"
	if err != nil {
		got = fmt.Sprint(err)
	}
	if got != args[0] && got != "exit status "+args[0] {
		ts.Fatalf("got %s, want exit status %s", got, args[0])
	}
}

// Guards against commands that make the wrong change, hide a failure from a script, or leave an
// operator without a next step.
func TestScripts(t *testing.T) {
	malformed := noise.Serve(t, noise.Malformed("", "{}")["status 000"])
	const maxResponseBytes, mostSent = 64 << 20, 256 << 20
	flood, sent := noise.Flood(t, "HTTP/1.1 200 OK\r\n\r\n", "x", mostSent)
	t.Cleanup(func() {
		if n := sent(); n > maxResponseBytes+noise.Buffered(t) {
			t.Errorf("%d bytes of an answer without end were taken", n)
		}
	})
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			env.Setenv("MALFORMED_ADDRESS", malformed)
			env.Setenv("FLOOD_ADDRESS", flood)
			return startNode(env)
		},
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){"table": injectFault, "code": checkExitCode},
	})
}
