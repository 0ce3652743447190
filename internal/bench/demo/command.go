package demo

import (
	"context"
	"encoding/json"
	"os"
	"time"

	"geraniumhollow/internal/bench/load"
	"geraniumhollow/internal/bench/site"
	"geraniumhollow/internal/core/tasks"
	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/urfave/cli/v3"
)

// loadSettings are the flags of the load subcommand.
type loadSettings struct {
	deployment string
	runners    int
	nodes      []string
	rate       float64
	length     time.Duration
	seed       int
	profile    string
	slow       float64
	faults     bool
	kill       bool
	processes  bool
	out        string
	compare    []string
}

// LoadCommand returns the load subcommand, which drives the demo, or running nodes.
func LoadCommand() *cli.Command {
	var s loadSettings
	return &cli.Command{
		Name:  "load",
		Usage: "drive the demo or running nodes with a seeded load and check every answer",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "deployment", Value: "strygekurv", Usage: "strygekurv or sutradhar", Destination: &s.deployment},
			&cli.IntFlag{Name: "runners", Value: 65, Usage: "model runners of the demo", Destination: &s.runners},
			&cli.StringSliceFlag{Name: "node", Usage: "IP and port for callers of a running node; without any, the demo is started", Destination: &s.nodes},
			&cli.FloatFlag{Name: "rate", Value: 100, Usage: "highest arrival rate, requests a second", Destination: &s.rate},
			&cli.DurationFlag{Name: "length", Value: 40 * time.Second, Usage: "length of the load", Destination: &s.length},
			&cli.IntFlag{Name: "seed", Value: 1, Destination: &s.seed},
			&cli.StringFlag{Name: "profile", Value: string(load.Steady), Usage: "steady, term_start or exam_week", Destination: &s.profile},
			&cli.FloatFlag{Name: "slow-readers", Usage: "share of streamed answers that are read slowly", Destination: &s.slow},
			&cli.BoolFlag{Name: "faults", Usage: "with the demo: data centre out and back, engine killed, a request that crashes engines, node stopped, store outage", Destination: &s.faults},
			&cli.BoolFlag{Name: "kill", Usage: "with the demo: end a node without notice; callers come back", Destination: &s.kill},
			&cli.BoolFlag{Name: "processes", Usage: "with the demo: run each node in a process of its own", Destination: &s.processes},
			&cli.StringFlag{Name: "out", Usage: "file for the result as JSON", Destination: &s.out},
			&cli.StringSliceFlag{Name: "compare", Usage: "two result files to print side by side instead of a load", Destination: &s.compare},
		},
		Action: func(ctx context.Context, _ *cli.Command) error { return s.run(ctx) },
	}
}

func (s loadSettings) run(ctx context.Context) error {
	if len(s.compare) > 0 {
		return compareFiles(s.compare)
	}
	d := site.Strygekurv()
	if s.deployment == "sutradhar" {
		d = site.Sutradhar()
	}
	m := load.Mix{
		Deployment: d.WithRunners(s.runners), Seed: uint64(s.seed), Length: s.length, Rate: s.rate,
		Profile: load.Profile(s.profile), SlowReaders: s.slow,
	}
	res, err := s.drive(ctx, m)
	if err != nil {
		return err
	}
	if err := s.write(res); err != nil {
		return err
	}
	if res.Failed() {
		return ErrCheckFailed
	}
	return nil
}

// drive runs the load against the nodes of the settings, or against the demo.
func (s loadSettings) drive(ctx context.Context, m load.Mix) (*load.Result, error) {
	if len(s.nodes) > 0 {
		res, _, err := load.Run(ctx, "load", m, load.Target{Callers: s.nodes}, nil)
		if err != nil {
			return nil, errors.Newf("drive nodes: %w", err)
		}
		res.WriteTable(os.Stdout)
		return res, nil
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	g := tasks.New(ctx)
	start := func() (*System, error) { return Start(g, m.Deployment, hclog.NewNullLogger()) }
	if s.processes {
		start = func() (*System, error) { return StartProcesses(g, m.Deployment) }
	}
	sys, err := start()
	if err != nil {
		return nil, errors.Newf("start demo: %w", err)
	}
	var res *load.Result
	g.Go("load", func(ctx context.Context) error {
		defer cancel()
		for _, cfg := range sys.Nodes {
			if err := waitServing(ctx, sys, cfg.CallerAddress); err != nil {
				return err
			}
		}
		res, err = s.trial(m).Run(ctx, sys, os.Stdout)
		return err
	})
	if err := g.Wait(); err != nil {
		return nil, err
	}
	return res, nil
}

// trial places the faults over the length of the load.
func (s loadSettings) trial(m load.Mix) Trial {
	t := Trial{Name: "load", Mix: m}
	at := func(percent int) time.Duration { return m.Length * time.Duration(percent) / 100 }
	if s.kill {
		t.NodeKilled = at(30)
	}
	if !s.faults {
		return t
	}
	t.Name = "load with faults"
	t.EngineKilled = at(10)
	t.DataCentreOut, t.DataCentreBack = at(20), at(40)
	t.Crasher = at(42)
	t.StoreDown, t.StoreUp = at(50), at(75)
	t.NodeStopped = at(82)
	return t
}

func (s loadSettings) write(res *load.Result) error {
	if s.out == "" {
		return nil
	}
	f, err := os.Create(s.out)
	if err != nil {
		return errors.Newf("write result: %w", err)
	}
	defer func() { _ = f.Close() }()
	return res.WriteJSON(f)
}

func compareFiles(names []string) error {
	const two = 2
	if len(names) != two {
		return errors.Newf("compare takes two files, not %d", len(names))
	}
	var results [two]load.Result
	for i, name := range names {
		raw, err := os.ReadFile(name)
		if err != nil {
			return errors.Newf("read result: %w", err)
		}
		if err := json.Unmarshal(raw, &results[i]); err != nil {
			return errors.Newf("decode %s: %w", name, err)
		}
		results[i].Name = name
	}
	load.CompareResults(os.Stdout, &results[0], &results[1])
	return nil
}
