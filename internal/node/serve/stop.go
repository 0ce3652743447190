package serve

import (
	"context"
	"time"

	"geraniumhollow/internal/conf/view"
	"geraniumhollow/internal/core/fault"
	"geraniumhollow/internal/fleet/drain"
	"geraniumhollow/internal/node/relay"
	"geraniumhollow/internal/report/reason"
)

// drainTick is the time between looks at a node that stops.
const drainTick = 20 * time.Millisecond

// isolatedRetryAfter is when a caller that an isolated node refused may come back; the balancer
// sends it to another node by then.
const isolatedRetryAfter = 2 * time.Second

// Ready reports whether the balancer may send new requests here.
func (n *Node) Ready() bool {
	n.mu.Lock()
	ready := n.drain.Ready()
	n.mu.Unlock()
	return ready && !n.Isolated()
}

// Stop acts like another signal: it begins a planned stop, or ends a running one at once.
func (n *Node) Stop() {
	select {
	case n.signals <- struct{}{}:
	default:
	}
}

// awaitStop returns when a planned stop, which begins with the end of ctx or with Stop, has ended, or
// when work ends. It reports whether the stop ran its course, without another signal.
func (n *Node) awaitStop(ctx, work context.Context) bool {
	select {
	case <-work.Done():
		return false
	case <-ctx.Done():
	case <-n.signals:
	}
	state := n.moveDrain(func(d *drain.Node) { d.Signal(time.Now()) })
	t := time.NewTicker(drainTick)
	defer t.Stop()
	for state != drain.Stopped {
		select {
		case <-work.Done():
			return false
		case <-n.signals:
			n.moveDrain(func(d *drain.Node) { d.Signal(time.Now()) })
			return false
		case now := <-t.C:
			state = n.moveDrain(func(d *drain.Node) { d.Tick(now, int(n.running.Load())) })
		}
	}
	return true
}

// moveDrain lets the drain machine move on and tells the peers of a new state.
func (n *Node) moveDrain(f func(d *drain.Node)) drain.State {
	n.mu.Lock()
	before := n.drain.State()
	f(n.drain)
	state := n.drain.State()
	n.mu.Unlock()
	if state != before {
		if ctl := n.control.Load(); ctl != nil && before == drain.Serving {
			ctl.drain()
		}
		n.reasons.Add(reason.Drain, n.cfg.NodeName, reason.Text(state), "a planned stop goes on",
			reason.Int("running", int(n.running.Load())))
		n.log.Info("drain state changed", "from", before, "to", state, "running", n.running.Load())
		n.peers.SetDrain(string(state))
	}
	return state
}

func (n *Node) drainState() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return string(n.drain.State())
}

// accepts reports whether new requests are served, as far as a planned stop is concerned.
func (n *Node) accepts() (bool, time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.drain.Accepts(), n.drain.RetryAfter()
}

// entry refuses new requests while the node drains or is isolated, and counts the running ones.
type entry struct {
	node *Node
	next relay.Gate
}

var _ relay.Gate = (*entry)(nil)

// Enter implements relay.Gate.
func (g *entry) Enter(ctx context.Context, v *view.View, w relay.Work) (func(), *fault.Error) {
	n := g.node
	// A request is counted before it is checked, so that a node never stops between the two.
	n.running.Add(1)
	if err := n.refusal(); err != nil {
		n.running.Add(-1)
		return nil, err
	}
	if g.next == nil {
		return func() { n.running.Add(-1) }, nil
	}
	leave, err := g.next.Enter(ctx, v, w)
	if err != nil {
		n.running.Add(-1)
		return nil, err
	}
	return func() {
		leave()
		n.running.Add(-1)
	}, nil
}

// refusal returns why new requests are refused, or nil.
func (n *Node) refusal() *fault.Error {
	if ok, after := n.accepts(); !ok {
		return fault.New(fault.NodeDraining, fault.NotRun, "this node is stopping").WithRetryAfter(after)
	}
	if n.Isolated() {
		return fault.New(fault.NodeIsolated, fault.NotRun, "this node has no current configuration").
			WithRetryAfter(isolatedRetryAfter)
	}
	return nil
}
