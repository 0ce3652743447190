package plans

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"

	"geraniumhollow/internal/core/tasks"
	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
)

// workers is how many runs go on at once.
const workers = 4

// Command returns the subcommand that proves and measures the keeping of groups.
func Command() *cli.Command {
	var count int
	var seed uint64
	var opts Options
	var trace bool
	var years int
	return &cli.Command{
		Name:  "plans",
		Usage: "prove and measure the keeping of groups",
		Commands: []*cli.Command{
			{
				Name:  "interleave",
				Usage: "run random interleavings of keepers and faults",
				Flags: []cli.Flag{
					&cli.IntFlag{Name: "count", Usage: "interleavings", Value: 10_000, Destination: &count},
					&cli.Uint64Flag{Name: "seed", Usage: "first seed", Value: 1, Destination: &seed},
					&cli.BoolFlag{Name: "trace", Usage: "print each event of the first seed and run no other", Destination: &trace},
					&cli.BoolFlag{Name: "isolate", Usage: "cut live servers off from nodes and store at the same time", Destination: &opts.Isolate},
					&cli.BoolFlag{Name: "demand", Usage: "change the numbers of groups that demand asks for", Destination: &opts.Demand},
				},
				Action: func(ctx context.Context, _ *cli.Command) error {
					if trace {
						opts.Trace, count = os.Stdout, 1
					}
					return Interleavings(ctx, os.Stdout, count, seed, opts)
				},
			},
			{
				Name:  "year",
				Usage: "measure capacity against the calendars over a school year",
				Flags: []cli.Flag{
					&cli.IntFlag{Name: "seeds", Usage: "modelled years", Value: 4, Destination: &years},
				},
				Action: func(context.Context, *cli.Command) error { return Year(os.Stdout, years, schoolDays) },
			},
		},
	}
}

// share runs f for each number below n on the workers.
func share(ctx context.Context, n int, f func(i int)) error {
	g := tasks.New(ctx)
	for part := range workers {
		g.Go("measure", func(ctx context.Context) error {
			for i := part; i < n && ctx.Err() == nil; i += workers {
				f(i)
			}
			return ctx.Err() //nolint:wrapcheck // The group compares it.
		})
	}
	if err := g.Wait(); err != nil {
		return errors.Newf("run in parts: %w", err)
	}
	return nil
}

// Interleavings runs count interleavings with consecutive seeds and prints the first faults.
func Interleavings(ctx context.Context, w io.Writer, count int, seed uint64, opts Options) error {
	outcomes := make([]Outcome, count)
	err := share(ctx, count, func(i int) {
		outcomes[i] = Interleave(rand.New(rand.NewPCG(seed+uint64(i), 0)), opts)
	})
	if err != nil {
		return err
	}
	faults, opened := 0, 0
	for i, o := range outcomes {
		opened += o.Opened
		if o.Fault == "" {
			continue
		}
		if faults++; faults <= 5 {
			_, _ = fmt.Fprintf(w, "seed %d: %s\n", seed+uint64(i), o.Fault)
		}
	}
	_, _ = fmt.Fprintf(w, "%d interleavings, %d heads opened, %d with a fault\n", count, opened, faults)
	if faults > 0 {
		return errors.Newf("%d interleavings broke a rule", faults)
	}
	return nil
}
