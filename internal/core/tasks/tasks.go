// Package tasks starts goroutines through a group, so that each of them is waited for and a panic
// in one ends the group with an error instead of the process.
package tasks

import (
	"context"
	"runtime/debug"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

// Group runs goroutines that end together: the first error cancels the context of the others.
type Group struct {
	eg  *errgroup.Group
	ctx context.Context
}

// New returns a group whose context ends with ctx or with the first error.
func New(ctx context.Context) *Group {
	eg, ctx := errgroup.WithContext(ctx)
	return &Group{eg: eg, ctx: ctx}
}

// Context returns the context that the goroutines of the group get.
func (g *Group) Context() context.Context { return g.ctx }

// Go starts f. The name stands in the error when f fails or panics.
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

// Wait waits for every goroutine and returns the first error. Cancellation of the context that the
// group was made with is no error.
func (g *Group) Wait() error {
	err := g.eg.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}
