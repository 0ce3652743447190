// Package keeper runs the group decider and does its I/O: it acquires the duty to keep the groups of a service, stores the
// plan, and sends orders and probes.
package keeper

import (
	"context"
	"sync"
	"time"

	"geraniumhollow/internal/core/clock"
	"geraniumhollow/internal/core/tasks"
	"geraniumhollow/internal/fleet/duty"
	"geraniumhollow/internal/fleet/index"
	"geraniumhollow/internal/fleet/server"
	"geraniumhollow/internal/plan/group"
	"geraniumhollow/internal/plat/table"
	"geraniumhollow/internal/report/metric"
	"geraniumhollow/internal/route/batch"
	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
)

// ErrProcessEnded marks a probe or order error that proves that the process at the address has ended.
var ErrProcessEnded = errors.New("no process at the address")

// Engines sends orders to backend servers and queries their state. It is safe for concurrent use.
type Engines interface {
	// Order sends an order. It returns group.Unknown with an error if the order may or may not be executed, and
	// group.Rejected with an error that proves that it is not executed.
	Order(ctx context.Context, o group.Order) (group.Outcome, error)
	// Report returns the state of a backend server. An error marked ErrProcessEnded proves that the server has ended.
	Report(ctx context.Context, p group.Probe) (server.Report, error)
	// Try asks a backend server for its state over a new connection, and calls connected once the connection is made.
	Try(ctx context.Context, p group.Probe, connected func()) error
}

// Config holds the settings and dependencies of a keeper.
type Config struct {
	// Node identifies this process among all that may acquire the duty.
	Node    string
	Table   table.Table
	Engines Engines
	View    func() *index.View
	// Service returns the service whose groups are managed and its engine, or "" while there is no service.
	Service func() (string, *batch.Engine)
	// FollowsDemand reports whether the number of groups follows demand, see SetTargets. Nil if it never does.
	FollowsDemand func() bool
	// StallTime is how long the head of a group stalls after the loss of a member before the group is broken up.
	StallTime time.Duration
	// HeartbeatInterval is the time between renewals of a server's registration. ReadHeartbeats reads the renewal counters of all
	// servers.
	HeartbeatInterval time.Duration
	ReadHeartbeats    func(ctx context.Context) (map[string]uint64, error)
	// ProbeFromPeers asks other nodes whether they reach a server. It returns the number of nodes that answered and the
	// number of those that reach it.
	ProbeFromPeers func(ctx context.Context, p group.Probe) (asked, reached int)
	// Announce notifies other nodes that this one holds the duty, and whether it cannot act.
	Announce func(w duty.HolderReport)
	// IsStandby reports whether this node is a standby, which acquires the duty as soon as it is free.
	IsStandby func() bool
	// HasPeerExcept reports whether this node has a link to any node except the given one.
	HasPeerExcept func(except string) bool
	// Confirm reports whether this node reaches servers, so that the failure of one to answer is evidence about that one. It
	// may make a check. Heard is called when a server has answered.
	Confirm func(ctx context.Context) bool
	Heard   func(server string)
	// Isolated reports whether this node reaches no server while other nodes do. It then neither changes groups nor keeps
	// the duty from others.
	Isolated func() bool
	// Sleep waits for d or until ctx is done, and reports whether ctx is not done. It is tasks.Sleep except in tests.
	Sleep func(ctx context.Context, d time.Duration) bool
	// Traffic reports whether requests of callers have been served.
	Traffic func() bool
	Metrics *metric.Set
	Log     hclog.Logger
}

// Keys of rows in the store.
const (
	dutyKey    = "duty/groups"
	planPrefix = "plan/"
)

