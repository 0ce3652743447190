// Command edge runs one node of geraniumhollow on the platform of its first users.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"syscall"

	"geraniumhollow/internal/core/tasks"
	"geraniumhollow/platform"
)

func main() {
	// A node has less than one core, so more threads only switch.
	runtime.GOMAXPROCS(1)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := platform.Command(reloads(ctx)).Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "edge:", err)
		stop()
		os.Exit(1) //nolint:gocritic // stop has been called above.
	}
}

// reloads tells of each SIGHUP.
func reloads(ctx context.Context) <-chan struct{} {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	out := make(chan struct{}, 1)
	tasks.New(ctx).Go("reload signals", func(ctx context.Context) error {
		for {
			select {
			case <-ctx.Done():
				return nil
			case <-signals:
				select {
				case out <- struct{}{}:
				default: // A reload is due already.
				}
			}
		}
	})
	return out
}
