package tasks

import (
	"context"
	"time"
)

// Every calls f after each interval until ctx is done, and then returns nil.
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

// EveryFromNow calls f immediately and then after each interval, as Every does.
func EveryFromNow(ctx context.Context, interval time.Duration, f func(ctx context.Context)) error {
	f(ctx)
	return Every(ctx, interval, f)
}

// Sleep waits for d or until ctx is done, and reports whether it waited for all of d. If d is not
// positive, it returns immediately and reports whether ctx is not done.
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
