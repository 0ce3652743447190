package tasks

import (
	"context"
	"time"
)

// Every calls f after each interval until ctx ends, and returns nil then.
func Every(ctx context.Context, interval time.Duration, f func(ctx context.Context)) error {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			f(ctx)
		}
	}
}

// EveryFromNow calls f at once and then as Every does.
func EveryFromNow(ctx context.Context, interval time.Duration, f func(ctx context.Context)) error {
	f(ctx)
	return Every(ctx, interval, f)
}

// Sleep waits and reports whether ctx still runs. A time that is not positive does not wait.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
