// Package picks measures the choosers of backend servers and the admission of requests, on seeded
// loads and a small queueing model of backend servers.
package picks

import (
	"context"
	"fmt"
	"io"
	"time"

	"geraniumhollow/internal/route/choose"
	"geraniumhollow/internal/route/prefix"
	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
)

// Command returns the picks subcommand, which prints measurements as Markdown tables.
func Command() *cli.Command {
	sc := scenario{Seed: 1, Entries: prefix.DefaultEntries, Choose: choose.DefaultConfig(), Window: choose.DefaultWindow()}
	var ov overload
	return &cli.Command{
		Name:  "picks",
		Usage: "measure choosers of backend servers and admission on seeded loads",
		Commands: []*cli.Command{
			{
				Name:  "choosers",
				Usage: "compare load imbalance, cache hits and time to first token",
				Flags: []cli.Flag{
					&cli.Uint64Flag{Name: "seed", Value: 1, Destination: &sc.Seed},
					&cli.IntFlag{Name: "servers", Value: 65, Destination: &sc.Servers},
					&cli.FloatFlag{Name: "load", Value: 0.8, Usage: "offered, 1 is what the servers bear without cache hits", Destination: &sc.Load},
					&cli.DurationFlag{Name: "length", Value: 2 * time.Minute, Usage: "simulated", Destination: &sc.Length},
					&cli.FloatFlag{Name: "peer-sends", Value: sc.Choose.PeerSends, Destination: &sc.Choose.PeerSends},
					&cli.FloatFlag{Name: "window-part", Value: sc.Window.Fraction, Destination: &sc.Window.Fraction},
					&cli.DurationFlag{Name: "window", Value: sc.Window.Fixed, Destination: &sc.Window.Fixed},
					&cli.StringFlag{Name: "only", Usage: "run one chooser", Destination: &sc.Only},
					&cli.BoolFlag{Name: "events", Usage: "cache events reach the nodes", Destination: &sc.Events},
				},
				Action: func(_ context.Context, cmd *cli.Command) error { return sc.compare(cmd.Root().Writer) },
			},
			{
				Name:  "speed",
				Usage: "time the decisions of each chooser and what else requests do under a lock, on one core",
				Flags: []cli.Flag{&cli.Uint64Flag{Name: "seed", Value: 1, Destination: &sc.Seed}},
				Action: func(_ context.Context, cmd *cli.Command) error {
					if err := sc.speed(cmd.Root().Writer); err != nil {
						return err
					}
					return sc.paths(cmd.Root().Writer)
				},
			},
			{
				Name:  "admission",
				Usage: "compare useful throughput and waits at one to three times the capacity",
				Flags: []cli.Flag{
					&cli.Uint64Flag{Name: "seed", Value: 1, Destination: &ov.Seed},
					&cli.DurationFlag{Name: "length", Value: 2 * time.Minute, Usage: "simulated", Destination: &ov.Length},
				},
				Action: func(_ context.Context, cmd *cli.Command) error {
					ov.compare(cmd.Root().Writer)
					ov.accounts(cmd.Root().Writer)
					return nil
				},
			},
		},
	}
}

// compare runs all choosers on the same load.
func (sc scenario) compare(w io.Writer) error {
	_, _ = fmt.Fprintf(w, "seed %d, %d servers, load %.2f, %s, cache events %t\n\n"+
		"| chooser | imbalance | cache hits | p50 | p95 | p99 | refused |\n| --- | --- | --- | --- | --- | --- | --- |\n",
		sc.Seed, sc.Servers, sc.Load, sc.Length, sc.Events)
	for _, c := range sc.choosers() {
		if sc.Only != "" && sc.Only != c.name {
			continue
		}
		r, err := sc.run(c.make)
		if err != nil {
			return errors.Newf("run %s: %w", c.name, err)
		}
		_, _ = fmt.Fprintf(w, "| %s | %.2f | %.1f%% | %d ms | %d ms | %d ms | %d of %d |\n", c.name, r.Imbalance,
			100*r.HitShare, r.P50.Milliseconds(), r.P95.Milliseconds(), r.P99.Milliseconds(), r.NotServed, r.Requests)
	}
	return nil
}
