// Command geraniumhollow serves large models whose replicas span several hosts.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"geraniumhollow/internal/bench/demo"
	"geraniumhollow/internal/bench/gauge"
	"geraniumhollow/internal/node/serve"
	"geraniumhollow/internal/node/tool"
	"github.com/urfave/cli/v3"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	app := &cli.Command{
		Name:   "geraniumhollow",
		Usage:  "serve large models whose replicas span several hosts",
		Action: tool.Group,
		Commands: append([]*cli.Command{
			serve.Command(),
			demo.Command(),
			demo.LoadCommand(),
			gauge.Command(),
		}, tool.Commands()...),
	}
	if err := app.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "geraniumhollow:", err)
		stop()
		os.Exit(tool.ExitCode(err)) //nolint:gocritic // stop has been called above.
	}
}
