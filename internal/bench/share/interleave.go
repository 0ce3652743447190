package share

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"geraniumhollow/internal/core/tasks"
	"github.com/cockroachdb/errors"
)

// Summary adds up interleavings.
type Summary struct {
	Runs, Broken             int
	Faults, Grants, Arrivals int
	MaxCold, MaxWarm         Held
	OverCold, OverWarm       int
	Dark                     time.Duration
	DarkSeed                 uint64
	Total                    time.Duration
	First                    string
}

func (s *Summary) add(p Plan, r Result) {
	s.Runs++
	s.Faults += len(p.Faults)
	s.Grants += r.Grants
	s.Arrivals += r.Arrivals
	s.MaxCold, s.MaxWarm = s.MaxCold.more(r.MaxCold), s.MaxWarm.more(r.MaxWarm)
	s.OverCold, s.OverWarm = max(s.OverCold, r.OverCold), max(s.OverWarm, r.OverWarm)
	s.Total += max(0, r.Dark)
	if r.Dark > s.Dark {
		s.Dark, s.DarkSeed = r.Dark, p.Seed
	}
	if r.Broken != "" {
		s.Broken++
		if s.First == "" {
			s.First = fmt.Sprintf("seed %d: %s", p.Seed, r.Broken)
		}
	}
}

// Interleave runs count random plans with seeds from first on, in several goroutines.
func Interleave(ctx context.Context, first uint64, count, workers int) (Summary, error) {
	var (
		mu   sync.Mutex
		sum  Summary
		next atomic.Uint64
	)
	g := tasks.New(ctx)
	for i := range workers {
		g.Go(fmt.Sprintf("worker %d", i), func(ctx context.Context) error {
			for ctx.Err() == nil {
				n := next.Add(1) - 1
				if n >= uint64(count) { //nolint:gosec // A count is never negative.
					return nil
				}
				p := RandomPlan(first + n)
				r := Run(p)
				mu.Lock()
				sum.add(p, r)
				mu.Unlock()
			}
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		return sum, errors.Newf("run interleavings: %w", err)
	}
	return sum, nil
}

// Print writes the summary as a table.
func (s *Summary) Print(w io.Writer, first uint64, took time.Duration) {
	row := func(name, format string, args ...any) {
		_, _ = fmt.Fprintf(w, "| %s | %s |\n", name, fmt.Sprintf(format, args...))
	}
	_, _ = fmt.Fprint(w, "| figure | value |\n| --- | --- |\n")
	row("interleavings", "%d, seeds %d to %d, in %.0f s", s.Runs, first, first+uint64(max(1, s.Runs))-1, took.Seconds()) //nolint:gosec // Never negative.
	row("faults, grants, requests that arrived", "%d, %d, %d", s.Faults, s.Grants, s.Arrivals)
	row("bounds broken", "%d", s.Broken)
	row("most held that the cold limit covers, and the limit", "%d of %d", s.MaxCold.Requests, s.MaxCold.Limit)
	row("most held that the warm limit covers, and the limit", "%d of %d", s.MaxWarm.Requests, s.MaxWarm.Limit)
	row("most held beyond the limit by the named gaps and lowered limits, cold and warm", "%d, %d", s.OverCold, s.OverWarm)
	row("time without grants after the last fault, mean", "%.1f s", s.Total.Seconds()/float64(max(1, s.Runs)))
	row("time without grants after the last fault, longest", "%.1f s (seed %d)", s.Dark.Seconds(), s.DarkSeed)
	if s.First != "" {
		row("first break", "%s", s.First)
	}
}
