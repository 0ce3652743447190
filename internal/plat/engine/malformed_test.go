package engine_test

import (
	"testing"

	"geraniumhollow/internal/fake/noise"
	"geraniumhollow/internal/plat/engine"
	"github.com/cockroachdb/errors"
)

// Guards against bytes that are no answer of an engine and count as a report, an order that was taken, an attempt that began or
// did not, or a server that has the expected name.
func TestMalformedAnswers(t *testing.T) {
	t.Parallel()
	for name, message := range noise.Malformed("X-Instance: i1\r\n", "{}") {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address := noise.Serve(t, message)
			c := engine.New(address, "")
			t.Cleanup(c.Close)
			if r, err := c.Load(t.Context()); err == nil {
				t.Errorf("report: got %+v", r)
			}
			if err := c.Order(t.Context(), engine.Order{Kind: engine.OrderDrop}); err == nil || errors.Is(err, engine.ErrFenced) {
				t.Errorf("order: got %v", err)
			}
			if _, err := c.Complete(t.Context(), engine.Job{}); err == nil || errors.Is(err, engine.ErrNotStarted) {
				t.Errorf("attempt: got %v", err)
			}
			if err := c.Cancel(t.Context(), "r1", 1); err == nil {
				t.Error("cancel: got no error")
			}
			bound := engine.New(address, "i1")
			t.Cleanup(bound.Close)
			if _, err := bound.Complete(t.Context(), engine.Job{}); !errors.Is(err, engine.ErrNotStarted) {
				t.Errorf("attempt after the hello: got %v, want none", err)
			}
		})
	}
}
