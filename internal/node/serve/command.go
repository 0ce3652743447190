package serve

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"geraniumhollow/internal/conf/flags"
	"geraniumhollow/internal/plat/memory"
	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/urfave/cli/v3"
)

// Command returns the serve subcommand, which runs one node. Cancelling its context begins a planned stop; a
// signal after that ends the node immediately.
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
			memory.Host{Bytes: cfg.MemoryMb << 20}.LimitRuntime()
			lns, cfg, err := Listen(ctx, cfg)
			if err != nil {
				return errors.Newf("serve: %w", err)
			}
			n, err := New(cfg, lns, log, Parts{})
			if err != nil {
				return errors.Newf("serve: %w", err)
			}
			defer context.AfterFunc(ctx, func() { stopOnSignal(n) })()
			return n.Run(ctx)
		},
	}
}

// stopOnSignal waits for the next signal and calls n.Stop.
func stopOnSignal(n *Node) {
	c := make(chan os.Signal, 1)
	signal.Notify(c, os.Interrupt, syscall.SIGTERM)
	<-c
	n.Stop()
}
