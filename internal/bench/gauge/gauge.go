// Package gauge gathers the measuring commands under one subcommand.
package gauge

import (
	"geraniumhollow/internal/bench/cost"
	"geraniumhollow/internal/bench/delay"
	"geraniumhollow/internal/bench/order"
	"geraniumhollow/internal/bench/picks"
	"geraniumhollow/internal/bench/plans"
	"geraniumhollow/internal/bench/runs"
	"geraniumhollow/internal/bench/share"
	"geraniumhollow/internal/bench/sizes"
	"geraniumhollow/internal/bench/spread"
	"geraniumhollow/internal/bench/stall"
	"github.com/urfave/cli/v3"
)

// Command returns the gauge subcommand.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "gauge",
		Usage: "run a measurement; docs/measurements has the results",
		Commands: []*cli.Command{
			cost.Command(),
			delay.Command(),
			order.Command(),
			picks.Command(),
			plans.Command(),
			runs.Command(),
			share.Command(),
			sizes.Command(),
			spread.Command(),
			stall.Command(),
		},
	}
}
