// Command edge runs one node of geraniumhollow on the platform of its first users.
package main

import (
	"context"
	"os"
	"os/signal"
	"runtime"
	"syscall"

	"geraniumhollow/platform"
	"github.com/hashicorp/go-hclog"
)

func main() {
	// A node has less than one core, so more threads only switch.
	runtime.GOMAXPROCS(1)
	log := hclog.New(&hclog.LoggerOptions{Name: "edge", Output: os.Stdout, JSONFormat: true, Level: hclog.Info})
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	if err := platform.Run(ctx, log); err != nil {
		log.Error("node ended", "error", err)
		stop()
		os.Exit(1) //nolint:gocritic // stop has been called above.
	}
}
