package logbuf_test

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"geraniumhollow/internal/core/logbuf"
)

// blockedWriter is an output whose writes block until its mutex is released.
type blockedWriter struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (w *blockedWriter) Write(b []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.buf.Write(b)
}

// startWriter runs w and returns a function that stops it and waits until it has flushed its queue.
func startWriter(t *testing.T, w *logbuf.Writer) func() {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- w.Run(ctx) }()
	return func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	}
}

// Guards against a burst of lines bypassing the rate limit, and against warnings being dropped during
// a burst.
func TestRateLimit(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		w := logbuf.New(&out, 10)
		stop := startWriter(t, w)
		for range 100 {
			_, _ = w.Write([]byte(`{"@level":"info","@message":"busy"}` + "\n"))
		}
		_, _ = w.Write([]byte(`{"@level":"warn","@message":"store unavailable"}` + "\n"))
		time.Sleep(1100 * time.Millisecond)
		stop()
		if n := strings.Count(out.String(), "busy"); n != 20 {
			t.Errorf("%d of 100 lines were written, want the 20 of the burst", n)
		}
		if !strings.Contains(out.String(), "store unavailable") {
			t.Error("the warning was dropped")
		}
		if !strings.Contains(out.String(), `"lines":80`) || w.Dropped() != 80 {
			t.Errorf("dropped lines are not counted: %d, %s", w.Dropped(), out.String())
		}
	})
}

// Guards against Write blocking while the output is blocked.
func TestBlockedOutput(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		out := &blockedWriter{}
		out.mu.Lock()
		w := logbuf.New(out, 1_000_000)
		stop := startWriter(t, w)
		for range 5000 {
			_, _ = w.Write([]byte(`{"@level":"info"}` + "\n"))
		}
		if w.Dropped() == 0 {
			t.Error("no lines were dropped while the output was blocked")
		}
		out.mu.Unlock()
		stop()
	})
}
