// Package drain decides how a node stops and which backend servers get no new work.
//
// Node and Set are deciders and are not safe for concurrent use.
package drain

import "time"

// State is the state of a node that stops.
type State string

// States of a node, in order.
const (
	// Serving: ready, and new requests are served.
	Serving State = "serving"
	// Notice: not ready, but new requests are still served until the balancer has noticed.
	Notice State = "notice"
	// Finishing: new requests are refused and running ones finish.
	Finishing State = "finishing"
	// Stopped: nothing runs, or the time is up, or a second signal came.
	Stopped State = "stopped"
)

// Node is the drain state machine of a node.
type Node struct {
	notice  time.Duration
	timeout time.Duration
	state   State
	since   time.Time
}

// NewNode returns the machine of a node that serves. notice is the time between readiness off and
// the end of new work; timeout bounds the wait for running requests after that.
func NewNode(notice, timeout time.Duration) *Node {
	return &Node{notice: notice, timeout: timeout, state: Serving}
}

// State returns the state.
func (n *Node) State() State { return n.state }

// Ready reports whether the balancer may send new requests here.
func (n *Node) Ready() bool { return n.state == Serving }

// Accepts reports whether new requests are served.
func (n *Node) Accepts() bool { return n.state == Serving || n.state == Notice }

// Signal takes a signal to stop. The second one stops at once.
func (n *Node) Signal(now time.Time) {
	if n.state == Serving {
		n.enter(Notice, now)
		return
	}
	n.enter(Stopped, now)
}

// Tick moves on with time. running is the number of requests that have not finished.
func (n *Node) Tick(now time.Time, running int) {
	if n.state == Notice && now.Sub(n.since) >= n.notice {
		n.enter(Finishing, now)
	}
	if n.state == Finishing && (running == 0 || now.Sub(n.since) >= n.timeout) {
		n.enter(Stopped, now)
	}
}

// RetryAfter returns when a refused caller may come back: by then the balancer sends it elsewhere.
func (n *Node) RetryAfter() time.Duration { return time.Second }

func (n *Node) enter(s State, now time.Time) {
	n.state = s
	n.since = now
}
