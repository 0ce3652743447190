package spread

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
)

// defaultRuns is the number of seeded interleavings that section 13 of the design asks for.
const defaultRuns = 10_000

func interleaveCommand() *cli.Command {
	var runs, seed int
	var restarts bool
	return &cli.Command{
		Name:  "interleave",
		Usage: "run seeded interleavings of membership and configuration",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "runs", Value: defaultRuns, Destination: &runs, Usage: "number of interleavings"},
			&cli.BoolFlag{Name: "restarts", Destination: &restarts, Usage: "let nodes restart"},
			&cli.IntFlag{Name: "seed", Value: 1, Destination: &seed, Usage: "seed of the first one"},
		},
		Action: func(ctx context.Context, _ *cli.Command) error {
			return runInterleavings(ctx, os.Stdout, runs, seed, restarts)
		},
	}
}

// runInterleavings runs interleavings with the seeds from first on and prints what was found.
func runInterleavings(ctx context.Context, w io.Writer, runs, first int, restarts bool) error {
	began := time.Now()
	broken, gaps := 0, 0
	var failure error
	for i := range runs {
		if ctx.Err() != nil {
			return ctx.Err() //nolint:wrapcheck // The command was cancelled.
		}
		rnd := rand.New(rand.NewPCG(uint64(first+i), 0)) //nolint:gosec // Repeatable, no secret.
		n, err := Interleave(rnd.IntN, restarts)
		if err != nil {
			broken++
			failure = errors.CombineErrors(failure, errors.Newf("seed %d: %w", first+i, err))
		}
		if n > 0 {
			gaps++
		}
	}
	_, _ = fmt.Fprintf(w, "interleavings %d, steps each %d, restarts %v: broken %d, with a node in store_down behind a change %d, %v\n",
		runs, mixSteps, restarts, broken, gaps, time.Since(began).Round(time.Millisecond))
	return failure
}
