package serve

import (
	"context"
	"sync/atomic"
	"time"

	"geraniumhollow/internal/conf/view"
	"geraniumhollow/internal/core/tasks"
	"geraniumhollow/internal/fleet/drain"
	"geraniumhollow/internal/fleet/lease"
	"geraniumhollow/internal/fleet/roster"
	"geraniumhollow/internal/node/gate"
	"geraniumhollow/internal/node/guard"
	"geraniumhollow/internal/node/pick"
	"geraniumhollow/internal/node/relay"
	"geraniumhollow/internal/node/share"
	"geraniumhollow/internal/plat/engine"
	"geraniumhollow/internal/route/choose"
	"geraniumhollow/internal/route/crash"
	"geraniumhollow/internal/route/retry"
	"geraniumhollow/internal/wire/frame"
	"geraniumhollow/internal/wire/peer"
	"github.com/cockroachdb/errors"
)

// prefixEntries limits the prefix index of a node. An entry takes about 100 bytes.
const prefixEntries = 100_000

// leaveTimeout limits how long a stopping node waits for its duties to be handed over.
const leaveTimeout = 3 * time.Second

// handoverTime is the time until the next holder of a shard issues grants: it notices the handover within a
// second, waits for the grants of the old holder to end (budget.DefaultPropagationTime) and needs a load report (1 s).
const handoverTime = 6 * time.Second

// errUnexpectedReply means that a peer replied with a message of the wrong type.
var errUnexpectedReply = errors.New("unexpected type of reply")

// coordinator holds the parts that route and admit requests, and the state that they share with other nodes.
//
// The backend servers of the fleet are divided into shards. Each shard is a duty that one node at a time holds
// under a lease: it polls the load of the shard's servers, sends load digests to the other nodes, and grants
// requests a part of the servers' shared budgets.
type coordinator struct {
	node        *Node
	leases      *lease.Manager
	shares      *share.Shares
	picker      *pick.Picker
	gate        *gate.Gate
	guard       *guard.Guard
	pollClients *pollClients
	relay       atomic.Pointer[relay.Relay]
	grants      *countingGranter
	// instances holds the engine instances from the last load digests. Only observeDigest uses it,
	// which is called from one goroutine per backend server.
	instances     *instanceTracker
	memberChanges memberChanges
	// drainStarted is the time at which this node began to hand over shards. Only the goroutine that runs the
	// planned stop uses it.
	drainStarted time.Time
}

// newCoordinator creates a coordinator; run starts its background tasks.
func newCoordinator(n *Node, g *tasks.Group, incarnation string) (*coordinator, error) {
	c := &coordinator{node: n, pollClients: newPollClients(), instances: newInstanceTracker()}
	c.leases = lease.NewManager(n.log.Named("lease"), n.parts.Table, n.parts.Hosts,
		lease.DefaultConfig(n.cfg.NodeName, incarnation, append(share.Duties(share.DefaultShards), sweepDuty)))
	c.shares = share.New(
		share.Config{Node: n.cfg.NodeName, Incarnation: incarnation, Shards: share.DefaultShards},
		share.Deps{
			Log: n.log.Named("share"), Peers: grantTransport{net: n.peers.Net()}, Leases: c.leases, View: n.view.Load,
			Nodes: c.listNodes, Load: c.pollLoad, DigestReceived: c.observeDigest, RouteClosed: c.abortAttempts, RouteChanged: n.routeChanged,
		})
	c.grants = &countingGranter{next: c.shares, set: n.metrics}
	c.gate = gate.New(gate.Config{View: n.view.Load, Now: n.now, MaxReportAge: groupReportMaxAge})
	var err error
	c.picker, err = pick.New(pick.Config{
		DataCentre: n.cfg.DataCentre, View: n.view.Load, Now: n.now, Seed: uint64(n.now().UnixNano()),
		Choose: choose.DefaultConfig(), PrefixEntries: prefixEntries, OnStarted: c.gate.Started,
	})
	if err != nil {
		return nil, errors.Newf("build picker: %w", err)
	}
	c.guard, err = guard.New(g, guard.Deps{
		Log: n.log.Named("guard"), Table: n.parts.Table, Share: c.shareFindings, Now: n.now,
	})
	if err != nil {
		return nil, errors.Newf("build guard: %w", err)
	}
	c.registerHandlers(n.peers.Net())
	return c, nil
}

