// Package edge builds a node that relays opaque requests on a platform, and runs it.
package edge

import (
	"context"
	"net"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"geraniumhollow/internal/core/sets"
	"geraniumhollow/internal/core/tasks"
	"geraniumhollow/internal/fleet/duty"
	"geraniumhollow/internal/fleet/index"
	"geraniumhollow/internal/fleet/mirror"
	"geraniumhollow/internal/node/front"
	"geraniumhollow/internal/node/keeper"
	"geraniumhollow/internal/node/mesh"
	"geraniumhollow/internal/node/pass"
	"geraniumhollow/internal/node/seat"
	"geraniumhollow/internal/route/match"
	"geraniumhollow/internal/route/quota"
	"geraniumhollow/internal/route/retry"
	"github.com/cockroachdb/errors"
)

// Node is one node.
type Node struct {
	cfg      Config
	settings atomic.Pointer[Settings]
	moved    *movable
	store    Store
	index    *index.Index
	table    atomic.Pointer[match.Table]
	servers  *mirror.Copy
	wishes   *mirror.Copy
	mesh     *mesh.Mesh
	seats    *seat.Seats
	crashes  *pass.Crashes
	front    *front.Server
	keeper   *keeper.Keeper
	group    *tasks.Group
	// served is set once a caller has been served.
	served   atomic.Bool
	address  string
	split    atomic.Pointer[quota.Split]
	stopping atomic.Bool
	// joined is when this node was first in the list of nodes, nil before that.
	joined atomic.Pointer[time.Time]

	mu      sync.Mutex
	out     sets.Set[string]
	budgets map[string]*retry.Budget
}

// connectionsShare is the part of the descriptors that connections of callers may use. The rest is for
// backend servers, other nodes and files.
const connectionsShare = 0.4

// New returns a node that has not started.
func New(cfg Config) (*Node, error) {
	set, err := cfg.Settings()
	if err != nil {
		return nil, errors.Newf("settings: %w", err)
	}
	n := &Node{cfg: cfg, index: index.New(), out: sets.New[string](), budgets: make(map[string]*retry.Budget)}
	n.settings.Store(&set)
	n.moved = newMovable(cfg.Store, set.StoreAddress)
	n.store = cfg.Metrics.Store(n.moved)
	address := net.JoinHostPort(set.IP, strconv.Itoa(set.PeerPort))
	n.address = address
	n.splitAmong(nil)
	incarnation := strconv.FormatInt(time.Now().UnixNano(), 36)
	n.servers = n.copy(cfg.Decoder.Families().Servers, n.applyServers, n.reached)
	n.wishes = n.copy(cfg.Decoder.Families().Operator, n.applyWishes, nil)
	n.mesh, err = mesh.New(mesh.Config{
		Address: address, DataCentre: set.DataCentre, Incarnation: incarnation, Capacity: set.Capacity,
		Gather: gatherTime(set.FirstStart), Patience: max(0, set.ChangeTime-readTime),
		Table: n.store, Feed: n.store, Copies: n.copyOf, Members: n.splitAmong, Stalled: n.takeStalled, Keeper: n.keeperAddress,
		Duty: func(w duty.Word) { n.keeper.Heard(w) }, Met: func(at, inc string) { n.keeper.Met(at, inc) },
		Reaches: n.reaches, Suspects: n.takeSuspects, Log: cfg.Log,
	})
	if err != nil {
		return nil, errors.Newf("mesh: %w", err)
	}
	n.seats = seat.New(seat.Config{
		View: n.index.View, Service: n.service, ColdAllowance: n.coldAllowance, Nodes: n.mesh.Size, Stalled: n.mesh.Stalled,
		Now: time.Now, Seed: uint64(os.Getpid()), Metrics: cfg.Metrics, Log: cfg.Log,
	})
	n.crashes = pass.NewCrashes(pass.CrashDeps{
		Dead: n.dead, Share: n.shareSuspects, Group: func() *tasks.Group { return n.group }, Log: cfg.Log,
	})
	n.front = front.New(front.Config{
		Handler: pass.New(pass.Deps{
			Codec: cfg.Codec, Table: n.table.Load, Seats: n.seats, Crashes: n.crashes, Budget: n.budget,
			Metrics: cfg.Metrics, Log: cfg.Log,
		}),
		Limits: n.limits, MaxConnections: int(connectionsShare * float64(set.Descriptors)), Log: cfg.Log,
	})
	n.keeper = keeper.New(keeper.Config{
		Node: address + "/" + incarnation, Table: n.store, Engines: cfg.Engines, View: n.index.View, Service: n.engineService,
		StallTime: set.StallTime, BeatInterval: set.BeatInterval, Beats: n.beats, Traffic: n.served.Load,
		Witness: n.witness, Announce: n.mesh.Announce, Linked: n.mesh.Linked, StandsBy: n.mesh.Leads, Metrics: cfg.Metrics, Log: cfg.Log,
	})
	cfg.Metrics.Func("caller_connections", "Open connections of callers.", func() float64 { return float64(n.front.Open()) })
	return n, nil
}

// Run serves until a planned stop has ended, which begins when asked ends.
func (n *Node) Run(asked context.Context) error {
	ctx, end := context.WithCancel(context.WithoutCancel(asked))
	defer end()
	set := n.settings.Load()
	callers, err := front.Silence.Listen(ctx, set.CallerAddress)
	if err != nil {
		return errors.Newf("listen for callers: %w", err)
	}
	n.cfg.Log.Info("node started", "node", set.Node, "data_centre", set.DataCentre, "callers", set.CallerAddress,
		"store", set.StoreAddress, "pid", os.Getpid())
	g := tasks.New(ctx)
	n.group = g
	g.Go("mesh", n.mesh.Run)
	g.Go("seats", n.seats.Run)
	g.Go("sweep", n.sweep)
	g.Go("servers", n.servers.Run)
	g.Go("wishes", n.wishes.Run)
	g.Go("keeper", n.keeper.Run)
	g.Go("reload", n.reload)
	g.Go("callers", func(ctx context.Context) error { return n.front.Run(ctx, callers) })
	g.Go("stop", func(ctx context.Context) error { return n.stop(ctx, asked, end) })
	g.Go("balancer", n.answerBalancer)
	g.Go("metrics", n.serveMetrics)
	if err := g.Wait(); err != nil {
		return errors.Newf("run: %w", err)
	}
	return nil
}