// Intervals and timeouts of the keeper.
const (
	// stepInterval is the time between steps of the decider when no event occurs.
	stepInterval = 100 * time.Millisecond
	// idleInterval is the interval for a node that neither holds the duty nor is a standby. It is longer because most nodes
	// are in this state and have little processor time.
	idleInterval = 500 * time.Millisecond
	// orderTimeout limits orders to backend servers.
	orderTimeout = 600 * time.Millisecond
	// probeTimeout is how long this process has to run until a probe without an answer counts as missed. An answer is awaited for
	// maxProbeTime.
	probeTimeout = 120 * time.Millisecond
	maxProbeTime = 1500 * time.Millisecond
	// minObserverLag is how much longer than its timeout a probe takes if this process was not scheduled.
	minObserverLag = 60 * time.Millisecond
	// connectTimeout limits the check whether the host of a silent server accepts connections.
	connectTimeout = 100 * time.Millisecond
	// maxConcurrentProbes limits the load of probes. When a failure domain is suspected, all of its servers are probed,
	// and a node with a fifth of a core handles about two answers per millisecond: more concurrent probes would time out.
	maxConcurrentProbes = 24
	// heartbeatReadInterval is the time between reads of the registrations of servers and the timeout of each.
	heartbeatReadInterval = time.Second
	// reportInterval is the minimum time between reports of the number of groups.
	reportInterval = 2 * time.Second
	// commitTimeout limits a call to the store.
	commitTimeout = time.Second
	// storeRetryDelay is the delay before a retry after the plan could not be read or stored.
	storeRetryDelay = 150 * time.Millisecond
)

// Keeper manages the groups of a service while its node holds the duty.
type Keeper struct {
	cfg  Config
	duty *duty.Decider
	wake chan struct{}
	// probes is a semaphore that limits concurrent probes.
	probes chan struct{}

	mu sync.Mutex
	// decider is nil until the plan has been read in a tenure. Only the goroutine of keepGroups sets it, and reads it
	// without the lock.
	decider *group.Decider
	// fence is the fencing number of the tenure for which the decider was created.
	fence uint64
	// stored holds the stored rows of the plan, and revision is the revision of its head row. Only the goroutine of
	// keepGroups uses them.
	stored   group.Rows
	revision table.Revision
	// kept is the last plan of this node that was stored. Only the goroutine of keepGroups uses it.
	kept keptPlan
	// storeRetryAt is the earliest time of the next step after the plan could not be read or stored. Only the goroutine of
	// keepGroups uses it.
	storeRetryAt time.Time
	suspects     []index.Formation
	lastReport   time.Time
	// targets are the numbers of groups that demand asks for, or nil if it is not known.
	targets *group.Targets
}

// New returns a keeper that is started by Run.
func New(cfg Config) *Keeper {
	return &Keeper{cfg: cfg, duty: duty.New(cfg.Node, dutyKey), wake: make(chan struct{}, 1), probes: make(chan struct{}, maxConcurrentProbes)}
}

// Run manages the groups until ctx ends.
func (k *Keeper) Run(ctx context.Context) error {
	g := tasks.New(ctx)
	g.Go("duty", k.runDuty)
	g.Go("beats", func(ctx context.Context) error { return tasks.Every(ctx, heartbeatReadInterval, k.readHeartbeats) })
	g.Go("groups", func(ctx context.Context) error {
		k.keepGroups(ctx, g)
		return nil
	})
	if err := g.Wait(); err != nil {
		return errors.Newf("keep groups: %w", err)
	}
	return nil
}

// Wake triggers a step of the decider at once.
func (k *Keeper) Wake() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// Suspect reports that the head of a formation makes no progress.
func (k *Keeper) Suspect(f index.Formation) {
	k.mu.Lock()
	k.suspects = append(k.suspects, f)
	k.mu.Unlock()
	k.Wake()
}

// SetTargets sets the number of groups of each model, or nil while demand is not known. The caller must not change it afterwards.
func (k *Keeper) SetTargets(t *group.Targets) {
	k.mu.Lock()
	k.targets = t
	k.mu.Unlock()
}

// keepGroups runs steps of the decider while this node holds the duty.
func (k *Keeper) keepGroups(ctx context.Context, g *tasks.Group) {
	t := time.NewTimer(stepInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-k.wake:
		}
		fence, ok := k.holds()
		if !ok || k.cfg.Isolated() {
			t.Reset(idleInterval)
			k.discardDecider()
			continue
		}
		t.Reset(stepInterval)
		if time.Now().Before(k.storeRetryAt) || !k.ensureDecider(ctx, fence) {
			continue
		}
		k.step(ctx, g)
	}
}

