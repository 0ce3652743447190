package edge

import (
	"context"
	"time"

	"geraniumhollow/internal/core/tasks"
	"geraniumhollow/internal/fleet/mirror"
	"geraniumhollow/internal/plat/table"
	"geraniumhollow/internal/route/batch"
	"geraniumhollow/internal/route/match"
	"github.com/cockroachdb/errors"
)

// Times of the copies of rows.
const (
	// readPause is the least time between two reads of a family from the store, so that changes that come together cost
	// one call.
	readPause = 100 * time.Millisecond
	// readWait is how long a read of the store waits for changes. Configurations and leaving servers have to be
	// known within 2 s, also when the store ceases to answer, or drops its history and with it the answers
	// that are waited for.
	readWait = 500 * time.Millisecond
	// readTime is how long it takes at most to find a source silent and to read the store.
	readTime = 2 * time.Second
	// gather is how long the nodes of a system that starts for the first time wait for each other.
	gather = 500 * time.Millisecond
	// sweepInterval is the time between looks for entries that have not come back after an outage.
	sweepInterval = 200 * time.Millisecond
)

// gatherTime returns how long a node waits for others before it reads their list.
func gatherTime(first bool) time.Duration {
	if first {
		return gather
	}
	return 0
}

// copy returns a copy of a family that follows other nodes or the store.
func (n *Node) copy(family string, apply func(mirror.Update), reached func(bool)) *mirror.Copy {
	return mirror.New(mirror.Config{
		Family: family, Self: n.address, Store: n.store, Patience: func(upstream bool) time.Duration { return n.mesh.Patience(upstream) },
		Origin: func() mirror.Origin { return n.mesh.Origin(family) }, Peer: func() table.Feed { return n.mesh.Peer(family) },
		Apply: apply, Reached: reached, Wait: readWait, Pause: readPause, Log: n.cfg.Log,
		Advanced: func(revision uint64) { n.mesh.Hint(family, revision) },
	})
}

// copyOf returns the copy of a family that other nodes may follow.
func (n *Node) copyOf(family string) *mirror.Copy {
	switch fam := n.cfg.Decoder.Families(); family {
	case fam.Servers:
		return n.servers
	case fam.Operator:
		return n.wishes
	default:
		return nil
	}
}

// applyServers takes a change of the registry.
func (n *Node) applyServers(u mirror.Update) {
	n.index.Apply(time.Now(), n.cfg.Decoder.Servers(u))
	n.keeper.Wake()
}

func (n *Node) reached(reached bool) { n.index.Reached(time.Now(), reached) }

// sweep drops entries that have not come back after an outage.
func (n *Node) sweep(ctx context.Context) error {
	return tasks.Every(ctx, sweepInterval, func(context.Context) {
		if gone := n.index.Sweep(time.Now()); gone > 0 {
			n.cfg.Log.Info("entries did not come back after the outage", "servers", gone)
			n.keeper.Wake()
		}
	})
}

// applyWishes takes a change of what operators want. A configuration that is not newer than the one in
// force is left aside.
func (n *Node) applyWishes(u mirror.Update) {
	w := n.cfg.Decoder.Operator(u, n.out)
	n.noteOut(w)
	n.index.SetOut(w.Out)
	if w.Document == nil {
		return
	}
	if old := n.table.Load(); old != nil && old.Version() >= w.Document.Version {
		n.cfg.Log.Info("configuration is not newer than the one in force", "version", w.Document.Version, "in_force", old.Version())
		return
	}
	n.table.Store(match.New(*w.Document))
	n.cfg.Metrics.Configuration(w.Document.Version, 0, "current")
	n.cfg.Log.Info("configuration in force", "version", w.Document.Version, "routes", len(w.Document.Routes),
		"accounts", len(w.Document.Accounts))
	n.keeper.Wake()
}

// noteOut logs data centres that operators have taken out or put back.
func (n *Node) noteOut(w Wishes) {
	for dc := range w.Out {
		if !n.out.Has(dc) {
			n.cfg.Log.Info("data centre was taken out", "data_centre", dc)
		}
	}
	for dc := range n.out {
		if !w.Out.Has(dc) {
			n.cfg.Log.Info("data centre was put back", "data_centre", dc)
		}
	}
	n.out = w.Out
}

// beats reads the registrations of all backend servers.
func (n *Node) beats(ctx context.Context) (map[string]uint64, error) {
	st, err := n.store.Snapshot(ctx, n.cfg.Decoder.Families().Servers)
	if err != nil {
		return nil, errors.Newf("read registrations: %w", err)
	}
	out := make(map[string]uint64, len(st.Rows))
	for _, i := range n.cfg.Decoder.Servers(mirror.Update{Full: true, Put: st.Rows}).Put {
		out[i.ID] = i.Beat
	}
	return out, nil
}

// engineService returns the service of model engines.
func (n *Node) engineService() (string, *batch.Engine) {
	t := n.table.Load()
	if t == nil {
		return "", nil
	}
	for _, s := range t.Services() {
		if s.Engine != nil && len(s.Engine.Models) > 0 {
			return s.Name, s.Engine
		}
	}
	return "", nil
}

func (n *Node) service(name string) *match.Service {
	t := n.table.Load()
	if t == nil {
		return nil
	}
	return t.Service(name)
}
