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

// prefixEntries bounds the prefix index of a node, at about 100 bytes each.
const prefixEntries = 100_000

// leaveTimeout bounds the wait for the end of a stopping node's lease.
const leaveTimeout = 3 * time.Second

// handoverTime is how long the next holder of a shard takes until it grants: it sees the yield within a
// second, waits out the grants of the old one (budget.DefaultSpread) and needs a load report (1 s).
const handoverTime = 6 * time.Second

// errUnexpectedReply means that a peer answered an ask with another kind of message.
var errUnexpectedReply = errors.New("unexpected kind of reply")

// control is what a node decides requests with, together with the nodes that it shares it with.
type control struct {
	node   *Node
	leases *lease.Keeper
	shares *share.Shares
	picker *pick.Picker
	gate   *gate.Gate
	guard  *guard.Guard
	polls  *polls
	relay  atomic.Pointer[relay.Relay]
	grants *grants
	// instances are the engine instances that the last digests named. Only the handler of digests
	// uses it, which the shares call from one goroutine for each server.
	instances *instances
	changes   changes
	// drained is when the stop of this node began to hand shards over. Only the goroutine of the stop uses it.
	drained time.Time
}

// newControl builds the parts that decide requests. They start with run.
func newControl(n *Node, g *tasks.Group, incarnation string) (*control, error) {
	c := &control{node: n, polls: newPolls(), instances: newInstances()}
	c.leases = lease.NewKeeper(n.log.Named("lease"), n.parts.Table, n.parts.Hosts,
		lease.DefaultConfig(n.cfg.NodeName, incarnation, append(share.Duties(share.DefaultShards), sweepDuty)))
	c.shares = share.New(
		share.Config{Node: n.cfg.NodeName, Incarnation: incarnation, Shards: share.DefaultShards},
		share.Deps{
			Log: n.log.Named("share"), Peers: grantLinks{net: n.peers.Net()}, Leases: c.leases, View: n.view.Load,
			Nodes: c.nodes, Load: c.load, Heard: c.heard, Closed: c.closed, Route: n.routeChanged,
		})
	c.grants = &grants{next: c.shares, set: n.metrics}
	c.gate = gate.New(gate.Config{View: n.view.Load, Now: n.now, MaxReportAge: groupReportMaxAge})
	var err error
	c.picker, err = pick.New(pick.Config{
		DataCentre: n.cfg.DataCentre, View: n.view.Load, Now: n.now, Seed: uint64(n.now().UnixNano()),
		Choose: choose.DefaultConfig(), PrefixEntries: prefixEntries, Started: c.gate.Started,
	})
	if err != nil {
		return nil, errors.Newf("build picker: %w", err)
	}
	c.guard = guard.New(g, guard.Deps{
		Log: n.log.Named("guard"), Table: n.parts.Table, Share: c.shareSuspicions, Now: n.now,
	})
	c.handle(n.peers.Net())
	return c, nil
}

// groupReportMaxAge is how old a report may be that keeps a group's route open.
const groupReportMaxAge = 3 * time.Second

// handle answers the other nodes.
func (c *control) handle(net *peer.Net) {
	peer.OnAsk(net, func(_ context.Context, from peer.Peer, m *frame.GrantAsk) *frame.GrantReply {
		r := c.shares.HandleAsk(from.Incarnation, *m)
		return &r
	})
	peer.OnAsk(net, func(_ context.Context, from peer.Peer, m *frame.GrantRelease) *frame.GrantReleased {
		c.shares.HandleRelease(from.Incarnation, *m)
		return &frame.GrantReleased{Ok: true}
	})
	peer.On(net, func(_ peer.Peer, m *frame.LoadDigest) { c.shares.HandleDigest(*m) })
	peer.On(net, func(from peer.Peer, m *frame.SuspectRequest) { c.guard.Learn(from.Node, crash.FromFrames(m.List)) })
}

// deps returns the relay's parts.
func (c *control) deps(d relay.Deps) relay.Deps {
	d.Picker, d.Granter, d.Guard = allowedPicker{Picker: c.picker, node: c.node}, c.grants, c.guard
	d.Retrier = retrier{budget: retry.NewBudget(), now: c.node.now}
	return d
}

// run keeps the leases and the shared budgets until the group ends.
func (c *control) run(g *tasks.Group) {
	g.Go("leases", c.leases.Run)
	g.Go("shared budgets", c.shares.Run)
	g.Go("duties", c.watchDuties)
}

// nodes returns the nodes that the platform lists, this one included. A suspect stays in the list:
// releases to it are tried until it hears them.
func (c *control) nodes() []share.Node {
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
	if c.changes.due(n.now(), members) {
		c.leases.Rescan()
	}
	return out
}

