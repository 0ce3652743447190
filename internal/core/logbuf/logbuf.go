// Package logbuf writes log lines without blocking the goroutines that log. Lines that exceed the rate
// limit, or that arrive while the queue to the output is full, are dropped and counted. Warnings and
// errors are exempt from the rate limit.
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

// queueLines is the maximum number of lines queued for the output.
const queueLines = 1024

// reportInterval is the interval between log lines that report the number of dropped lines.
const reportInterval = time.Second

// exemptLevels are the substrings that exempt a line from the rate limit.
var exemptLevels = [][]byte{[]byte(`"@level":"warn"`), []byte(`"@level":"error"`)}

// Writer is an io.Writer that expects one whole line per call. It is safe for concurrent use.
type Writer struct {
	out        io.Writer
	limit      *rate.Limiter
	queue      chan []byte
	unreported atomic.Uint64 // lines dropped since the last report
	total      atomic.Uint64 // lines dropped since the writer was created
}

// New returns a writer to out that accepts perSecond lines per second, with a burst of twice as many.
// Lines are written to out only while Run is running.
func New(out io.Writer, perSecond int) *Writer {
	return &Writer{out: out, limit: rate.NewLimiter(rate.Limit(perSecond), 2*perSecond), queue: make(chan []byte, queueLines)}
}

// Write queues one line or drops it. It never blocks and never fails.
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
	for _, e := range exemptLevels {
		if bytes.Contains(line, e) {
			return true
		}
	}
	return false
}

func (w *Writer) drop() {
	w.unreported.Add(1)
	w.total.Add(1)
}

// Dropped returns the total number of dropped lines.
func (w *Writer) Dropped() uint64 { return w.total.Load() }

// Run writes lines until ctx is done, and then flushes the queue.
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

// report queues a line with the number of lines dropped since the last report.
func (w *Writer) report() {
	n := w.unreported.Swap(0)
	if n == 0 {
		return
	}
	line := fmt.Appendf(nil, `{"@level":"warn","@message":"log lines were dropped","@timestamp":%q,"lines":%d}`+"\n",
		time.Now().UTC().Format(time.RFC3339Nano), n)
	select {
	case w.queue <- line:
	default:
		w.unreported.Add(n)
	}
}

// flush writes the queued lines.
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
