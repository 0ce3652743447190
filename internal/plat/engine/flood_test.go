package engine_test

import (
	"context"
	"testing"
	"time"

	"geraniumhollow/internal/fake/noise"
	"geraniumhollow/internal/plat/engine"
	"github.com/cockroachdb/errors"
)

// Bounds of the flood test. A report may have 8 MiB.
const (
	mostSent  = 256 << 20
	mostTaken = 8 << 20
	floodTime = 30 * time.Second
)

// Guards against an engine whose answer has no end and is kept until the node has no memory left.
func TestAnswersWithoutEnd(t *testing.T) {
	t.Parallel()
	const head = "HTTP/1.1 200 OK\r\nX-Instance: i1\r\n\r\n"
	calls := map[string]func(ctx context.Context, address string) error{
		"report": func(ctx context.Context, address string) error {
			_, err := engine.New(address, "").Load(ctx)
			return err
		},
		"hello": func(ctx context.Context, address string) error {
			_, err := engine.New(address, "i1").Complete(ctx, engine.Job{})
			return err
		},
		"order": func(ctx context.Context, address string) error {
			return engine.New(address, "").Order(ctx, engine.Order{Kind: engine.OrderDrop})
		},
	}
	for name, call := range calls {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address, sent := noise.Flood(t, head, "x", mostSent)
			ctx, cancel := context.WithTimeout(t.Context(), floodTime)
			defer cancel()
			err := call(ctx, address)
			if wantErr := name != "order"; (err != nil) != wantErr || errors.Is(err, context.DeadlineExceeded) {
				t.Errorf("got %v", err)
			}
			if n := sent(); n > mostTaken+noise.Buffered(t) {
				t.Errorf("%d bytes were taken", n)
			}
		})
	}
}

// Guards against a process that ends because an engine answers the hello of a connection without a body.
func TestHelloWithoutBody(t *testing.T) {
	t.Parallel()
	c := engine.New(noise.Serve(t, "HTTP/1.1 204 No Content\r\nX-Instance: i2\r\n\r\n"), "i1")
	t.Cleanup(c.Close)
	if _, err := c.Complete(t.Context(), engine.Job{}); !errors.Is(err, engine.ErrInstanceChanged) {
		t.Errorf("got %v, want another instance", err)
	}
}
