package sizes

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
)

// Command returns the sizes subcommand.
func Command() *cli.Command {
	var seeds int
	var trace bool
	o := Options{}
	return &cli.Command{
		Name:  "sizes",
		Usage: "measure scaling by demand, simulated",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "seeds", Usage: "runs", Value: 10, Destination: &seeds},
			&cli.DurationFlag{Name: "time", Usage: "time with demand", Value: 80 * time.Second, Destination: &o.Time},
			&cli.FloatFlag{Name: "loads-per-second", Usage: "loads of weights that may start in a second", Value: 3, Destination: &o.LoadsPerSecond},
			&cli.IntFlag{Name: "loads-at-once", Usage: "loads of weights at the same time", Value: 16, Destination: &o.LoadsAtOnce},
			&cli.DurationFlag{Name: "lost-at", Usage: "when a data centre is lost for 20 s; 0 for never", Destination: &o.LostAt},
			&cli.BoolFlag{Name: "trace", Usage: "print the events of each run", Destination: &trace},
		},
		Action: func(context.Context, *cli.Command) error { return measure(os.Stdout, o, seeds, trace) },
	}
}

// measure prints the results of runs with a fixed number of servers and with scaling.
func measure(out io.Writer, o Options, seeds int, trace bool) error {
	for _, o.Scales = range []bool{false, true} {
		seconds, lost := 0.0, 0.0
		for seed := range seeds {
			o.Seed = uint64(seed)
			r := Run(o)
			seconds, lost = seconds+r.ServerSeconds, lost+r.LostShare()
			if _, err := fmt.Fprintf(out, "scaling %v, seed %d: %.0f server seconds, lost %.4f, in the end %d servers, open groups %v\n",
				o.Scales, seed, r.ServerSeconds, r.LostShare(), r.Servers, r.Open); err != nil {
				return errors.Newf("print result: %w", err)
			}
			for _, e := range r.Events {
				if trace {
					_, _ = fmt.Fprintln(out, "  ", e)
				}
			}
		}
		_, _ = fmt.Fprintf(out, "scaling %v: mean %.0f server seconds, lost %.4f\n", o.Scales, seconds/float64(seeds), lost/float64(seeds))
	}
	return nil
}
