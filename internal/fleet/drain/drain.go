// Package drain implements the graceful stop of a node, and determines which backend servers get no new work.
//
// A Node does no I/O and is not safe for concurrent use. A Set is immutable.
package drain

import "time"

// State is the drain state of a node.
type State string

// Drain states, in order.
const (
	// Serving: the node is ready and serves new requests.
	Serving State = "serving"
	// Notice: the node is not ready, but serves new requests until the balancer has stopped sending them.
	Notice State = "notice"
	// Finishing: new requests are refused while the running ones finish.
	Finishing State = "finishing"
	// Stopped: no request is running, the timeout has passed, or a second signal has arrived.
	Stopped State = "stopped"
)

// Node is the drain state machine of a node.
type Node struct {
	notice    time.Duration
	timeout   time.Duration
	state     State
	enteredAt time.Time
}

// NewNode returns the state machine of a node that is serving. notice is the time for which new requests are
// still served after the node stops being ready. timeout bounds the wait for running requests after that.
func NewNode(notice, timeout time.Duration) *Node {
	return &Node{notice: notice, timeout: timeout, state: Serving}
}

// State returns the current state.
func (n *Node) State() State { return n.state }

// Ready reports whether the balancer may send new requests to this node.
func (n *Node) Ready() bool { return n.state == Serving }

// Accepts reports whether new requests are served.
func (n *Node) Accepts() bool { return n.state == Serving || n.state == Notice }

// Signal processes a signal to stop. A second one stops the node at once.
func (n *Node) Signal(now time.Time) {
	if n.state == Serving {
		n.enter(Notice, now)
		return
	}
	n.enter(Stopped, now)
}

// Tick advances the state. running is the number of unfinished requests.
func (n *Node) Tick(now time.Time, running int) {
	if n.state == Notice && now.Sub(n.enteredAt) >= n.notice {
		n.enter(Finishing, now)
	}
	if n.state == Finishing && (running == 0 || now.Sub(n.enteredAt) >= n.timeout) {
		n.enter(Stopped, now)
	}
}

// RetryAfter returns the delay before a refused caller should retry. By then the balancer sends it to another
// node.
func (n *Node) RetryAfter() time.Duration { return time.Second }

func (n *Node) enter(s State, now time.Time) {
	n.state = s
	n.enteredAt = now
}
