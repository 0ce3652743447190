// Package keeper is the shell of the group decider: it holds the duty to keep the groups of a service,
// stores the plan, and carries out orders and probes.
package keeper

import (
	"context"
	"sync"
	"time"

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

// ErrGone marks an error of a probe or an order that proves that the process at the address has ended.
var ErrGone = errors.New("no process at the address")

// Engines gives orders to backend servers and asks for their state. It is safe for concurrent use.
type Engines interface {
	// Order gives an order. It returns group.Unknown with each error that leaves open whether the order is
	// carried out, and group.Rejected with one that proves that it is not.
	Order(ctx context.Context, o group.Order) (group.Outcome, error)
	// Report returns the state of a backend server. An error marked ErrGone is proof that it has ended.
	Report(ctx context.Context, p group.Probe) (server.Report, error)
}

// Config is what a keeper is made of.
type Config struct {
	// Node names this process among all that may take the duty.
	Node    string
	Table   table.Table
	Engines Engines
	View    func() *index.View
	// Service returns the service whose groups are kept, with its engine, or nil while there is none.
	Service func() (string, *batch.Engine)
	// StallTime is how long a head stands after it has lost a member before it is broken.
	StallTime time.Duration
	// BeatInterval is the time between renewals of a server's registration. Beats reads the renewals of all
	// servers.
	BeatInterval time.Duration
	Beats        func(ctx context.Context) (map[string]uint64, error)
	// Witness asks other nodes whether they reach a server. It returns how many answered, and how many of
	// them reach it.
	Witness func(ctx context.Context, p group.Probe) (asked, reached int)
	// Announce tells other nodes that this one holds the duty, and whether the store does not take its renewals.
	Announce func(fence uint64, failing bool)
	// StandsBy reports whether this node takes the duty as soon as it is free.
	StandsBy func() bool
	// Linked reports whether this node has links to nodes other than one.
	Linked func(but string) bool
	// Traffic reports whether callers have been served.
	Traffic func() bool
	Metrics *metric.Set
	Log     hclog.Logger
}

// Keys of the rows.
const (
	dutyKey    = "duty/groups"
	planPrefix = "plan/"
)

// Times of the shell.
const (
	// tick is the time between steps when nothing happens.
	tick = 100 * time.Millisecond
	// idleTick is the same for a node that neither has the duty nor stands by. Many nodes with little processor time do
	// nothing most of the time.
	idleTick = 500 * time.Millisecond
	// orderTimeout and probeTimeout bound calls of backend servers.
	orderTimeout = 600 * time.Millisecond
	probeTimeout = 120 * time.Millisecond
	// maxProbes bounds the probes at the same time. When a domain is in doubt all of its servers are asked, and a
	// node with a fifth of a core handles about two answers in a millisecond: more of them would run out of time.
	maxProbes = 24
	// beatsInterval is the time between reads of the registrations.
	beatsInterval = time.Second
	// reportInterval is the time between log lines that count the groups.
	reportInterval = 2 * time.Second
	// commitTimeout bounds a call of the store.
	commitTimeout = time.Second
	// storePause is the pause after a plan that the store did not take.
	storePause = 150 * time.Millisecond
)

// Keeper keeps groups while its node has the duty.
type Keeper struct {
	cfg  Config
	duty *duty.Decider
	wake chan struct{}
	// probes holds a place for each probe that runs.
	probes chan struct{}

	mu      sync.Mutex
	decider *group.Decider
	// fence is that of the tenure for which the decider was made.
	fence uint64
	// stored are the rows of the plan, and revision is that of its head row. Only the goroutine that keeps groups uses them.
	stored   group.Rows
	revision uint64
	// storeAgain is when the plan may be stored again after the store did not take it. Only the goroutine
	// that keeps groups uses it.
	storeAgain time.Time
	suspects   []index.Formation
	reported   time.Time
}

// New returns a keeper that does nothing until Run.
func New(cfg Config) *Keeper {
	return &Keeper{cfg: cfg, duty: duty.New(cfg.Node, dutyKey), wake: make(chan struct{}, 1), probes: make(chan struct{}, maxProbes)}
}

// Run keeps the groups until ctx ends.
func (k *Keeper) Run(ctx context.Context) error {
	g := tasks.New(ctx)
	g.Go("duty", k.keepDuty)
	g.Go("beats", func(ctx context.Context) error { return tasks.Every(ctx, beatsInterval, k.readBeats) })
	g.Go("groups", func(ctx context.Context) error {
		k.keepGroups(ctx, g)
		return nil
	})
	if err := g.Wait(); err != nil {
		return errors.Newf("keep groups: %w", err)
	}
	return nil
}

// Wake has the keeper look at the servers at once.
func (k *Keeper) Wake() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// Suspect says that the head of a formation makes no progress.
func (k *Keeper) Suspect(f index.Formation) {
	k.mu.Lock()
	k.suspects = append(k.suspects, f)
	k.mu.Unlock()
	k.Wake()
}

// keepGroups steps the decider while the node has the duty.
func (k *Keeper) keepGroups(ctx context.Context, g *tasks.Group) {
	t := time.NewTimer(tick)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-k.wake:
		}
		fence, ok := k.holds()
		if !ok {
			t.Reset(idleTick)
			k.resign()
			continue
		}
		t.Reset(tick)
		if time.Now().Before(k.storeAgain) || !k.ready(ctx, fence) {
			continue
		}
		k.step(ctx, g)
	}
}

