// Package serve builds a node from its parts and runs it.
package serve

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"geraniumhollow/internal/conf/apply"
	"geraniumhollow/internal/conf/flags"
	"geraniumhollow/internal/conf/schema"
	"geraniumhollow/internal/conf/view"
	"geraniumhollow/internal/core/tasks"
	"geraniumhollow/internal/node/admin"
	"geraniumhollow/internal/node/caller"
	"geraniumhollow/internal/node/relay"
	"geraniumhollow/internal/plat/table"
	"geraniumhollow/internal/report/metric"
	"geraniumhollow/internal/report/reason"
	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
)

// pollInterval is the time between reads of the version row.
const pollInterval = time.Second

// reasonEntries is the number of recent decisions that a node keeps, about 1 MB.
const reasonEntries = 4096

// Node is one entry node.
type Node struct {
	cfg     flags.Settings
	lns     Listeners
	log     hclog.Logger
	configs *apply.Store
	view    atomic.Pointer[view.View]
}

// Listeners are the sockets of a node.
type Listeners struct {
	Callers   net.Listener
	Operators net.Listener
	Peers     net.Listener
}

// Listen opens the sockets of a node and returns the settings with the ports that the system picked
// for addresses with port 0.
func Listen(ctx context.Context, cfg flags.Settings) (Listeners, flags.Settings, error) {
	var lns Listeners
	var lc net.ListenConfig
	for _, l := range []struct {
		ln   *net.Listener
		addr *string
	}{
		{&lns.Callers, &cfg.CallerAddress},
		{&lns.Operators, &cfg.OperatorAddress},
		{&lns.Peers, &cfg.PeerAddress},
	} {
		ln, err := lc.Listen(ctx, "tcp", *l.addr)
		if err != nil {
			return Listeners{}, cfg, errors.Newf("listen on %s: %w", *l.addr, err)
		}
		*l.ln = ln
		*l.addr = ln.Addr().String()
	}
	return lns, cfg, nil
}

// New returns a node that has not started. It returns an error marked flags.ErrInvalid when the
// settings cannot be used.
func New(cfg flags.Settings, lns Listeners, log hclog.Logger) (*Node, error) {
	if err := cfg.Check(); err != nil {
		return nil, errors.Newf("check settings: %w", err)
	}
	n := &Node{
		cfg:     cfg,
		lns:     lns,
		log:     log.Named(cfg.NodeName),
		configs: apply.New(table.New(cfg.TableAddress), time.Now),
	}
	n.view.Store(view.New(0, &schema.Document{}))
	return n, nil
}

// Run serves until ctx ends.
func (n *Node) Run(ctx context.Context) error {
	g := tasks.New(ctx)
	rl := relay.New(n.log.Named("relay"), n.view.Load, relay.Deps{})
	srv := caller.New(g.Context(), n.log.Named("caller"), n.cfg.NodeName, n.view.Load, rl)
	metrics := metric.New()
	adm, err := admin.New(g.Context(), admin.Deps{
		Log: n.log.Named("admin"), Configs: n.configs, View: n.view.Load, Reasons: reason.New(reasonEntries, time.Now),
		Node:    admin.NewLocal(n.cfg.NodeName, n.cfg.DataCentre, n.view.Load, n.accept),
		Metrics: metrics.Handler(), KeyHash: n.cfg.OperatorKeyHash, Now: time.Now,
	})
	if err != nil {
		return errors.Newf("build operators' address: %w", err)
	}
	g.Go("operators", func(ctx context.Context) error { return adm.Serve(ctx, n.lns.Operators) })
	g.Go("callers", func(ctx context.Context) error { return srv.Serve(ctx, n.lns.Callers) })
	g.Go("configuration", n.pollConfig)
	if err := g.Wait(); err != nil {
		return errors.Newf("node %s: %w", n.cfg.NodeName, err)
	}
	return nil
}

// pollConfig reads the configuration until ctx ends.
func (n *Node) pollConfig(ctx context.Context) error {
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	for {
		if err := n.readConfig(ctx); err != nil && ctx.Err() == nil {
			n.log.Warn("configuration not read", "error", err)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}

// readConfig puts the current version in force if it is newer than the node's own.
func (n *Node) readConfig(ctx context.Context) error {
	version, _, err := n.configs.Version(ctx)
	if err != nil {
		return err
	}
	if version <= n.view.Load().Version {
		return nil
	}
	e, err := n.configs.Entry(ctx, version)
	if err != nil {
		return err
	}
	n.accept(e)
	return nil
}

// accept puts a version in force if it is newer than the node's own.
func (n *Node) accept(e apply.Entry) {
	for next, old := view.New(e.Version, e.Document), n.view.Load(); old.Version < e.Version; old = n.view.Load() {
		if n.view.CompareAndSwap(old, next) {
			n.log.Info("configuration in force", "version", e.Version)
			return
		}
	}
}
