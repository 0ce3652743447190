package tool

import (
	"context"

	"geraniumhollow/internal/node/admin"
	"geraniumhollow/internal/report/burn"
	"github.com/urfave/cli/v3"
)

func reportCommand() *cli.Command {
	return &cli.Command{
		Name: "report", Usage: "reports over all nodes", Action: Group, Commands: []*cli.Command{burnCommand()},
	}
}

func burnCommand() *cli.Command {
	var s settings
	var asJSON bool
	return &cli.Command{
		Name: "burn", Usage: "show how fast the error budgets of the service-level objectives are spent",
		Flags: s.flags(&cli.BoolFlag{Name: "json", Usage: "same as --output json", Destination: &asJSON}),
		Action: s.action(0, func(ctx context.Context, _ *cli.Command, p printer) error {
			var rep burn.Report
			if err := (client{s}).get(ctx, admin.PathBurn, &rep); err != nil {
				return err
			}
			p.json = p.json || asJSON
			return p.print(rep, func() error { return rep.WriteText(p.w) })
		}),
	}
}
