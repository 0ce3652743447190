// Package edge builds and runs a node that relays requests on a platform without interpreting their content.
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
	"geraniumhollow/internal/fleet/usage"
	"geraniumhollow/internal/node/detour"
	"geraniumhollow/internal/node/duties"
	"geraniumhollow/internal/node/front"
	"geraniumhollow/internal/node/keeper"
	"geraniumhollow/internal/node/mesh"
	"geraniumhollow/internal/node/pass"
	"geraniumhollow/internal/node/scaler"
	"geraniumhollow/internal/node/seat"
	"geraniumhollow/internal/node/tally"
	"geraniumhollow/internal/route/match"
	"geraniumhollow/internal/route/pace"
	"geraniumhollow/internal/route/queue"
	"geraniumhollow/internal/route/quota"
	"geraniumhollow/internal/route/retry"
	"geraniumhollow/internal/route/shed"
	"github.com/cockroachdb/errors"
)

// Node is one node of the system.
type Node struct {
	cfg      Config
	settings atomic.Pointer[Settings]
	// switchable is the store client behind store, which adds metrics.
	switchable *switchableStore
	store      Store
	index      *index.Index
	// table matches requests to routes. It is built from the configuration in force, and nil before the first.
	table   atomic.Pointer[match.Table]
	servers *mirror.Copy
	// operator is the local copy of the rows with the state that operators have requested.
	operator *mirror.Copy
	mesh     *mesh.Mesh
	// seats chooses a backend server for each request.
	seats *seat.Picker
	// crashes tracks requests that may crash backend servers.
	crashes *pass.CrashTracker
	// quarantines keeps the quarantined parts of prompts in the store.
	quarantines *Quarantines
	front       *front.Server
	// bodies is the memory for bodies of requests.
	bodies *shed.Budget
	// answers is the memory for what is held of answers, messages the one for messages of other nodes.
	answers, messages *shed.Budget
	// detour passes requests on while this node reaches no backend server, and forwarded takes those of other nodes.
	detour    *detour.Detour
	forwarded *front.Server
	// keeper forms and dissolves groups of backend servers while this node holds that duty.
	keeper *keeper.Keeper
	// tally counts the demand of callers of this node, and scaler decides on the number of backend servers.
	tally  *tally.Tally
	scaler *scaler.Scaler
	// duties calls the platform's API while this node holds the duty of the keeper.
	duties *duties.Duties
	group  *tasks.Group
	// startedAt is when this process started.
	startedAt time.Time
	// served is true once the node has served a request of a caller.
	served atomic.Bool
	// address is the address for connections from other nodes, by which they identify this node.
	address string
	// split divides the limits of the fleet among its nodes.
	split atomic.Pointer[quota.Split]
	// rates are the rates that backend servers name for all nodes together.
	rates *pace.Book
	// pressure combines the demand for models over the nodes.
	pressure *queue.Tree
	stopping atomic.Bool
	// joinedAt is the time at which this node first appeared in the list of nodes, or nil before that.
	joinedAt atomic.Pointer[time.Time]

	mu           sync.Mutex
	outOfService sets.Set[string]
	budgets      map[string]*retry.Budget
}

