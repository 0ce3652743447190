package detour_test

import (
	"context"
	"testing"
	"time"

	"geraniumhollow/internal/core/tasks"
	"geraniumhollow/internal/node/detour"
	"github.com/hashicorp/go-hclog"
)

// Guards against a caller of Confirm that waits without end for a check that is no longer needed.
func TestConfirmWithoutCheck(t *testing.T) {
	t.Parallel()
	d := detour.New(detour.Config{Servers: func() []detour.Server { return nil }, Nodes: func() []detour.Node { return nil }, Log: hclog.NewNullLogger()})
	ctx, cancel := context.WithCancel(t.Context())
	g := tasks.New(ctx)
	confirmed := make(chan bool, 1)
	g.Go("confirm", func(ctx context.Context) error { confirmed <- d.Confirm(ctx); return nil })
	time.Sleep(50 * time.Millisecond)
	d.Exchanged("s", true, nil)
	g.Go("run", d.Run)
	select {
	case ok := <-confirmed:
		if !ok {
			t.Error("a server has answered, and is not reached")
		}
	case <-time.After(2 * time.Second):
		t.Error("Confirm still waits after 2 s")
	}
	cancel()
	_ = g.Wait()
}
