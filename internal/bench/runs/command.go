// Package runs plays random interleavings of the deciders that keep calls from running twice and
// crashing requests from running on: nodes that die or pause between any two steps, a table that is
// down, slow, loses answers or applies writes late, and callers that send again to any node.
package runs

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
)

// ErrBroken means that an interleaving broke a promise.
var ErrBroken = errors.New("an interleaving broke a promise")

// defaultCount is the number of interleavings that section 13 of the design asks for.
const defaultCount = 10_000

// Command returns the runs subcommand.
func Command() *cli.Command {
	var count, seed uint64
	return &cli.Command{
		Name:  "runs",
		Usage: "play random interleavings of claims, retries and crash counts, and count broken promises",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "count", Usage: "interleavings of each kind", Value: defaultCount, Destination: &count},
			&cli.Uint64Flag{Name: "seed", Usage: "seed of the first interleaving; the next ones add one each", Value: 1, Destination: &seed},
		},
		Action: func(ctx context.Context, _ *cli.Command) error { return play(ctx, os.Stdout, seed, count) },
	}
}

// play runs the interleavings with the seeds from first and prints what came of them.
func play(ctx context.Context, w io.Writer, first, count uint64) error {
	var claims Claims
	var crashes Crashes
	for i := range count {
		if err := ctx.Err(); err != nil {
			return errors.Newf("play interleavings: %w", err)
		}
		cl, cr := RunClaims(Seeded(first+i)), RunCrashes(Seeded(first+i))
		if cl.Bad() || cr.Bad() {
			_, _ = fmt.Fprintf(w, "broken promise with seed %d: claims %+v, crashes %+v\n", first+i, cl, cr)
		}
		claims, crashes = claims.Add(cl), crashes.Add(cr)
	}
	printClaims(w, claims)
	printCrashes(w, crashes)
	if claims.Bad() || crashes.Bad() {
		return ErrBroken
	}
	return nil
}

// line prints one count.
func line(w io.Writer, name string, n int) { _, _ = fmt.Fprintf(w, "  %-28s %d\n", name, n) }

func printClaims(w io.Writer, c Claims) {
	_, _ = fmt.Fprintln(w, "calls that may not be repeated (claim and retry deciders)")
	line(w, "interleavings", c.Interleavings)
	line(w, "calls sent by callers", c.Calls)
	line(w, "runs", c.Runs)
	line(w, "told the answer", c.Answers)
	line(w, "told not_run", c.NotRun)
	line(w, "told unknown", c.Unknown)
	line(w, "node died before the answer", c.Unheard)
	line(w, "duplicate runs", c.Duplicates)
	line(w, "false not_run", c.FalseNotRun)
	line(w, "wrong answers", c.WrongAnswers)
	line(w, "never ended", c.Stuck)
}

func printCrashes(w io.Writer, c Crashes) {
	_, _ = fmt.Fprintln(w, "requests that crash backend servers (crash decider and counter)")
	line(w, "interleavings", c.Interleavings)
	line(w, "requests", c.Requests)
	line(w, "deaths of servers", c.Deaths)
	line(w, "runs of suspects", c.Alone)
	line(w, "completed", c.Completed)
	line(w, "refused", c.Refused)
	line(w, "runs past the limit", c.OverLimit)
	line(w, "suspects beside others", c.NotAlone)
	line(w, "never ended", c.Stuck)
}
