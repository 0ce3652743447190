// Package tasks runs goroutines in groups. A group waits for all of its goroutines, and a panic in one
// of them cancels the group with an error instead of crashing the process.
package tasks

import (
	"context"
	"runtime/debug"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

// Group is a group of goroutines. The first error cancels the context of the others.
type Group struct {
	eg  *errgroup.Group
	ctx context.Context
}

// New returns a group whose context is canceled with ctx or on the first error.
func New(ctx context.Context) *Group {
	eg, ctx := errgroup.WithContext(ctx)
	return &Group{eg: eg, ctx: ctx}
}

// Context returns the context passed to the goroutines of the group.
func (g *Group) Context() context.Context { return g.ctx }

// Go runs f in a goroutine. If f fails or panics, the error contains name.
func (g *Group) Go(name string, f func(ctx context.Context) error) {
	g.eg.Go(func() (err error) {
		defer func() {
			if p := recover(); p != nil {
				err = errors.Newf("task %s: panic: %v\n%s", name, p, debug.Stack())
			}
		}()
		if err := f(g.ctx); err != nil {
			return errors.Newf("task %s: %w", name, err)
		}
		return nil
	})
}

// Wait waits for every goroutine and returns the first error. It returns nil if that error is
// context.Canceled, as when the context passed to New is canceled.
func (g *Group) Wait() error {
	err := g.eg.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}
