package demo

import (
	"context"
	"syscall"

	"geraniumhollow/internal/bench/site"
	"geraniumhollow/internal/core/tasks"
	"github.com/cockroachdb/errors"
)

// StartProcesses starts the stand-ins of d in g, and six nodes in processes of their own. A killed node is
// killed by the system: its connections are reset and it says nothing to anybody.
func StartProcesses(g *tasks.Group, d site.Deployment) (*System, error) {
	st, err := site.Start(g, d)
	if err != nil {
		return nil, errors.Newf("start stand-ins: %w", err)
	}
	s := &System{Site: st}
	for i := range nodeCount {
		if err := s.startProcess(g, i); err != nil {
			return nil, err
		}
	}
	st.List(s.Nodes)
	return s, nil
}

func (s *System) startProcess(g *tasks.Group, i int) error {
	cfg := s.settings(i)
	cfg.LogLevel = "error"
	cmd, cfg, err := site.StartProcess(g.Context(), cfg)
	if err != nil {
		return errors.Newf("start process of %s: %w", cfg.NodeName, err)
	}
	s.Nodes = append(s.Nodes, cfg)
	s.stops = append(s.stops, func() { _ = cmd.Process.Signal(syscall.SIGTERM) })
	s.kills = append(s.kills, func() { _ = cmd.Process.Kill() })
	g.Go(cfg.NodeName, func(context.Context) error {
		_ = cmd.Wait() // Ends by a signal of the trial or with the group.
		return nil
	})
	return nil
}
