package tasks_test

import (
	"context"
	"strings"
	"testing"

	"geraniumhollow/internal/core/tasks"
	"github.com/cockroachdb/errors"
)

// Guards against a failed goroutine that leaves the others running, a panic that crashes the process,
// and a canceled group that returns an error.
func TestGroup(t *testing.T) {
	t.Parallel()
	failure := errors.New("failure")
	tests := []struct {
		name string
		run  func(ctx context.Context) error
		want string
	}{
		{"no error", func(context.Context) error { return nil }, ""},
		{"error", func(context.Context) error { return failure }, "task one: failure"},
		{"panic", func(context.Context) error { panic("broken") }, "task one: panic: broken"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithCancel(t.Context())
			g := tasks.New(ctx)
			g.Go("one", tt.run)
			g.Go("two", func(ctx context.Context) error {
				if tt.want == "" {
					cancel()
				}
				<-ctx.Done()
				return ctx.Err()
			})
			err := g.Wait()
			cancel()
			if (err == nil) != (tt.want == "") || (err != nil && !strings.HasPrefix(err.Error(), tt.want)) {
				t.Errorf("got %v, want %q", err, tt.want)
			}
		})
	}
}
