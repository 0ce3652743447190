package httpd_test

import (
	"context"
	"net"
	"testing"
	"time"

	"geraniumhollow/internal/core/httpd"
	"geraniumhollow/internal/core/tasks"
	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// Guards against a server that runs forever because its context is done before it registers its
// listener, which happened to a node stopped right after it started.
func TestServeEnds(t *testing.T) {
	t.Parallel()
	const workers, rounds = 64, 50
	g := tasks.New(t.Context())
	for range workers {
		g.Go("worker", func(context.Context) error {
			for range rounds {
				if err := startAndStop(t); err != nil {
					return err
				}
			}
			return nil
		})
	}
	ended := make(chan error, 1)
	tasks.New(t.Context()).Go("wait", func(context.Context) error {
		ended <- g.Wait()
		return nil
	})
	select {
	case err := <-ended:
		if err != nil {
			t.Fatal(err)
		}
	case <-time.After(30 * time.Second):
		t.Fatal("a server did not stop after its context was canceled")
	}
}

// startAndStop runs a server whose context is canceled while the server starts.
func startAndStop(t *testing.T) error {
	t.Helper()
	var lc net.ListenConfig
	ln, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Newf("listen: %w", err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	tasks.New(t.Context()).Go("cancel", func(context.Context) error {
		cancel()
		return nil
	})
	return httpd.Serve(ctx, &fasthttp.Server{Handler: func(*fasthttp.RequestCtx) {}}, ln)
}
