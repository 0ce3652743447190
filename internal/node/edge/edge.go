// Package edge builds a node that relays opaque requests on a platform, and runs it.
package edge

import (
	"context"
	"math"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"geraniumhollow/internal/core/sets"
	"geraniumhollow/internal/core/tasks"
	"geraniumhollow/internal/fleet/index"
	"geraniumhollow/internal/fleet/mirror"
	"geraniumhollow/internal/node/front"
	"geraniumhollow/internal/node/keeper"
	"geraniumhollow/internal/node/mesh"
	"geraniumhollow/internal/node/pass"
	"geraniumhollow/internal/node/seat"
	"geraniumhollow/internal/plan/group"
	"geraniumhollow/internal/plat/table"
	"geraniumhollow/internal/route/batch"
	"geraniumhollow/internal/route/match"
	"geraniumhollow/internal/route/retry"
	"geraniumhollow/internal/wire/frame"
	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
)

// Settings are what a node is told about itself and its surroundings.
type Settings struct {
	Node       string
	DataCentre string
	IP         string
	// CallerAddress takes connections of callers, ReadyAddress the balancer's questions.
	CallerAddress string
	ReadyAddress  string
	StoreAddress  string
	// PeerPort is for links of other nodes, MetricsPort for the metrics page, both on IP.
	PeerPort    int
	MetricsPort int
	MemoryBytes int64
	Descriptors int
	// Grace is the time between a signal to stop and the end of the process.
	Grace time.Duration
	// RetryRatio and RetrySlack bound the attempts beyond the first over all nodes.
	RetryRatio float64
	RetrySlack float64
	// ColdOverage and ColdSlack are the factor and the number of requests by which the rate of a cold
	// backend server may be exceeded in a second.
	ColdOverage float64
	ColdSlack   float64
	// BeatInterval is the time between renewals of a backend server's registration.
	BeatInterval time.Duration
	// StallTime is how long a group stands without a member before it is broken.
	StallTime time.Duration
}

// Families are the families of rows that a node follows.
type Families struct {
	Servers  string
	Operator string
}

// Wishes are what operators want.
type Wishes struct {
	// Document is a new configuration, or nil if it has not changed.
	Document *match.Document
	// Out are the data centres that get no new work.
	Out sets.Set[string]
}

// Decoder turns rows into the product's types.
type Decoder interface {
	Families() Families
	Servers(u mirror.Update) index.Change
	// Operator returns the wishes after a change; out are the data centres that were out before.
	Operator(u mirror.Update, out sets.Set[string]) (Wishes, bool)
}

// Config is what a node is made of.
type Config struct {
	Settings Settings
	Table    table.Table
	Feed     table.Feed
	Codec    pass.Codec
	Engines  keeper.Engines
	Decoder  Decoder
	Log      hclog.Logger
}

// Node is one node.
type Node struct {
	cfg     Config
	index   *index.Index
	table   atomic.Pointer[match.Table]
	servers *mirror.Copy
	wishes  *mirror.Copy
	mesh    *mesh.Mesh
	seats   *seat.Seats
	front   *front.Server
	keeper  *keeper.Keeper
	group   *tasks.Group
	served  atomic.Bool
	ready   atomic.Bool

	mu      sync.Mutex
	out     sets.Set[string]
	budgets map[string]*retry.Budget
}

// Times of the copies of rows.
const (
	// readPause is the least time between two reads of a family.
	readPause = 20 * time.Millisecond
	// readWait is how long a read of the store waits for changes. Configurations and leaving servers have to be
	// known within 2 s, also when the store ceases to answer, or drops its history and with it the answers
	// that are waited for.
	readWait = time.Second
)