// resign forgets the decider of a tenure that has ended.
func (k *Keeper) resign() {
	if k.decider == nil {
		return
	}
	k.cfg.Log.Warn("lost the duty to keep groups", "fence", k.fence, "holder", k.Holder())
	k.mu.Lock()
	defer k.mu.Unlock()
	k.decider = nil
}

// ready makes a decider for a tenure from the stored plan. The plan is written anew first, so that an
// earlier holder cannot change it any more.
func (k *Keeper) ready(ctx context.Context, fence uint64) bool {
	if k.decider != nil && k.fence == fence {
		return true
	}
	service, engine := k.cfg.Service()
	if service == "" {
		return false
	}
	plan, stored, rev, err := k.takePlan(ctx, service, fence)
	if err != nil {
		k.cfg.Log.Warn("cannot take over the plan of groups", "fence", fence, "error", err)
		k.storeAgain = time.Now().Add(storePause)
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.decider = group.New(group.Config{
		Service: service, Engine: engine, StallTime: k.cfg.StallTime, BeatInterval: k.cfg.BeatInterval,
	}, plan)
	k.fence, k.stored, k.revision = fence, stored, rev
	k.cfg.Log.Info("took the duty to keep groups", "fence", fence, "epoch", plan.Epoch,
		"groups", len(plan.Current), "retired", len(plan.Retired))
	return true
}

// step has the decider look at the servers and carries out what it wants.
func (k *Keeper) step(ctx context.Context, g *tasks.Group) {
	if service, engine := k.cfg.Service(); service != "" {
		k.decider.Configure(engine)
	}
	k.mu.Lock()
	if k.cfg.Traffic() {
		k.decider.Traffic()
	}
	for _, f := range k.suspects {
		k.decider.Suspect(f.Group, f.Epoch)
	}
	k.suspects = nil
	now := time.Now()
	k.decider.View(now, k.cfg.View())
	a := k.decider.Step(now)
	k.report(now)
	k.mu.Unlock()
	for _, n := range a.Notes {
		k.cfg.Log.Info("group decision", "decision", n.Decision, "group", n.Group, "epoch", n.Epoch, "reason", n.Reason)
	}
	fence := k.fence
	for _, o := range a.Orders {
		g.Go("order", func(ctx context.Context) error { k.order(ctx, fence, o); return nil })
	}
	for _, p := range a.Probes {
		g.Go("probe", func(ctx context.Context) error { k.probe(ctx, p); return nil })
	}
	for _, p := range a.Witness {
		g.Go("witness", func(ctx context.Context) error { k.witness(ctx, p); return nil })
	}
	if a.Commit != nil {
		k.commit(ctx, *a.Commit)
	}
}

// report logs what stands, now and then. The lock must be held.
func (k *Keeper) report(now time.Time) {
	if now.Sub(k.reported) < reportInterval {
		return
	}
	k.reported = now
	c := k.decider.Census()
	k.cfg.Metrics.Groups(map[string]int{
		"open": total(c.Open), "planned": total(c.Planned), "retired": c.Retired, "free": c.Free, "lost": c.Lost,
	})
	k.cfg.Log.Info("groups", "open", c.Open, "planned", c.Planned, "retired", c.Retired, "free", c.Free, "lost", c.Lost)
}

func total(counts map[string]int) int {
	sum := 0
	for _, n := range counts {
		sum += n
	}
	return sum
}
