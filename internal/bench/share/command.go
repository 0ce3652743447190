package share

import (
	"context"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
)

// Defaults of the flags.
const (
	defaultCount   = 10000
	defaultWorkers = 3
	defaultMeasure = 30 * time.Second
)

// errBroken means that a bound did not hold in some interleaving.
var errBroken = errors.New("a bound was broken")

// Command returns the share subcommand, which measures shared budgets.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "share",
		Usage: "measure shared budgets",
		Commands: []*cli.Command{
			interleavingsCommand(),
			leasesCommand(),
			{
				Name: "grants", Usage: "measure grants a second of the owner on one core",
				Action: func(context.Context, *cli.Command) error { Grants(os.Stdout); return nil },
			},
			{
				Name: "sizes", Usage: "measure the sizes of the messages",
				Action: func(context.Context, *cli.Command) error { return Sizes(os.Stdout) },
			},
		},
	}
}

func interleavingsCommand() *cli.Command {
	var (
		count, workers int
		seed           uint64
	)
	return &cli.Command{
		Name:  "interleavings",
		Usage: "run the lease and budget deciders under random faults and check the limits",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "count", Usage: "number of interleavings", Value: defaultCount, Destination: &count},
			&cli.Uint64Flag{Name: "seed", Usage: "seed of the first one", Value: 1, Destination: &seed},
			&cli.IntFlag{Name: "workers", Usage: "goroutines", Value: defaultWorkers, Destination: &workers},
		},
		Action: func(ctx context.Context, _ *cli.Command) error {
			start := time.Now()
			s, err := Interleave(ctx, seed, count, workers)
			if err != nil {
				return err
			}
			s.Print(os.Stdout, seed, time.Since(start))
			if s.Broken > 0 {
				return errBroken
			}
			return nil
		},
	}
}

func leasesCommand() *cli.Command {
	var (
		sizes   []int64
		measure time.Duration
	)
	return &cli.Command{
		Name:  "leases",
		Usage: "measure the load of lease loops on the table",
		Flags: []cli.Flag{
			&cli.Int64SliceFlag{Name: "nodes", Usage: "sizes of the fleet", Value: []int64{6, 24, 96}, Destination: &sizes},
			&cli.DurationFlag{Name: "measure", Usage: "time measured at each size", Value: defaultMeasure, Destination: &measure},
		},
		Action: func(ctx context.Context, _ *cli.Command) error {
			ns := make([]int, 0, len(sizes))
			for _, n := range sizes {
				ns = append(ns, int(n))
			}
			return Leases(ctx, os.Stdout, ns, measure)
		},
	}
}