// New returns a node that is not running yet.
func New(cfg Config) (*Node, error) {
	set, err := cfg.Settings()
	if err != nil {
		return nil, errors.Newf("read settings: %w", err)
	}
	n := &Node{cfg: cfg, startedAt: time.Now(), index: index.New(), outOfService: sets.New[string](), budgets: make(map[string]*retry.Budget)}
	n.settings.Store(&set)
	n.bodies, n.answers, n.messages = set.host().Bodies(), set.host().Answers(), set.host().Messages()
	n.switchable = newSwitchableStore(cfg.NewStore, set.StoreAddress)
	n.store = cfg.Metrics.Store(n.switchable)
	address := net.JoinHostPort(set.IP, strconv.Itoa(set.PeerPort))
	n.address = address
	n.index.SetHeartbeatInterval(set.HeartbeatInterval)
	n.updateMembers(nil)
	n.rates = pace.NewBook(n.sendingPosition)
	n.pressure = queue.NewTree()
	incarnation := strconv.FormatInt(time.Now().UnixNano(), 36)
	n.servers = mirror.New(n.copyConfig(cfg.Decoder.Families().Servers, n.applyServers, n.storeReachable))
	n.operator = n.operatorCopy()
	n.detour = n.newDetour(set)
	n.mesh, err = mesh.New(mesh.Config{
		Address: address, DataCentre: set.DataCentre, Incarnation: incarnation, Capacity: set.Capacity,
		Forwards: forwardAddress(set), Region: set.Region, Status: n.status,
		Gather: gatherTime(set.FirstStart), StoreReadDelay: max(0, set.ChangeTime-storeFallbackTime),
		Table: n.store, Feed: n.store, Copies: n.copyOf, Members: n.updateMembers, OnStalled: n.handleStalled, Keeper: n.keeperAddress,
		OnHolderReport: func(w duty.HolderReport) { n.keeper.HandleHolderReport(w) }, OnPeerConnected: n.handlePeerConnected,
		CanReach: n.canReach, OnSuspects: n.handleFindings, Messages: n.messages,
		OnUsage: func(list []usage.Report) { n.duties.HandleReports(list) }, OnClock: func(node string, wall, estimate time.Time) { n.duties.HandleClock(node, wall, estimate) },
		OnRates: func(from string, list []pace.Notice) { n.rates.Learn(time.Now(), from, list) }, OnPressure: n.handlePressure, Log: cfg.Log,
	})
	if err != nil {
		return nil, errors.Newf("create mesh: %w", err)
	}
	n.seats = seat.New(seat.Config{
		View: n.index.View, Service: n.service, ColdAllowance: n.coldAllowance, Rates: n.rates, Nodes: n.mesh.Size, OnStalled: n.mesh.Stalled,
		Now: time.Now, Seed: uint64(os.Getpid()), Links: n.detour, Source: set.IP, Metrics: cfg.Metrics, Log: cfg.Log,
	})
	n.quarantines = NewQuarantines(QuarantineConfig{
		Table: n.store, Crashes: func() *pass.CrashTracker { return n.crashes }, Share: n.shareFindings,
		Holds: func() bool { return n.keeper.Holds() }, Era: func() uint64 { return n.operator.Revision().Era }, Log: cfg.Log,
	})
	n.crashes, err = pass.NewCrashTracker(pass.CrashTrackerDeps{
		Probe: n.probe, Confirm: n.detour.Confirm, Share: n.shareFindings, ClaimTrial: n.quarantines.ClaimTrial, Group: func() *tasks.Group { return n.group }, Log: cfg.Log,
	})
	if err != nil {
		return nil, errors.Newf("create crash tracker: %w", err)
	}
	n.tally = n.newTally(set)
	relay := pass.New(pass.Deps{
		Codec: cfg.Codec, Table: n.table.Load, Picker: n.seats, Detour: n.detour, Crashes: n.crashes, Budget: n.budget,
		Began:   func(account string) { n.duties.Began(account) },
		Metrics: cfg.Metrics, Log: cfg.Log, Demand: n.tally, Answers: n.answers,
	})
	n.front = front.New(front.Config{
		Handler: relay, Limits: n.limits, MaxConnections: set.host().MaxCallers(), Bodies: n.bodies, Log: cfg.Log,
	})
	n.forwarded = front.New(front.Config{
		Handler: detour.Handler{Detour: n.detour, Relay: relay, Capacity: set.Capacity, Stopping: n.stopping.Load},
		Limits:  n.forwardLimits, MaxConnections: int(forwardDescriptorShare * float64(set.Descriptors)), Bodies: n.bodies, MarkShed: pass.MarkShed,
		Log: cfg.Log,
	})
	n.keeper = keeper.New(keeper.Config{
		Node: address + "/" + incarnation, Table: n.store, Engines: cfg.Engines, View: n.index.View, Service: n.engineService, FollowsDemand: n.followsDemand,
		StallTime: set.StallTime, HeartbeatInterval: set.HeartbeatInterval, ReadHeartbeats: n.readBeats, Traffic: n.served.Load, Sleep: tasks.Sleep,
		Confirm: n.detour.Confirm, Heard: n.detour.Heard, Isolated: n.detour.Isolated,
		ProbeFromPeers: n.queryReachability, Announce: n.mesh.Announce, HasPeerExcept: n.mesh.HasPeerExcept, IsStandby: n.mesh.Leads, Metrics: cfg.Metrics, Log: cfg.Log,
	})
	n.scaler = n.newScaler()
	n.duties = n.newDuties(set, incarnation)
	n.registerMetrics()
	return n, nil
}

