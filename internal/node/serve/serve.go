// Package serve builds a node from its parts and runs it.
package serve

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"geraniumhollow/internal/conf/apply"
	"geraniumhollow/internal/conf/flags"
	"geraniumhollow/internal/conf/schema"
	"geraniumhollow/internal/conf/view"
	"geraniumhollow/internal/conf/watch"
	"geraniumhollow/internal/core/tasks"
	"geraniumhollow/internal/fleet/drain"
	"geraniumhollow/internal/node/caller"
	"geraniumhollow/internal/node/origin"
	"geraniumhollow/internal/node/peers"
	"geraniumhollow/internal/node/relay"
	"geraniumhollow/internal/plat/hosts"
	"geraniumhollow/internal/plat/memory"
	"geraniumhollow/internal/plat/table"
	"geraniumhollow/internal/report/metric"
	"geraniumhollow/internal/report/reason"
	"geraniumhollow/internal/route/shed"
	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
)

// Parts are the dependencies of a node. New creates a missing Table or Hosts from the settings.
type Parts struct {
	Table table.Table
	Hosts hosts.Lister
	// Dial connects to other nodes; nil means plain TCP.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
	// Relay holds dependencies of the request path. Run replaces those that the node provides itself.
	Relay relay.Deps
}

// reasonEntries is the number of recent decisions that a node keeps; they take about 1 MB.
const reasonEntries = 4096

// Node is one entry node.
type Node struct {
	cfg   flags.Settings
	lns   Listeners
	log   hclog.Logger
	parts Parts
	peers *peers.Peers
	// origin connects to the nodes on which requests started.
	origin *origin.Links
	// configs reads and commits the configuration.
	configs *apply.Store
	reasons *reason.Ring
	metrics *metric.Set
	now     func() time.Time
	// bodies is the memory for bodies of requests.
	bodies *shed.Budget
	view   atomic.Pointer[view.View]
	// allowed holds the rules for which backend servers may get new work.
	allowed     atomic.Pointer[drain.Set]
	running     atomic.Int64
	coordinator atomic.Pointer[coordinator]
	// incarnation identifies this process. A later process of the same node has a greater value.
	incarnation string
	// signals passes calls of Stop to awaitStop.
	signals chan struct{}

	mu    sync.Mutex
	drain *drain.Node
}

// Listeners are the listening sockets of a node.
type Listeners struct {
	Callers   net.Listener
	Operators net.Listener
	Peers     net.Listener
}

// Listen opens the listening sockets of a node. It returns the settings with the ports that the operating
// system chose for addresses with port 0.
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

// New returns a node that is not running yet. If the settings are not valid, the error is marked
// flags.ErrInvalid.
func New(cfg flags.Settings, lns Listeners, log hclog.Logger, parts Parts) (*Node, error) {
	if err := cfg.Check(); err != nil {
		return nil, errors.Newf("check settings: %w", err)
	}
	if parts.Table == nil {
		parts.Table = table.New(cfg.TableAddress)
	}
	if parts.Hosts == nil {
		parts.Hosts = hosts.New(cfg.HostsAddress)
	}
	n := &Node{
		cfg: cfg, lns: lns, log: log.Named(cfg.NodeName), parts: parts,
		signals:     make(chan struct{}, 1),
		now:         time.Now,
		incarnation: peers.NewIncarnation(time.Now()),
		drain:       drain.NewNode(cfg.DrainNotice, cfg.DrainTimeout),
	}
	n.bodies = n.host().Bodies()
	n.reasons = reason.New(reasonEntries, n.now)
	n.metrics = metric.New()
	n.metrics.Func("body_bytes", "Bytes that bodies of requests hold.", func() float64 { return float64(n.bodies.Stats().Held) })
	n.metrics.Func("body_bytes_limit", "Most bytes that bodies of requests may hold.", func() float64 { return float64(n.bodies.Stats().Limit) })
	n.metrics.Func("bodies_shed", "Bodies of requests that gave way to others since the start.", func() float64 { return float64(n.bodies.Stats().Shed) })
	n.parts.Table = n.metrics.Table(parts.Table)
	n.configs = apply.New(n.parts.Table, n.now)
	n.view.Store(view.New(0, &schema.Document{}))
	n.allowed.Store(&drain.Set{})
	n.peers = peers.New(peers.Config{
		Node:        cfg.NodeName,
		DataCentre:  cfg.DataCentre,
		Incarnation: n.incarnation,
		Hosts:       parts.Hosts,
		Configs:     n.configs,
		Log:         n.log.Named("peers"),
		Apply:       n.apply,
		Listed:      n.hostsListed,
		Installed:   n.installed,
		ModeChanged: n.modeChanged,
		Messages:    n.host().Messages(),
		Dial:        parts.Dial,
	})
	n.origin = origin.New(n.peers.Net())
	return n, nil
}