// New returns a node that has not started.
func New(cfg Config) *Node {
	n := &Node{cfg: cfg, index: index.New(), out: sets.New[string](), budgets: make(map[string]*retry.Budget)}
	set := cfg.Settings
	address := net.JoinHostPort(set.IP, strconv.Itoa(set.PeerPort))
	incarnation := strconv.FormatInt(time.Now().UnixNano(), 36)
	n.servers = n.copy(cfg.Decoder.Families().Servers, n.applyServers, n.reached)
	n.wishes = n.copy(cfg.Decoder.Families().Operator, n.applyWishes, nil)
	n.mesh = mesh.New(mesh.Config{
		Address: address, DataCentre: set.DataCentre, Incarnation: incarnation,
		Table: cfg.Table, Feed: cfg.Feed, Copies: n.copyOf, Stalled: n.takeStalled,
		Duty: func(fence uint64) { n.keeper.Heard(fence) }, Met: func(at, inc string) { n.keeper.Met(at, inc) },
		Reaches: n.reaches, Suspects: n.takeSuspects, Log: cfg.Log,
	})
	n.seats = seat.New(seat.Config{
		View: n.index.View, Service: n.service, ColdAllowance: n.coldAllowance, Stalled: n.tellStalled,
		Now: time.Now, Seed: uint64(os.Getpid()), Log: cfg.Log,
	})
	relay := pass.New(pass.Deps{
		Codec: cfg.Codec, Table: n.table.Load, Seats: n.seats, Budget: n.budget, Log: cfg.Log,
	})
	n.front = front.New(front.Config{Handler: relay, Limits: n.limits, MaxConnections: set.Descriptors / 4, Log: cfg.Log})
	n.keeper = keeper.New(keeper.Config{
		Node: address + "/" + incarnation, Table: cfg.Table, Engines: cfg.Engines, View: n.index.View, Service: n.engineService,
		StallTime: set.StallTime, Traffic: n.served.Load, BeatInterval: set.BeatInterval, Beats: n.beats,
		Witness: n.witness, Announce: n.mesh.Announce, Linked: n.mesh.Linked, Log: cfg.Log,
	})
	return n
}

