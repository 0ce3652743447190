package tasks_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"geraniumhollow/internal/core/tasks"
)

// Guards against loops that miss their interval, start at the wrong time or continue after their
// context is done.
func TestLoops(t *testing.T) {
	t.Parallel()
	loops := map[string]struct {
		run  func(context.Context, time.Duration, func(context.Context)) error
		want int
	}{
		"every":          {tasks.Every, 3},
		"every from now": {tasks.EveryFromNow, 4},
	}
	for name, tt := range loops {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), 3500*time.Millisecond)
				defer cancel()
				n := 0
				if err := tt.run(ctx, time.Second, func(context.Context) { n++ }); err != nil {
					t.Error(err)
				}
				if n != tt.want {
					t.Errorf("%d calls in 3.5 s, want %d", n, tt.want)
				}
			})
		})
	}
}

// Guards against a Sleep that ignores the cancellation of its context.
func TestSleep(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if !tasks.Sleep(ctx, 500*time.Millisecond) || tasks.Sleep(ctx, time.Minute) || tasks.Sleep(ctx, 0) {
			t.Error("Sleep did not report the state of its context")
		}
	})
}

// Guards against a wait that ends although the process did not run meanwhile, and against one without end.
func TestSleepRunning(t *testing.T) {
	t.Parallel()
	const stall = time.Second
	tests := map[string]struct {
		// stalls is the number of steps at the start that end late.
		stalls int
		limit  time.Duration
		late   time.Duration
	}{
		"on time":     {0, 5 * time.Second, 0},
		"late once":   {1, 5 * time.Second, stall + 20*time.Millisecond},
		"always late": {1000, 5 * time.Second, 5*time.Second - 20*time.Millisecond},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				n := 0
				sleep := func(ctx context.Context, d time.Duration) bool {
					if n++; n <= tt.stalls {
						d += stall
					}
					return tasks.Sleep(ctx, d)
				}
				late, ok := tasks.SleepRunning(t.Context(), sleep, 120*time.Millisecond, tt.limit)
				if !ok || late.Round(10*time.Millisecond) != tt.late {
					t.Errorf("SleepRunning() is %v late, %v, want %v", late, ok, tt.late)
				}
			})
		})
	}
}