// host returns what the node may use of its host.
func (n *Node) host() memory.Host {
	h := memory.Host{Bytes: n.cfg.MemoryMb << 20, Descriptors: n.cfg.MaxFds}
	if h.Bytes == 0 {
		h.Bytes = memory.Total()
	}
	return h
}

// Peers returns the node's membership state and its connections to other nodes.
func (n *Node) Peers() *peers.Peers { return n.peers }

// View returns the configuration in force.
func (n *Node) View() *view.View { return n.view.Load() }

// Run serves until a planned stop is complete. The stop begins when ctx ends or Stop is called.
func (n *Node) Run(ctx context.Context) error {
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	g := tasks.New(work)
	coord, err := newCoordinator(n, g, n.incarnation)
	if err != nil {
		return err
	}
	deps := coord.deps(n.parts.Relay)
	deps.Node = n.cfg.NodeName
	deps.Origin = n.origin
	deps.Gate = &admissionGate{node: n, next: coord.gate}
	reporter := newBurnReporter(n)
	obs := observer{burnReporter: reporter, metrics: requestMetrics{set: n.metrics}, reasons: n.reasons, isMember: n.isMember}
	deps.Observer = obs
	rl := relay.New(n.log.Named("relay"), n.view.Load, deps)
	coord.relay.Store(rl)
	n.coordinator.Store(coord)
	coord.run(g)
	n.origin.Serve(g, rl)
	services, err := n.services(g, coord, obs)
	if err != nil {
		return err
	}
	srv := caller.New(g.Context(), n.log.Named("caller"), n.cfg.NodeName, n.view.Load, rl,
		caller.WithServices(services), caller.WithMemory(n.bodies, n.host().MaxCallers()), caller.WithRequestObserver(obs.requestEnded))
	g.Go("callers", func(ctx context.Context) error { return srv.Serve(ctx, n.lns.Callers) })
	g.Go("operators", func(ctx context.Context) error { return n.serveOperators(ctx, n.metricsPage(coord, rl), reporter) })
	g.Go("peers", func(ctx context.Context) error { return n.peers.Run(ctx, n.lns.Peers) })
	g.Go("burn snapshots", reporter.run)
	g.Go("stop", func(work context.Context) error {
		if n.awaitStop(ctx, work) {
			coord.leave(work)
			reporter.write(work)
		}
		cancel()
		return nil
	})
	if err := g.Wait(); err != nil {
		return errors.Newf("node %s: %w", n.cfg.NodeName, err)
	}
	return nil
}

// apply puts a version of the configuration in force.
func (n *Node) apply(version uint64, doc *schema.Document) {
	n.view.Store(view.New(version, doc))
	n.updateAllowed(func(s drain.Set) drain.Set { return s.WithDocument(doc) })
}

// hostsListed applies the platform's list of hosts.
func (n *Node) hostsListed(list []hosts.Host) {
	n.updateAllowed(func(s drain.Set) drain.Set { return s.WithHosts(list) })
}

func (n *Node) updateAllowed(f func(s drain.Set) drain.Set) {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := f(*n.allowed.Load())
	n.allowed.Store(&s)
}

// Allowed reports whether a backend server may get new work. Its hosts must not be leaving and its data centre
// must be in service. While this node is isolated, the server must also be in the node's own data centre.
func (n *Node) Allowed(server, dataCentre string) bool {
	return n.allowedNow().Allowed(server, dataCentre)
}

func (n *Node) allowedNow() drain.Set {
	s := *n.allowed.Load()
	if n.peers.Mode() == watch.Isolated {
		s = s.WithOnlyDataCentre(n.cfg.DataCentre)
	}
	return s
}

// Isolated reports whether the node refuses new requests because it may have missed accepted changes. With the
// region policy serve_local, a node that has a configuration keeps serving instead.
func (n *Node) Isolated() bool {
	if n.peers.Mode() != watch.Isolated {
		return false
	}
	v := n.view.Load()
	return v.Version == 0 || !servesLocal(v, n.cfg.DataCentre)
}

// servesLocal reports whether the region of a data centre has the isolation policy serve_local.
func servesLocal(v *view.View, dataCentre string) bool {
	dc, ok := v.DataCentre(dataCentre)
	if !ok {
		return false
	}
	for _, r := range v.Document().Regions {
		if r.Name == dc.Region {
			return r.IsolationPolicy == schema.RegionIsolationPolicyServeLocal
		}
	}
	return false
}
