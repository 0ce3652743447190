package order

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"geraniumhollow/internal/plan/loads"
	"github.com/urfave/cli/v3"
)

// policy is an ordering with its name.
type policy struct {
	name  string
	order loads.Policy
}

var policies = []policy{
	{"first_come", FirstCome},
	{"smallest_first", loads.SmallestFirst},
	{"bottleneck", Bottleneck},
}

// Command returns the subcommand that compares the orderings.
func Command() *cli.Command {
	var seeds int
	return &cli.Command{
		Name:  "order",
		Usage: "compare the orderings of weight loads on seeded restarts",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "seeds", Usage: "restarts of each kind", Value: 20, Destination: &seeds},
		},
		Action: func(context.Context, *cli.Command) error {
			Compare(os.Stdout, seeds)
			return nil
		},
	}
}

// Compare prints the average over the seeds for each size, extent and ordering.
func Compare(w io.Writer, seeds int) {
	_, _ = fmt.Fprintf(w, "%-7s %-12s %-15s %10s %10s %10s %12s\n",
		"size", "restart", "ordering", "average_s", "half_s", "worst_s", "ordering_us")
	for _, size := range []Size{Today, Target} {
		for _, extent := range []Extent{Host, Domain, DataCentre} {
			for _, p := range policies {
				r, cost := average(size, extent, p, seeds)
				_, _ = fmt.Fprintf(w, "%-7s %-12s %-15s %10.2f %10.2f %10.2f %12.0f\n",
					size.Name, extent, p.name, r.Average, r.Half, r.Worst, float64(cost.Microseconds()))
			}
		}
	}
}

func average(size Size, extent Extent, p policy, seeds int) (Result, time.Duration) {
	var sum Result
	var cost time.Duration
	for seed := range seeds {
		jobs, links := Restart(size, extent, uint64(seed))
		start := time.Now()
		p.order(jobs, links)
		cost += time.Since(start)
		r := Run(p.order, jobs, links)
		sum.Average += r.Average
		sum.Half += r.Half
		sum.Worst += r.Worst
	}
	n := float64(seeds)
	return Result{Average: sum.Average / n, Half: sum.Half / n, Worst: sum.Worst / n}, cost / time.Duration(seeds)
}