// load asks a backend server for its report, and feeds its cache events to the picker.
func (c *control) load(ctx context.Context, s view.Server) (engine.Report, error) {
	r, err := c.polls.client(s.Address).Load(ctx)
	if err != nil {
		return engine.Report{}, errors.Newf("poll %s: %w", s.Name, err)
	}
	c.picker.Events(s.Name, r.Instance, r.CacheEvents)
	return r, nil
}

// heard takes a load digest. A new instance means that the old one has died.
func (c *control) heard(d frame.LoadDigest, _ time.Time) {
	c.picker.Observe(d)
	c.gate.Observe(d)
	if c.instances.changed(d.Server, d.Inst) {
		c.guard.ServerDied(d.Server)
	}
}

// closed fails the attempts over that run on a server whose route has closed.
func (c *control) closed(server string) {
	if rl := c.relay.Load(); rl != nil {
		n := rl.AbortServer(server)
		c.node.log.Info("route closed", "backend_server", server, "attempts", n)
	}
}

func (c *control) shareSuspicions(list []crash.Suspicion) {
	m := &frame.SuspectRequest{List: crash.Frames(list)}
	for _, n := range c.nodes() {
		if n.Name != c.node.cfg.NodeName {
			// A node that misses it learns from its own crashes; the fleet's limit is in the table.
			_ = c.node.peers.Net().Send(n.Name, m)
		}
	}
}

// drain hands the first half of the shards over: nothing is granted under them here from now on.
func (c *control) drain() {
	c.leases.Drain()
	c.drained = c.node.now()
	first, _ := drain.Halves(c.duties())
	for _, d := range first {
		c.shares.Yield(d)
	}
}

// duties returns the duties that this node holds, with the backend servers that depend on them.
func (c *control) duties() []drain.Duty {
	models := make(map[string][]string)
	v := c.node.view.Load()
	for _, m := range v.Document().Models {
		for _, s := range v.Servers(m.Name) {
			d := share.Duty(s.Name, share.DefaultShards)
			models[d] = append(models[d], m.Name)
		}
	}
	held := c.held()
	out := make([]drain.Duty, 0, len(held))
	for _, t := range held {
		out = append(out, drain.Duty{Name: t.Duty, Models: models[t.Duty]})
	}
	return out
}

// leave ends the lease, so that the duties of this node move without waiting for its lapse. The shards that
// are left move once the ones handed over before are in use again.
func (c *control) leave(ctx context.Context) {
	if len(c.held()) > 0 {
		tasks.Sleep(ctx, c.drained.Add(handoverTime).Sub(c.node.now()))
	}
	for _, t := range c.held() {
		c.shares.Yield(t.Duty)
	}
	deadline := time.NewTimer(leaveTimeout)
	defer deadline.Stop()
	t := time.NewTicker(drainTick)
	defer t.Stop()
	for len(c.held()) > 0 {
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

func (c *control) held() []lease.Tenure {
	var out []lease.Tenure
	for _, t := range c.leases.Tenures() {
		if !t.Lost {
			out = append(out, t)
		}
	}
	return out
}

// retrier bounds the retries of a node.
type retrier struct {
	budget *retry.Budget
	now    func() time.Time
}

// Began implements relay.Retrier.
func (r retrier) Began(relay.Work) { r.budget.Request(r.now()) }

// Retry implements relay.Retrier.
func (r retrier) Retry(relay.Work) bool { return r.budget.Take(r.now()) }

// grantLinks carries the messages of shared budgets to other nodes.
type grantLinks struct {
	net *peer.Net
}

var _ share.Peers = grantLinks{}

// Ask implements share.Peers.
func (l grantLinks) Ask(ctx context.Context, node string, a frame.GrantAsk) (frame.GrantReply, error) {
	reply, err := l.net.Ask(ctx, node, &a)
	if err != nil {
		return frame.GrantReply{}, errors.Newf("ask for a grant: %w", err)
	}
	m, ok := reply.(*frame.GrantReply)
	if !ok {
		return frame.GrantReply{}, errUnexpectedReply
	}
	return *m, nil
}

// Release implements share.Peers.
func (l grantLinks) Release(ctx context.Context, node string, r frame.GrantRelease) error {
	if _, err := l.net.Ask(ctx, node, &r); err != nil {
		return errors.Newf("release a grant: %w", err)
	}
	return nil
}

// Digest implements share.Peers.
func (l grantLinks) Digest(node string, d frame.LoadDigest) { _ = l.net.Send(node, &d) }
