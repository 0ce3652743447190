// Package reach decides from the connections of a node whether the node has lost all backend servers.
//
// A server that does not answer may have failed, or the link to it. One observation cannot tell these apart, so a node
// that hears nothing, or whose new connections fail, only becomes suspicious. It then checks some servers over new
// connections, and asks other nodes whether they reach servers. It is isolated if it reaches none and others do.
// A check waits longer while packets of servers arrive, and counts only time during which this process runs.
// Until that is decided, and while the node is isolated, what it sees is no evidence about any server.
package reach

import (
	"maps"
	"slices"
	"time"
)

// State is what a node knows about its links to backend servers.
type State int

// States of a node.
const (
	// Connected means that servers are reached, or that nothing is known.
	Connected State = iota
	// Suspected means that a check is due or in progress.
	Suspected
	// Isolated means that this node reaches no server, and other nodes do.
	Isolated
)

// String returns the name of the state.
func (s State) String() string {
	return [...]string{Connected: "connected", Suspected: "suspected", Isolated: "isolated"}[s]
}

// Config holds the parameters of a Decider.
type Config struct {
	// Silence is how long a node that waits for servers may hear nothing from any of them. It is longer than the usual
	// time between two events of all streams of a node.
	Silence time.Duration
	// Failures is the number of servers to which new connections fail in a row that raises the suspicion while other
	// connections are alive.
	Failures int
	// Fresh is how long an answer over a new connection shows that new connections work.
	Fresh time.Duration
	// Restored is the number of checks in a row that must reach a server before an isolated node counts as connected.
	Restored int
	// Inconclusive is how long no other check begins after one in which no other node reached a server either.
	Inconclusive time.Duration
}

// DefaultConfig returns the configuration that nodes use.
func DefaultConfig() Config {
	return Config{Silence: 150 * time.Millisecond, Failures: 2, Fresh: 200 * time.Millisecond, Restored: 2, Inconclusive: 400 * time.Millisecond}
}

// Check is the result of a check.
type Check struct {
	// Reached is the number of servers that answered this node over a new connection.
	Reached int
	// Peers is the number of other nodes that answered, PeersReaching the number of those that reach servers.
	Peers         int
	PeersReaching int
	// Late is set if this process did not run on time during the check, so that silence proves nothing.
	Late bool
}

// Decider is the state machine of one node. It does no I/O, and is not safe for concurrent use.
type Decider struct {
	cfg   Config
	state State
	// heard is when bytes of any server last arrived, heardFrom when those of each server did.
	heard     time.Time
	heardFrom map[string]time.Time
	// opened is when a server last answered over a new connection. failed are the servers to which new connections have
	// failed since.
	opened time.Time
	failed map[string]struct{}
	// restored counts the checks of an isolated node that have reached a server, in a row.
	restored int
	// undecidedUntil is until when no check begins because the last one did not show whose fault it is.
	undecidedUntil time.Time
	// late is set if the last check showed nothing because this process did not run on time.
	late bool
}

// New returns a Decider of a node that is connected.
func New(cfg Config) *Decider {
	return &Decider{cfg: cfg, heardFrom: make(map[string]time.Time), failed: make(map[string]struct{})}
}

// State returns the state.
func (d *Decider) State() State { return d.state }

// Evidence reports whether the failure of a server is evidence about that server, by the last check.
func (d *Decider) Evidence() bool { return d.state == Connected && !d.late }

// Heard records that bytes of a server arrived.
func (d *Decider) Heard(now time.Time, server string) {
	d.heard = now
	d.heardFrom[server] = now
}

// Opened records that a server answered over a new connection.
func (d *Decider) Opened(now time.Time, server string) {
	d.Heard(now, server)
	d.opened = now
	clear(d.failed)
	d.late = false
	if d.state == Suspected {
		d.state = Connected
	}
}

// Failed records that a new connection to a server failed, and reports whether a check must begin.
func (d *Decider) Failed(now time.Time, server string) bool {
	d.failed[server] = struct{}{}
	if now.Sub(d.heard) < d.cfg.Silence && len(d.failed) < d.cfg.Failures {
		return false
	}
	return d.suspect(now)
}

// Silent records that a server does not answer in time. The results report whether that is evidence about the server, and
// whether a check must begin.
func (d *Decider) Silent(now time.Time) (bool, bool) {
	if d.state != Connected {
		return false, false
	}
	if now.Sub(d.heard) < d.cfg.Silence || now.Before(d.undecidedUntil) {
		return true, false
	}
	check := d.suspect(now)
	return !check, check
}

// Working reports whether a server has answered over a new connection so recently that no check is needed to show that
// new connections work.
func (d *Decider) Working(now time.Time) bool {
	return d.state == Connected && (now.Sub(d.opened) < d.cfg.Fresh || now.Before(d.undecidedUntil))
}

// Suspect raises the suspicion, and reports whether a check must begin.
func (d *Decider) Suspect(now time.Time) bool { return d.suspect(now) }

func (d *Decider) suspect(now time.Time) bool {
	if d.state != Connected || now.Before(d.undecidedUntil) {
		return false
	}
	d.state = Suspected
	return true
}

// Checked applies the result of a check and returns the new state.
func (d *Decider) Checked(now time.Time, c Check) State {
	d.late = c.Late && c.Reached == 0
	switch {
	case c.Reached == 0 && c.Late:
		if d.state == Suspected {
			d.state = Connected
		}
	case c.Reached == 0 && (c.PeersReaching > 0 || d.state == Isolated):
		// An isolated node needs no other node to stay so: it has seen itself that it reaches no server.
		d.state, d.restored = Isolated, 0
	case c.Reached == 0:
		// The servers are down, or the other nodes have lost them too.
		d.state, d.undecidedUntil = Connected, now.Add(d.cfg.Inconclusive)
	case d.state == Isolated:
		if d.restored++; d.restored >= d.cfg.Restored {
			d.state, d.restored = Connected, 0
			d.opened, d.heard = now, now
			clear(d.failed)
		}
	default:
		d.state = Connected
		d.opened, d.heard = now, now
		clear(d.failed)
	}
	return d.state
}

// Recent returns up to n servers from which bytes arrived last, the last one first, and forgets the others.
func (d *Decider) Recent(n int) []string {
	list := slices.SortedFunc(maps.Keys(d.heardFrom), func(a, b string) int { return d.heardFrom[b].Compare(d.heardFrom[a]) })
	for _, server := range list[min(len(list), maxRemembered):] {
		delete(d.heardFrom, server)
	}
	return list[:min(n, len(list))]
}

// maxRemembered is the number of servers whose last sign is kept.
const maxRemembered = 64
