// Package demo runs a whole system in one process: the stand-ins and six nodes on loopback.
package demo

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"geraniumhollow/internal/bench/site"
	"geraniumhollow/internal/conf/flags"
	"geraniumhollow/internal/conf/view"
	"geraniumhollow/internal/core/tasks"
	"geraniumhollow/internal/node/serve"
	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/urfave/cli/v3"
)

// nodeCount is the number of entry nodes of a deployment today.
const nodeCount = 6

// demoRunners keeps the demo light; the deployments have about 65.
const demoRunners = 12

// Times of a planned stop.
const (
	drainNotice  = 4 * time.Second
	drainTimeout = 30 * time.Second
)

// System is a running demo.
type System struct {
	Site  *site.Site
	Nodes []flags.Settings

	// stops begin the planned stop of a node; kills end it without notice.
	stops []context.CancelFunc
	kills []context.CancelFunc
}

// Command returns the demo subcommand.
func Command() *cli.Command {
	var check bool
	return &cli.Command{
		Name:  "demo",
		Usage: "run stand-ins and six nodes in one process",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "check", Usage: "send requests, inject faults, check every answer and stop", Destination: &check},
		},
		Action: func(ctx context.Context, _ *cli.Command) error {
			log := hclog.New(&hclog.LoggerOptions{Name: "demo", Level: hclog.Warn, Output: os.Stderr})
			ctx, cancel := context.WithCancel(ctx)
			defer cancel()
			g := tasks.New(ctx)
			sys, err := Start(g, site.Strygekurv().WithRunners(demoRunners), log)
			if err != nil {
				return errors.Newf("start demo: %w", err)
			}
			if check {
				g.Go("check", func(ctx context.Context) error {
					defer cancel()
					return Check(ctx, sys, os.Stdout)
				})
			} else {
				sys.describe(os.Stdout)
			}
			return g.Wait()
		},
	}
}

// Start starts the stand-ins of d and six nodes in g.
func Start(g *tasks.Group, d site.Deployment, log hclog.Logger) (*System, error) {
	s, err := site.Start(g, d)
	if err != nil {
		return nil, errors.Newf("start stand-ins: %w", err)
	}
	sys := &System{Site: s}
	for i := range nodeCount {
		if err := sys.startNode(g, i, log); err != nil {
			return nil, err
		}
	}
	s.List(sys.Nodes)
	return sys, nil
}

// settings returns the settings of node i without its addresses.
func (s *System) settings(i int) flags.Settings {
	return flags.Settings{
		NodeName:        fmt.Sprintf("node-%d", i),
		DataCentre:      s.Site.Deployment.RunnerDataCentre(i),
		TableAddress:    s.Site.PlatformAddress,
		ObjectAddress:   s.Site.PlatformAddress,
		HostsAddress:    s.Site.PlatformAddress,
		OperatorKeyHash: view.HashKey(OperatorKey),
		LogLevel:        "info",
		DrainNotice:     drainNotice,
		DrainTimeout:    drainTimeout,
	}
}

// startNode starts node i and adds it to the system.
func (s *System) startNode(g *tasks.Group, i int, log hclog.Logger) error {
	const anyPort = "127.0.0.1:0"
	cfg := s.settings(i)
	cfg.CallerAddress, cfg.OperatorAddress, cfg.PeerAddress = anyPort, anyPort, anyPort
	lns, cfg, err := serve.Listen(g.Context(), cfg)
	if err != nil {
		return errors.Newf("open sockets of %s: %w", cfg.NodeName, err)
	}
	n, err := serve.New(cfg, lns, log, serve.Parts{})
	if err != nil {
		return errors.Newf("build %s: %w", cfg.NodeName, err)
	}
	planned, stop := context.WithCancel(context.WithoutCancel(g.Context()))
	s.Nodes = append(s.Nodes, cfg)
	s.stops = append(s.stops, stop)
	alive, kill := context.WithCancel(g.Context())
	s.kills = append(s.kills, kill)
	g.Go(cfg.NodeName, func(context.Context) error {
		done := make(chan struct{})
		defer close(done)
		defer context.AfterFunc(alive, func() { endAtOnce(n, done) })()
		return n.Run(planned)
	})
	return nil
}

// signalInterval is the time between signals to a node that has to end at once.
const signalInterval = 20 * time.Millisecond

// endAtOnce signals a node until it has ended; the second signal ends it without a planned stop.
func endAtOnce(n *serve.Node, done <-chan struct{}) {
	t := time.NewTicker(signalInterval)
	defer t.Stop()
	for {
		n.Stop()
		select {
		case <-done:
			return
		case <-t.C:
		}
	}
}

// describe prints the addresses, a key and a call that works.
func (s *System) describe(w io.Writer) {
	d := s.Site.Deployment
	_, _ = fmt.Fprintf(w, "deployment %s: %d runners of %s, service %s\n", d.Name, d.Runners, d.Model, d.Service)
	for _, cfg := range s.Nodes {
		_, _ = fmt.Fprintf(w, "%s in %-8s callers %s operators %s\n", cfg.NodeName, cfg.DataCentre, cfg.CallerAddress, cfg.OperatorAddress)
	}
	_, _ = fmt.Fprintf(w, "account key: %s\noperator key: %s\n\n", d.AccountKey(0), OperatorKey)
	_, _ = fmt.Fprintf(w, "curl -N http://%s/v1/completions -H 'Authorization: Bearer %s' \\\n"+
		"  -d '{\"model\":\"%s\",\"prompt\":\"hello\",\"max_tokens\":8,\"stream\":true}'\n",
		s.Nodes[0].CallerAddress, d.AccountKey(0), d.Model)
}
