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

// stuck is a reader that takes nothing until it is released.
type stuck struct {
	mu  sync.Mutex
	got bytes.Buffer
}

func (s *stuck) Write(b []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.Write(b)
}

func run(t *testing.T, w *logbuf.Writer) func() {
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

// Guards against a flood of lines that is written in full, and against warnings that a flood hides.
func TestFlood(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		w := logbuf.New(&out, 10)
		stop := run(t, w)
		for range 100 {
			_, _ = w.Write([]byte(`{"@level":"info","@message":"busy"}` + "\n"))
		}
		_, _ = w.Write([]byte(`{"@level":"warn","@message":"store is away"}` + "\n"))
		time.Sleep(1100 * time.Millisecond)
		stop()
		if n := strings.Count(out.String(), "busy"); n != 20 {
			t.Errorf("%d of 100 lines were written, want the 20 of the burst", n)
		}
		if !strings.Contains(out.String(), "store is away") {
			t.Error("the warning was dropped")
		}
		if !strings.Contains(out.String(), `"lines":80`) || w.Dropped() != 80 {
			t.Errorf("dropped lines are not counted: %d, %s", w.Dropped(), out.String())
		}
	})
}

// Guards against a writer that waits for a reader that takes nothing.
func TestStuckReader(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		out := &stuck{}
		out.mu.Lock()
		w := logbuf.New(out, 1_000_000)
		stop := run(t, w)
		for range 5000 {
			_, _ = w.Write([]byte(`{"@level":"info"}` + "\n"))
		}
		if w.Dropped() == 0 {
			t.Error("nothing was dropped for a reader that takes nothing")
		}
		out.mu.Unlock()
		stop()
	})
}