// copy returns a copy of a family that follows other nodes while the store does not answer.
func (n *Node) copy(family string, apply func(mirror.Update), reached func(bool)) *mirror.Copy {
	cfg := mirror.Config{
		Family: family, Store: n.cfg.Feed,
		Upstream: func() table.Feed { return n.mesh.Upstream(family) }, Peer: func() table.Feed { return n.mesh.Peer(family) },
		Apply: apply, Reached: reached, Wait: readWait, Pause: readPause, Log: n.cfg.Log,
	}
	if family == n.cfg.Decoder.Families().Operator {
		// What operators want is rare and has a bound; nodes tell each other of it.
		cfg.Advanced = func(revision uint64) { n.mesh.Hint(family, revision) }
	}
	return mirror.New(cfg)
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

// tellStalled tells the keeper of the groups, here or on another node, that a head makes no progress.
func (n *Node) tellStalled(f index.Formation) {
	if n.takeStalled(f) {
		return
	}
	holder, _, _ := strings.Cut(n.keeper.Holder(), "/")
	if holder == "" {
		return
	}
	n.group.Go("stall notice", func(ctx context.Context) error {
		n.mesh.Stalled(ctx, holder, f)
		return nil
	})
}

// takeStalled passes a notice to the keeper of this node and reports whether it keeps the groups.
func (n *Node) takeStalled(f index.Formation) bool {
	if !n.keeper.Holds() {
		return false
	}
	n.keeper.Suspect(f)
	return true
}

// beats reads the registrations of all backend servers.
func (n *Node) beats(ctx context.Context) (map[string]uint64, error) {
	st, err := n.cfg.Feed.Snapshot(ctx, n.cfg.Decoder.Families().Servers)
	if err != nil {
		return nil, errors.Newf("read registrations: %w", err)
	}
	out := make(map[string]uint64, len(st.Rows))
	for _, i := range n.cfg.Decoder.Servers(mirror.Update{Full: true, Put: st.Rows}).Put {
		out[i.ID] = i.Beat
	}
	return out, nil
}

// reachTimeout bounds a probe for another node.
const reachTimeout = 150 * time.Millisecond

// reaches reports whether this node reaches a backend server.
func (n *Node) reaches(ctx context.Context, server, addr string) bool {
	ctx, cancel := context.WithTimeout(ctx, reachTimeout)
	defer cancel()
	_, err := n.cfg.Engines.Report(ctx, group.Probe{Server: server, Address: addr})
	return err == nil
}

func (n *Node) witness(ctx context.Context, p group.Probe) (asked, reached int) {
	w := n.mesh.Witness(ctx, p.Server, p.Address)
	return w.Asked, w.Reached
}

func (n *Node) takeSuspects(string, []frame.Suspicion) {}

// Run serves until a planned stop has ended, which begins when asked ends.
func (n *Node) Run(asked context.Context) error {
	ctx, end := context.WithCancel(context.WithoutCancel(asked))
	defer end()
	callers, err := front.Silence.Listen(ctx, n.cfg.Settings.CallerAddress)
	if err != nil {
		return errors.Newf("listen for callers: %w", err)
	}
	balancer, err := net.Listen("tcp", n.cfg.Settings.ReadyAddress)
	if err != nil {
		return errors.Newf("listen for the balancer: %w", err)
	}
	n.cfg.Log.Info("node started", "node", n.cfg.Settings.Node, "data_centre", n.cfg.Settings.DataCentre)
	g := tasks.New(ctx)
	n.group = g
	g.Go("mesh", n.mesh.Run)
	g.Go("seats", n.seats.Run)
	g.Go("sweep", n.sweep)
	g.Go("servers", n.servers.Run)
	g.Go("wishes", n.wishes.Run)
	g.Go("keeper", n.keeper.Run)
	g.Go("callers", func(ctx context.Context) error { return n.front.Run(ctx, callers) })
	g.Go("stop", func(ctx context.Context) error { return n.stop(ctx, asked, end) })
	g.Go("balancer", func(ctx context.Context) error { return n.answerBalancer(ctx, balancer) })
	if err := g.Wait(); err != nil {
		return errors.Newf("run: %w", err)
	}
	return nil
}

func (n *Node) applyServers(u mirror.Update) {
	n.index.Apply(time.Now(), n.cfg.Decoder.Servers(u))
	n.keeper.Wake()
}

func (n *Node) reached(reached bool) { n.index.Reached(time.Now(), reached) }

func (n *Node) applyWishes(u mirror.Update) {
	w, ok := n.cfg.Decoder.Operator(u, n.out)
	if !ok {
		return
	}
	n.out = w.Out
	n.index.SetOut(w.Out)
	if w.Document == nil {
		return
	}
	if old := n.table.Load(); old != nil && old.Version() >= w.Document.Version {
		return
	}
	n.table.Store(match.New(*w.Document))
	n.ready.Store(true)
	n.cfg.Log.Info("configuration in force", "version", w.Document.Version, "routes", len(w.Document.Routes),
		"accounts", len(w.Document.Accounts))
	n.keeper.Wake()
}

func (n *Node) limits() front.Limits {
	t := n.table.Load()
	if t == nil {
		return front.Limits{}
	}
	l := t.Limits()
	return front.Limits{HeaderBytes: l.HeaderBytes, BodyBytes: l.BodyBytes, HeaderTimeout: l.HeaderTimeout, IdleTimeout: l.IdleTimeout}
}

// engineService returns the service of model engines.
func (n *Node) engineService() (string, *batch.Engine) {
	t := n.table.Load()
	if t == nil {
		return "", nil
	}
	for i, s := range t.Services() {
		if s.Engine != nil && len(s.Engine.Models) > 0 {
			return s.Name, t.Services()[i].Engine
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

// sweepInterval is the time between looks for entries that have not come back after an outage.
const sweepInterval = 200 * time.Millisecond

// sweep drops entries that have not come back after an outage.
func (n *Node) sweep(ctx context.Context) error {
	return tasks.Every(ctx, sweepInterval, func(context.Context) {
		if gone := n.index.Sweep(time.Now()); gone > 0 {
			n.cfg.Log.Info("entries did not come back after the outage", "servers", gone)
			n.keeper.Wake()
		}
	})
}

// spareNodes is how many nodes more than are registered may share the limits of the fleet: some join
// before all others know.
const spareNodes = 2

// nodes returns the number of nodes that share the limits of the fleet.
func (n *Node) nodes() int { return max(minNodes, n.mesh.Size()) + spareNodes }

// minNodes is the size of the fleet that is assumed while fewer nodes are registered.
const minNodes = 6

// coldAllowance returns how many requests a second this node may send to a cold backend server.
func (n *Node) coldAllowance(rate float64) int {
	if rate <= 0 {
		return math.MaxInt
	}
	all := rate*n.cfg.Settings.ColdOverage + n.cfg.Settings.ColdSlack
	return int(all / float64(n.nodes()))
}

func (n *Node) budget(service string) *retry.Budget {
	n.served.Store(true)
	n.mu.Lock()
	defer n.mu.Unlock()
	b, ok := n.budgets[service]
	if !ok {
		b = retry.NewBudgetOf(n.cfg.Settings.RetryRatio, n.cfg.Settings.RetrySlack/float64(n.nodes()))
		n.budgets[service] = b
	}
	return b
}

// answerBalancer tells the balancer whether the node takes new connections.
func (n *Node) answerBalancer(ctx context.Context, ln net.Listener) error {
	s := front.New(front.Config{
		Handler: readiness{n}, Limits: func() front.Limits { return front.Limits{HeaderBytes: 2 << 10} }, Log: n.cfg.Log,
	})
	return s.Run(ctx, ln)
}

// readiness answers the balancer.
type readiness struct {
	n *Node
}

// Handle implements front.Handler.
func (r readiness) Handle(_ context.Context, _ *front.Request, w *front.Writer) {
	status := 503
	if r.n.ready.Load() {
		status = 200
	}
	w.Refuse(status, nil, []byte(strconv.Itoa(status)))
}