// groupReportMaxAge is the maximum age of a load report that keeps the route to a group open.
const groupReportMaxAge = 3 * time.Second

// registerHandlers sets the handlers for messages from other nodes.
func (c *coordinator) registerHandlers(net *peer.Net) {
	peer.OnAsk(net, func(_ context.Context, from peer.Peer, m *frame.GrantAsk) *frame.GrantReply {
		r := c.shares.HandleAsk(from.Incarnation, *m)
		return &r
	})
	peer.OnAsk(net, func(_ context.Context, from peer.Peer, m *frame.GrantRelease) *frame.GrantReleased {
		c.shares.HandleRelease(from.Incarnation, *m)
		return &frame.GrantReleased{Ok: true}
	})
	peer.On(net, func(_ peer.Peer, m *frame.LoadDigest) { c.shares.HandleDigest(*m) })
	peer.On(net, func(from peer.Peer, m *frame.SuspectRequest) { c.guard.Learn(from.Node, crash.FindingsFromFrame(m)) })
}

// deps returns the relay's dependencies, with those that the node provides itself filled in.
func (c *coordinator) deps(d relay.Deps) relay.Deps {
	d.Picker, d.Granter, d.Guard = allowedPicker{Picker: c.picker, node: c.node}, c.grants, c.guard
	d.Retrier = retrier{budget: retry.NewBudget(), now: c.node.now}
	return d
}

// run starts the tasks that maintain the leases and the shared budgets, and that record duty changes.
func (c *coordinator) run(g *tasks.Group) {
	g.Go("leases", c.leases.Run)
	g.Go("shared budgets", c.shares.Run)
	g.Go("duties", c.watchDuties)
}

// listNodes returns the nodes that the platform lists, including this one. Suspect nodes stay in the list,
// because releases are retried until the owner receives them. It also updates the gate's count of live nodes
// and triggers a lease scan after a membership change.
func (c *coordinator) listNodes() []share.Node {
	n := c.node
	out := []share.Node{{Name: n.cfg.NodeName, DataCentre: n.cfg.DataCentre}}
	members := n.peers.Status().Members
	live := 1
	for _, m := range members {
		if m.Node == n.cfg.NodeName {
			continue
		}
		out = append(out, share.Node{Name: m.Node, DataCentre: m.DataCentre})
		if m.State == roster.Live {
			live++
		}
	}
	c.gate.SetNodes(live)
	if c.memberChanges.due(n.now(), members) {
		c.leases.Rescan()
	}
	return out
}

// pollLoad requests the load report of a backend server and passes its cache events to the picker.
func (c *coordinator) pollLoad(ctx context.Context, s view.Server) (engine.Report, error) {
	r, err := c.pollClients.client(s.Address).Load(ctx)
	if err != nil {
		return engine.Report{}, errors.Newf("poll %s: %w", s.Name, err)
	}
	c.picker.Events(s.Name, r.Instance, r.CacheEvents)
	return r, nil
}

// observeDigest processes a load digest. A new engine instance means that the old one has died.
func (c *coordinator) observeDigest(d frame.LoadDigest, _ time.Time) {
	c.picker.Observe(d)
	c.gate.Observe(d)
	if c.instances.changed(d.Server, d.Inst) {
		c.guard.ServerDied(d.Server)
	}
}

// abortAttempts ends the attempts on a backend server whose route was closed, so that they fail over.
func (c *coordinator) abortAttempts(server string) {
	if rl := c.relay.Load(); rl != nil {
		n := rl.AbortServer(server)
		c.node.log.Info("route closed", "backend_server", server, "attempts", n)
	}
}