// discardDecider discards the decider after its tenure has ended.
func (k *Keeper) discardDecider() {
	if k.decider == nil {
		return
	}
	k.cfg.Log.Warn("lost the duty to keep groups", "fence", k.fence, "holder", k.Holder(), "isolated", k.cfg.Isolated())
	k.mu.Lock()
	defer k.mu.Unlock()
	k.decider = nil
}

// ensureDecider creates the decider of a tenure from the stored plan, unless it exists, and reports whether there is
// one. It first rewrites the head row of the plan, so that an earlier holder can no longer change the plan.
func (k *Keeper) ensureDecider(ctx context.Context, fence uint64) bool {
	if k.decider != nil && k.fence == fence {
		return true
	}
	service, engine := k.cfg.Service()
	if service == "" {
		return false
	}
	plan, err := k.takeOverPlan(ctx, service, fence)
	if err != nil {
		k.cfg.Log.Warn("cannot take over the plan of groups", "fence", fence, "error", err)
		k.storeRetryAt = time.Now().Add(storeRetryDelay)
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	overlap := time.Duration(0)
	if k.fence != fence {
		overlap = max(0, k.duty.PredecessorEnd()-clock.Since())
	}
	k.decider = group.New(group.Config{
		Service: service, Engine: engine, StallTime: k.cfg.StallTime, HeartbeatInterval: k.cfg.HeartbeatInterval, Overlap: overlap,
	}, plan)
	k.fence = fence
	k.cfg.Log.Info("took the duty to keep groups", "fence", fence, "epoch", plan.Epoch, "revision", k.revision,
		"groups", len(plan.Current), "retired", len(plan.Retired), "overlap_ms", overlap.Milliseconds())
	return true
}

// step passes the current state of the servers to the decider and executes the actions that it returns.
func (k *Keeper) step(ctx context.Context, g *tasks.Group) {
	if service, engine := k.cfg.Service(); service != "" {
		k.decider.SetEngine(engine)
	}
	k.mu.Lock()
	if k.cfg.Traffic() {
		k.decider.TrafficStarted()
	}
	for _, f := range k.suspects {
		k.decider.RequestProbes(f.Group, f.Epoch)
	}
	k.suspects = nil
	k.decider.FollowDemand(k.cfg.FollowsDemand != nil && k.cfg.FollowsDemand(), k.targets)
	now := time.Now()
	k.decider.ApplyView(now, k.cfg.View())
	actions := k.decider.Step(now)
	k.reportGroups(now)
	k.mu.Unlock()
	for _, n := range actions.Decisions {
		k.cfg.Log.Info("group decision", "decision", n.Decision, "group", n.Group, "epoch", n.Epoch, "reason", n.Reason, "evidence", n.Evidence)
	}
	fence, decider := k.fence, k.decider
	for _, o := range actions.Orders {
		g.Go("order", func(ctx context.Context) error { k.sendOrder(ctx, fence, decider, o); return nil })
	}
	for _, p := range actions.Probes {
		g.Go("probe", func(ctx context.Context) error { k.probe(ctx, p); return nil })
	}
	for _, p := range actions.PeerProbes {
		g.Go("witness", func(ctx context.Context) error { k.probeFromPeers(ctx, p); return nil })
	}
	if actions.Commit != nil {
		k.commit(ctx, *actions.Commit)
	}
}

// reportGroups logs the number of groups by state and updates their metrics, at most once per reportInterval. The lock must be
// held.
func (k *Keeper) reportGroups(now time.Time) {
	if now.Sub(k.lastReport) < reportInterval {
		return
	}
	k.lastReport = now
	c := k.decider.Counts()
	k.cfg.Metrics.Groups(map[string]int{
		"open": sumCounts(c.Open), "planned": sumCounts(c.Planned), "retired": c.Retired, "free": c.Free, "lost": c.Lost,
	})
	k.cfg.Log.Info("groups", "open", c.Open, "planned", c.Planned, "retired", c.Retired, "free", c.Free, "lost", c.Lost)
}

func sumCounts(counts map[string]int) int {
	sum := 0
	for _, n := range counts {
		sum += n
	}
	return sum
}
