package edge

import (
	"context"
	"time"

	"geraniumhollow/internal/core/tasks"
	"geraniumhollow/internal/fleet/index"
	"geraniumhollow/internal/fleet/mirror"
	"geraniumhollow/internal/plat/table"
	"geraniumhollow/internal/route/batch"
	"geraniumhollow/internal/route/match"
	"github.com/cockroachdb/errors"
)

// Times for replicating rows.
const (
	// readPause is the minimum time between two reads of a family from the store, so that changes that occur together
	// need only one call.
	readPause = 100 * time.Millisecond
	// readWait is how long a read of the store waits for changes. Changes of the configuration and leaving servers must
	// be known within 2 s, even if the store stops responding, or drops its history and never answers the reads that
	// are waiting for changes.
	readWait = 500 * time.Millisecond
	// storeFallbackTime is the maximum time to detect that a source is not responding and to read the store instead.
	storeFallbackTime = 2 * time.Second
	// gatherDelay is how long nodes wait for each other when the system starts for the first time.
	gatherDelay = 500 * time.Millisecond
	// rewriteTime is how long a restored store may lack what operators have written. What is missing then was taken back.
	rewriteTime = index.ReregistrationGrace + changeDelay
	// changeDelay is how long a change takes to reach all nodes if none of them has to look for another source.
	changeDelay = time.Second
	// keptRowsWait is how long a node that starts waits for another one that may know newer rows of operators than a restored
	// store.
	keptRowsWait = 600 * time.Millisecond
	// sweepInterval is the time between checks for entries that were not registered again after an outage.
	sweepInterval = 200 * time.Millisecond
)

// gatherTime returns how long a node waits for others before it reads the list of nodes.
func gatherTime(first bool) time.Duration {
	if first {
		return gatherDelay
	}
	return 0
}

// copyConfig returns the configuration of a local copy of a row family, replicated from other nodes or the store.
func (n *Node) copyConfig(family string, apply func(mirror.Update), reached func(bool)) mirror.Config {
	return mirror.Config{
		Family: family, Name: n.address, Store: n.store, StoreReadDelay: func(upstream bool) time.Duration { return n.mesh.StoreReadDelay(upstream) },
		Source: func() mirror.Source { return n.mesh.Source(family) }, Peer: func() table.Feed { return n.mesh.Peer(family) },
		Apply: apply, OnUpToDate: reached, StoreWait: readWait, MinReadInterval: readPause, Log: n.cfg.Log,
		OnRevision: func(revision table.Revision, followed bool) { n.mesh.Hint(family, revision, followed) },
	}
}

// operatorCopy returns the local copy of the rows of operators.
func (n *Node) operatorCopy() *mirror.Copy {
	cfg := n.copyConfig(n.cfg.Decoder.Families().Operator, n.applyOperator, nil)
	cfg.Keep, cfg.KeepTime, cfg.PeerWait = n.cfg.Decoder.Keep, rewriteTime, keptRowsWait
	return mirror.New(cfg)
}

// copyOf returns the local copy of a family, from which other nodes may replicate, or nil if there is none.
func (n *Node) copyOf(family string) *mirror.Copy {
	switch fam := n.cfg.Decoder.Families(); family {
	case fam.Servers:
		return n.servers
	case fam.Operator:
		return n.operator
	default:
		return nil
	}
}

// applyServers applies an update of the registry of backend servers.
func (n *Node) applyServers(u mirror.Update) {
	n.index.Apply(time.Now(), n.cfg.Decoder.Servers(u))
	if u.Full {
		n.cfg.Log.Info("read all registrations of servers", "era", u.Era, "servers", len(u.Put), "set_aside", n.index.SetAside())
	}
	n.keeper.Wake()
}

func (n *Node) storeReachable(reached bool) { n.index.SetRegistryReachable(time.Now(), reached) }

// sweep drops entries that expired during an outage of the store and were not registered again in time.
func (n *Node) sweep(ctx context.Context) error {
	return tasks.Every(ctx, sweepInterval, func(context.Context) {
		if dropped := n.index.Sweep(time.Now()); dropped > 0 {
			n.cfg.Log.Info("dropped registry entries that were not registered again after the outage", "servers", dropped)
			n.keeper.Wake()
		}
	})
}

// applyOperator applies an update of the state that operators request. A configuration that is not newer than the
// one in force is ignored.
func (n *Node) applyOperator(u mirror.Update) {
	w := n.cfg.Decoder.Operator(u, n.outOfService)
	n.updateOut(w)
	n.index.SetOutOfService(w.OutOfService)
	if w.Document == nil {
		return
	}
	if old := n.table.Load(); old != nil && old.Version() >= w.Document.Version {
		n.cfg.Log.Info("ignoring a configuration that is not newer than the one in force", "version", w.Document.Version, "in_force", old.Version())
		return
	}
	n.table.Store(match.New(*w.Document))
	n.cfg.Metrics.Configuration(w.Document.Version, 0, "current")
	n.cfg.Log.Info("configuration in force", "version", w.Document.Version, "routes", len(w.Document.Routes),
		"accounts", len(w.Document.Accounts))
	n.keeper.Wake()
}

// updateOut stores the data centres that are out of service and logs the changes.
func (n *Node) updateOut(w OperatorState) {
	for dc := range w.OutOfService {
		if !n.outOfService.Has(dc) {
			n.cfg.Log.Info("data centre taken out of service", "data_centre", dc)
		}
	}
	for dc := range n.outOfService {
		if !w.OutOfService.Has(dc) {
			n.cfg.Log.Info("data centre put back in service", "data_centre", dc)
		}
	}
	n.outOfService = w.OutOfService
}

// readBeats reads the heartbeat counters of all registered backend servers from the store.
func (n *Node) readBeats(ctx context.Context) (map[string]uint64, error) {
	st, err := n.store.Snapshot(ctx, n.cfg.Decoder.Families().Servers)
	if err != nil {
		return nil, errors.Newf("read registrations: %w", err)
	}
	out := make(map[string]uint64, len(st.Rows))
	for _, i := range n.cfg.Decoder.Servers(mirror.Update{Full: true, Put: st.Rows}).Put {
		out[i.ID] = i.RenewalSeq
	}
	return out, nil
}

// engineService returns the first service that has an engine with models, or "" and nil if there is none.
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