// registerMetrics registers the gauges of the node.
func (n *Node) registerMetrics() {
	n.cfg.Metrics.Func("quarantined_parts", "Parts of prompts that are quarantined because they crash backend servers.",
		func() float64 { return float64(len(n.crashes.Quarantines())) })
	n.cfg.Metrics.Func("rate_limited_servers", "Backend servers that name a rate of requests for all nodes together.",
		func() float64 { return float64(n.rates.Limited(time.Now())) })
	n.cfg.Metrics.Collect(queueCollector{lines: n.seats.Lines})
	n.cfg.Metrics.Func("isolated", "1 while this node reaches no backend server and passes requests on to other nodes.", func() float64 {
		if n.detour.Isolated() {
			return 1
		}
		return 0
	})
	n.cfg.Metrics.Func("forwarded_requests", "Requests of other nodes in progress.", func() float64 { return float64(n.detour.Forwarded()) })
	n.cfg.Metrics.Func("body_bytes", "Bytes that bodies of requests hold.", func() float64 { return float64(n.bodies.Stats().Held) })
	n.cfg.Metrics.Func("body_bytes_limit", "Most bytes that bodies of requests may hold.", func() float64 { return float64(n.bodies.Stats().Limit) })
	n.cfg.Metrics.Func("bodies_shed", "Bodies of requests that gave way to others since the start.", func() float64 { return float64(n.bodies.Stats().Shed) })
	n.cfg.Metrics.Func("answer_bytes", "Bytes that are held of answers of backend servers.", func() float64 { return float64(n.answers.Stats().Held) })
	n.cfg.Metrics.Func("answer_bytes_limit", "Most bytes that may be held of answers.", func() float64 { return float64(n.answers.Stats().Limit) })
	n.cfg.Metrics.Func("answers_shed", "Attempts that gave way because no more of their answers could be held.", func() float64 { return float64(n.answers.Stats().Shed) })
	n.cfg.Metrics.Func("link_messages_shed", "Links that were closed because no more of their messages could be held.", func() float64 { return float64(n.messages.Stats().Shed) })
	n.cfg.Metrics.Func("connections_shed", "Connections of callers that were closed for others or refused since the start.",
		func() float64 { return float64(n.front.ShedConnections()) })
	n.cfg.Metrics.Func("caller_connections", "Open connections of callers.", func() float64 { return float64(n.front.OpenConnections()) })
}

// Run serves until a planned stop is complete. The stop begins when stopCtx ends.
func (n *Node) Run(stopCtx context.Context) error {
	ctx, cancel := context.WithCancel(context.WithoutCancel(stopCtx))
	defer cancel()
	set := n.settings.Load()
	callers, err := front.TCPLimits.Listen(ctx, set.CallerAddress)
	if err != nil {
		return errors.Newf("listen for callers: %w", err)
	}
	n.cfg.Log.Info("node started", "node", set.Node, "data_centre", set.DataCentre, "callers", set.CallerAddress,
		"store", set.StoreAddress, "pid", os.Getpid())
	g := tasks.New(ctx)
	n.group = g
	g.Go("mesh", n.mesh.Run)
	g.Go("seats", n.seats.Run)
	g.Go("detour", n.detour.Run)
	g.Go("forwarded requests", n.serveForwarded)
	g.Go("sweep", n.sweep)
	g.Go("servers", n.servers.Run)
	g.Go("wishes", n.operator.Run)
	g.Go("keeper", n.keeper.Run)
	g.Go("duties", n.duties.Run)
	g.Go("reload", n.reload)
	g.Go("quarantines", n.quarantines.Run)
	g.Go("rates", n.shareRates)
	g.Go("pressure", n.sharePressure)
	g.Go("callers", func(ctx context.Context) error { return n.front.Run(ctx, callers) })
	g.Go("stop", func(ctx context.Context) error { return n.stop(ctx, stopCtx, cancel) })
	g.Go("balancer", n.serveReadiness)
	g.Go("metrics", n.serveMetrics)
	if err := g.Wait(); err != nil {
		return errors.Newf("run node: %w", err)
	}
	return nil
}
