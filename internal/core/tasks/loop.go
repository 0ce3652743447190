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

// Steps of SleepRunning. One that takes maxStep or longer does not count.
const (
	runningStep = 20 * time.Millisecond
	maxStep     = 2 * runningStep
)

// SleepRunning waits until this process has been running for d, for at most limit or until ctx is done. It sleeps in steps, and a step
// that ends late does not count: the process was not scheduled, and may not have read what has arrived. It returns how much longer
// than d it has waited, and reports whether ctx is not done. The function that it sleeps with is Sleep except in tests.
func SleepRunning(ctx context.Context, sleep func(context.Context, time.Duration) bool, d, limit time.Duration) (time.Duration, bool) {
	start := time.Now()
	for left := d; left > 0 && time.Since(start) < limit; {
		step, before := min(left, runningStep), time.Now()
		if !sleep(ctx, step) {
			return 0, false
		}
		if time.Since(before) < maxStep {
			left -= step
		}
	}
	return max(0, time.Since(start)-d), true
}
