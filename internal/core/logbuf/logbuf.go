// Package logbuf writes log lines without ever blocking those that log. Lines beyond a rate, or beyond what
// a slow reader takes, are dropped and counted; warnings and errors are exempt from the rate.
package logbuf

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"geraniumhollow/internal/core/tasks"
	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"
)

// queueLines bounds the lines that wait for a slow reader.
const queueLines = 1024

// reportInterval is the time between lines that count what was dropped.
const reportInterval = time.Second

// exempt are the parts of a line that exempt it from the rate.
var exempt = [][]byte{[]byte(`"@level":"warn"`), []byte(`"@level":"error"`)}

// Writer is an io.Writer of whole lines. It is safe for concurrent use.
type Writer struct {
	out     io.Writer
	limit   *rate.Limiter
	queue   chan []byte
	dropped atomic.Uint64
	total   atomic.Uint64
}

// New returns a writer to out that takes perSecond lines a second on average, and twice as many at once.
// Lines are written while Run runs.
func New(out io.Writer, perSecond int) *Writer {
	return &Writer{out: out, limit: rate.NewLimiter(rate.Limit(perSecond), 2*perSecond), queue: make(chan []byte, queueLines)}
}

// Write takes one line. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	if !w.limit.Allow() && !isExempt(line) {
		w.drop()
		return len(line), nil
	}
	select {
	case w.queue <- bytes.Clone(line):
	default:
		w.drop()
	}
	return len(line), nil
}

func isExempt(line []byte) bool {
	for _, e := range exempt {
		if bytes.Contains(line, e) {
			return true
		}
	}
	return false
}

func (w *Writer) drop() {
	w.dropped.Add(1)
	w.total.Add(1)
}

// Dropped returns the number of lines that were dropped so far.
func (w *Writer) Dropped() uint64 { return w.total.Load() }

// Run writes lines until ctx ends, and then those that wait.
func (w *Writer) Run(ctx context.Context) error {
	g := tasks.New(ctx)
	g.Go("write", w.write)
	g.Go("report", func(ctx context.Context) error {
		return tasks.Every(ctx, reportInterval, func(context.Context) { w.report() })
	})
	if err := g.Wait(); err != nil {
		return errors.Newf("write log: %w", err)
	}
	return w.flush()
}

func (w *Writer) write(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case line := <-w.queue:
			if _, err := w.out.Write(line); err != nil {
				return errors.Newf("write line: %w", err)
			}
		}
	}
}

// report adds a line that counts what was dropped since the last one.
func (w *Writer) report() {
	n := w.dropped.Swap(0)
	if n == 0 {
		return
	}
	line := fmt.Appendf(nil, `{"@level":"warn","@message":"log lines were dropped","@timestamp":%q,"lines":%d}`+"\n",
		time.Now().UTC().Format(time.RFC3339Nano), n)
	select {
	case w.queue <- line:
	default:
		w.dropped.Add(n)
	}
}

// flush writes the lines that wait.
func (w *Writer) flush() error {
	w.report()
	for {
		select {
		case line := <-w.queue:
			if _, err := w.out.Write(line); err != nil {
				return errors.Newf("write line: %w", err)
			}
		default:
			return nil
		}
	}
}