func (c *coordinator) shareFindings(f crash.Findings) {
	m := f.ToFrame()
	for _, n := range c.listNodes() {
		if n.Name != c.node.cfg.NodeName {
			// A lost message is acceptable: a node also learns suspicions from the crashes that it observes, and
			// the fleet-wide limit is enforced through the table.
			_ = c.node.peers.Net().Send(n.Name, &m)
		}
	}
}

// drain hands over the first half of the shards. From then on this node issues no grants for them.
func (c *coordinator) drain() {
	c.leases.Drain()
	c.drainStarted = c.node.now()
	first, _ := drain.SplitHandover(c.duties())
	for _, d := range first {
		c.shares.ReleaseDuty(d)
	}
}

// duties returns the duties that this node holds, with the models whose backend servers depend on them.
func (c *coordinator) duties() []drain.Duty {
	models := make(map[string][]string)
	v := c.node.view.Load()
	for _, m := range v.Document().Models {
		for _, s := range v.Servers(m.Name) {
			d := share.ShardDuty(s.Name, share.DefaultShards)
			models[d] = append(models[d], m.Name)
		}
	}
	held := c.heldTenures()
	out := make([]drain.Duty, 0, len(held))
	for _, t := range held {
		out = append(out, drain.Duty{Name: t.Duty, Models: models[t.Duty]})
	}
	return out
}

// leave ends the lease, so that other nodes can take over the duties of this node before it would expire. The
// remaining shards are handed over once the new holders of the first half issue grants.
func (c *coordinator) leave(ctx context.Context) {
	if len(c.heldTenures()) > 0 {
		tasks.Sleep(ctx, c.drainStarted.Add(handoverTime).Sub(c.node.now()))
	}
	for _, t := range c.heldTenures() {
		c.shares.ReleaseDuty(t.Duty)
	}
	deadline := time.NewTimer(leaveTimeout)
	defer deadline.Stop()
	t := time.NewTicker(drainPollInterval)
	defer t.Stop()
	for len(c.heldTenures()) > 0 {
		select {
		case <-ctx.Done():
			return
		case <-deadline.C:
			return
		case <-t.C:
		}
	}
	c.leases.Leave()
}

func (c *coordinator) heldTenures() []lease.Tenure {
	var out []lease.Tenure
	for _, t := range c.leases.Tenures() {
		if !t.Lost {
			out = append(out, t)
		}
	}
	return out
}

// retrier limits the retries of a node.
type retrier struct {
	budget *retry.Budget
	now    func() time.Time
}

// RequestStarted implements relay.Retrier.
func (r retrier) RequestStarted(relay.RequestInfo) { r.budget.Request(r.now()) }

// Retry implements relay.Retrier.
func (r retrier) Retry(relay.RequestInfo) bool { return r.budget.Take(r.now()) }

// grantTransport sends the messages of shared budgets to other nodes.
type grantTransport struct {
	net *peer.Net
}

var _ share.Peers = grantTransport{}

// Ask implements share.Peers.
func (t grantTransport) Ask(ctx context.Context, node string, a frame.GrantAsk) (frame.GrantReply, error) {
	reply, err := t.net.Ask(ctx, node, &a)
	if err != nil {
		return frame.GrantReply{}, errors.Newf("request a grant: %w", err)
	}
	m, ok := reply.(*frame.GrantReply)
	if !ok {
		return frame.GrantReply{}, errUnexpectedReply
	}
	return *m, nil
}

// Release implements share.Peers.
func (t grantTransport) Release(ctx context.Context, node string, r frame.GrantRelease) error {
	if _, err := t.net.Ask(ctx, node, &r); err != nil {
		return errors.Newf("release a grant: %w", err)
	}
	return nil
}

// Digest implements share.Peers.
func (t grantTransport) Digest(node string, d frame.LoadDigest) { _ = t.net.Send(node, &d) }
