package serve

import (
	"context"
	"os"

	"geraniumhollow/internal/conf/flags"
	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/urfave/cli/v3"
)

// Command returns the serve subcommand, which runs one node until its context ends.
func Command() *cli.Command {
	var cfg flags.Settings
	return &cli.Command{
		Name:  "serve",
		Usage: "run one entry node",
		Flags: flags.Flags(&cfg),
		Action: func(ctx context.Context, _ *cli.Command) error {
			if err := cfg.Check(); err != nil {
				return errors.Newf("serve: %w", err)
			}
			log := hclog.New(&hclog.LoggerOptions{
				Name: "geraniumhollow", Level: hclog.LevelFromString(cfg.LogLevel), JSONFormat: true, Output: os.Stderr,
			})
			lns, cfg, err := Listen(ctx, cfg)
			if err != nil {
				return errors.Newf("serve: %w", err)
			}
			n, err := New(cfg, lns, log)
			if err != nil {
				return errors.Newf("serve: %w", err)
			}
			return n.Run(ctx)
		},
	}
}
