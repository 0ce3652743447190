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

// drainPollInterval is the time between checks of the progress of a planned stop.
const drainPollInterval = 20 * time.Millisecond

// isolatedRetryAfter is the delay after which a caller may retry a request that an isolated node refused. By
// then the load balancer sends it to another node.
const isolatedRetryAfter = 2 * time.Second

// Ready reports whether the load balancer may send new requests to this node.
func (n *Node) Ready() bool {
	n.mu.Lock()
	ready := n.drain.Ready()
	n.mu.Unlock()
	return ready && !n.Isolated()
}

// Stop acts like a signal: it begins a planned stop, or ends a planned stop that is in progress immediately.
func (n *Node) Stop() {
	select {
	case n.signals <- struct{}{}:
	default:
	}
}

// awaitStop waits for the end of ctx or a call of Stop, then runs a planned stop. It returns true when the stop is
// complete, and false if another signal or the end of work interrupts it.
func (n *Node) awaitStop(ctx, work context.Context) bool {
	select {
	case <-work.Done():
		return false
	case <-ctx.Done():
	case <-n.signals:
	}
	state := n.updateDrain(func(d *drain.Node) { d.Signal(time.Now()) })
	t := time.NewTicker(drainPollInterval)
	defer t.Stop()
	for state != drain.Stopped {
		select {
		case <-work.Done():
			return false
		case <-n.signals:
			n.updateDrain(func(d *drain.Node) { d.Signal(time.Now()) })
			return false
		case now := <-t.C:
			state = n.updateDrain(func(d *drain.Node) { d.Tick(now, int(n.running.Load())) })
		}
	}
	return true
}

// updateDrain applies f to the drain state machine. If the state changes, it records the new state and sends it
// to the peers; at the start of a stop it also begins to hand over shards.
func (n *Node) updateDrain(f func(d *drain.Node)) drain.State {
	n.mu.Lock()
	before := n.drain.State()
	f(n.drain)
	state := n.drain.State()
	n.mu.Unlock()
	if state != before {
		if coord := n.coordinator.Load(); coord != nil && before == drain.Serving {
			coord.drain()
		}
		n.reasons.Add(reason.Drain, n.cfg.NodeName, reason.Text(state), "a planned stop is in progress",
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

// acceptsRequests reports whether the drain state allows new requests, and after what delay a refused caller
// may retry.
func (n *Node) acceptsRequests() (bool, time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.drain.Accepts(), n.drain.RetryAfter()
}

// admissionGate refuses new requests while the node drains or is isolated, and counts running requests.
type admissionGate struct {
	node *Node
	next relay.Gate
}

var _ relay.Gate = (*admissionGate)(nil)

// Enter implements relay.Gate.
func (g *admissionGate) Enter(ctx context.Context, v *view.View, w relay.RequestInfo) (func(), *fault.Error) {
	n := g.node
	// The request is counted before the check, so that the node cannot stop between the check and the count.
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

// refusal returns the error with which new requests are refused, or nil if they are accepted.
func (n *Node) refusal() *fault.Error {
	if ok, after := n.acceptsRequests(); !ok {
		return fault.New(fault.NodeDraining, fault.NotRun, "this node is stopping").WithRetryAfter(after)
	}
	if n.Isolated() {
		return fault.New(fault.NodeIsolated, fault.NotRun, "this node has no current configuration").
			WithRetryAfter(isolatedRetryAfter)
	}
	return nil
}
