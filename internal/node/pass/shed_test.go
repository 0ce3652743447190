package pass_test

import (
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"geraniumhollow/internal/core/tasks"
	"geraniumhollow/internal/node/front"
	"geraniumhollow/internal/node/pass"
	"geraniumhollow/internal/plat/conns"
	"geraniumhollow/internal/route/match"
	"geraniumhollow/internal/route/retry"
	"geraniumhollow/internal/route/shed"
	"github.com/hashicorp/go-hclog"
)

// noSource is what a body arrives on that has arrived.
type noSource struct{}

func (noSource) Shed() {}

// runsNothing is a node to which no call must get.
type runsNothing struct{ t *testing.T }

func (h runsNothing) Handle(_ context.Context, _ *front.Request, w *front.Writer) {
	h.t.Error("a call was handled")
	w.Abort()
}

// Guards against reporting a call as one that may have run when another node has refused it before its body arrived.
func TestBodyIsShedByNode(t *testing.T) {
	t.Parallel()
	const memory = 64 << 10
	bodies := shed.New(memory)
	held := bodies.Open(time.Now(), "", memory/2, memory, noSource{})
	if !held.Grow(time.Now(), memory/2) || !held.Complete() {
		t.Fatal("a body that is alone was shed")
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := front.New(front.Config{
		Handler: runsNothing{t}, Limits: func() front.Limits { return front.Limits{} }, Bodies: bodies,
		MarkShed: pass.MarkShed, Log: hclog.NewNullLogger(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	g := tasks.New(ctx)
	g.Go("node", func(ctx context.Context) error { return srv.Run(ctx, ln) })
	t.Cleanup(func() {
		cancel()
		_ = g.Wait()
	})
	route := match.Route{Name: "r", Kind: match.Once, MaxAttempts: 2, Timeout: 5 * time.Second}
	node := newDetouredRelay(t, toNode{conns.New(ln.Addr().String(), conns.Options{})}, func(context.Context, *pass.Call) {}, route, retry.NewBudgetWith(0, 5))
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+node+"/x", strings.NewReader(strings.Repeat("x", memory)))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h"
	req.Header.Set("Id", "1")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" {
		t.Errorf("got %d, header %v", resp.StatusCode, resp.Header)
	}
}
