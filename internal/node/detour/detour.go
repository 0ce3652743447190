// Package detour passes requests on to other nodes while this node cannot reach the backend servers.
//
// It runs the checks that package fleet/reach asks for, keeps the statuses of a few other nodes while this node is isolated,
// and chooses among them by load and data centre. Nodes learn of each other's isolation only by asking: nothing is
// announced, so that the number of messages depends on the number of isolated nodes and not on that of all nodes.
package detour

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"geraniumhollow/internal/core/tasks"
	"geraniumhollow/internal/fleet/reach"
	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/singleflight"
)

// Server is a backend server that a check may try.
type Server struct {
	ID      string
	Address string
	// Domain is the failure domain.
	Domain string
}

// Node is another node.
type Node struct {
	// Address identifies the node.
	Address    string
	DataCentre string
	// Forwards is the address on which the node takes requests of other nodes.
	Forwards string
	// Capacity is the processor time of the node, in cores.
	Capacity float64
}

// Status is what a node says of itself.
type Status struct {
	// Reaches reports whether the node reaches backend servers, Accepts whether it takes requests of other nodes.
	Reaches bool
	Accepts bool
	// Requests is the number of its requests in progress.
	Requests int
}

// Config holds the settings and dependencies of a Detour. All functions are required.
type Config struct {
	DataCentre string
	// Source is the local IP address of connections to other nodes.
	Source string
	// Servers returns the servers in use.
	Servers func() []Server
	// Try asks a server for its state over a new connection, and calls connected once the connection is made.
	Try func(ctx context.Context, s Server, connected func()) error
	// Nodes returns the other nodes that requests may be passed on to.
	Nodes func() []Node
	// Ask asks a node for its status. The node may try the servers.
	Ask func(ctx context.Context, node string, s []Server) (Status, error)
	// OnChange is called when this node becomes isolated, and when it reaches servers again. It must not block.
	OnChange func(isolated bool)
	Log      hclog.Logger
}

// Times and numbers of checks.
const (
	// tryTimeout limits the wait for the servers. slowTimeout limits it while there is a sign that packets of servers arrive.
	tryTimeout  = 150 * time.Millisecond
	slowTimeout = 500 * time.Millisecond
	// askTimeout limits the wait for other nodes, which may try servers.
	askTimeout = 250 * time.Millisecond
	// peerTryTimeout limits the wait for servers that another node asks about.
	peerTryTimeout = 100 * time.Millisecond
	// checkInterval is the time between checks of an isolated node, minCheckInterval that while requests wait for a node that
	// takes them.
	checkInterval    = 200 * time.Millisecond
	minCheckInterval = 40 * time.Millisecond
	// heardAge is the age of the last bytes of a server up to which a node is sure to reach servers.
	heardAge = 150 * time.Millisecond
	// missedTryAge is how long other nodes are told that this one reaches no server without another try.
	missedTryAge = 250 * time.Millisecond
	// recentServers and randomServers are the numbers of servers that a check tries: those heard last, which are the least
	// likely to have failed, and others in different failure domains.
	recentServers = 2
	randomServers = 2
	// nearNodes and farNodes are the numbers of nodes that the first check asks, in the same data centre and in others.
	// Each check that finds none doubles them, up to maxAskFactor times.
	nearNodes    = 3
	farNodes     = 3
	maxAskFactor = 8
)

// Detour tracks whether this node is isolated, and the nodes that take its requests. It is safe for concurrent use.
type Detour struct {
	cfg  Config
	wake chan struct{}

	mu      sync.Mutex
	decider *reach.Decider
	// heardAt is when bytes of a server last arrived.
	heardAt time.Time
	// checked is closed when the check that is due or in progress is done, or nil.
	checked chan struct{}
	// tries are the tries of servers for other nodes, missedAt is when the last one ended without having reached one.
	tries    singleflight.Group
	missedAt time.Time
	// forwarded is the number of requests of other nodes in progress.
	forwarded int
	// since is when this node became isolated or connected.
	since time.Time
	peers peers
}

// New returns a Detour of a node that is connected.
func New(cfg Config) *Detour {
	return &Detour{cfg: cfg, wake: make(chan struct{}, 1), decider: reach.New(reach.DefaultConfig()), peers: newPeers(cfg)}
}

// Run makes checks until ctx ends.
func (d *Detour) Run(ctx context.Context) error {
	defer d.peers.close()
	t := time.NewTimer(checkInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-d.wake:
		case <-t.C:
		}
		before := d.State()
		if before == reach.Connected {
			d.endNeedlessCheck()
		} else {
			d.check(ctx)
			// A check that has just found the node isolated has not waited for all nodes.
			if before == reach.Isolated && !tasks.Sleep(ctx, minCheckInterval) {
				return nil
			}
		}
		if after := d.State(); after == reach.Isolated && before != after {
			t.Reset(0)
		} else {
			t.Reset(checkInterval)
		}
	}
}

// State returns what is known about the links to servers.
func (d *Detour) State() reach.State {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.decider.State()
}

// Isolated reports whether this node reaches no server while other nodes do.
func (d *Detour) Isolated() bool { return d.State() == reach.Isolated }

// Heard records that bytes of a server arrived.
func (d *Detour) Heard(server string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.heardAt = time.Now()
	d.decider.Heard(d.heardAt, server)
}

// Exchanged records the result of an exchange with a server. fresh is set if it was the first one of its connection.
func (d *Detour) Exchanged(server string, fresh bool, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	switch {
	case err != nil && d.decider.Failed(now, server):
		d.startCheck()
	case err != nil:
	case fresh:
		d.heardAt = now
		d.decider.Opened(now, server)
	default:
		d.heardAt = now
		d.decider.Heard(now, server)
	}
}

// Silent records that a server does not answer in time, and reports whether that is evidence about the server.
func (d *Detour) Silent() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	evidence, check := d.decider.Silent(time.Now())
	if check {
		d.startCheck()
	}
	return evidence
}

// Confirm reports whether this node reaches servers, so that the failure of one is evidence about that one. It makes a check
// unless one was made recently. It also returns true if no other node reaches servers, and false if this process did not run
// on time during the check.
func (d *Detour) Confirm(ctx context.Context) bool {
	d.mu.Lock()
	now := time.Now()
	if d.decider.Working(now) {
		d.mu.Unlock()
		return true
	}
	if d.decider.Suspect(now) {
		d.startCheck()
	}
	checked := d.checked
	d.mu.Unlock()
	d.await(ctx, checked)
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.decider.Evidence()
}

// await waits for the end of a check and returns the state.
func (d *Detour) await(ctx context.Context, checked <-chan struct{}) reach.State {
	if checked != nil {
		select {
		case <-checked:
		case <-ctx.Done():
		}
	}
	return d.State()
}

// startCheck has Run make a check. The lock must be held.
func (d *Detour) startCheck() {
	if d.checked == nil {
		d.checked = make(chan struct{})
	}
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// endCheck releases those that wait for a check. The lock must be held.
func (d *Detour) endCheck() {
	if d.checked != nil {
		close(d.checked)
		d.checked = nil
	}
}

// releaseWaiting releases those that wait for a check once a node has been found that takes their requests.
func (d *Detour) releaseWaiting() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.endCheck()
}

// endNeedlessCheck releases those that wait for a check if a server has answered since it was requested.
func (d *Detour) endNeedlessCheck() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.decider.State() == reach.Connected {
		d.endCheck()
	}
}

// check tries servers, asks other nodes, and applies the result.
func (d *Detour) check(ctx context.Context) {
	begun := time.Now()
	d.mu.Lock()
	before := d.decider.State()
	servers := d.sample()
	d.mu.Unlock()
	result := d.gather(ctx, servers, before)
	d.mu.Lock()
	now := time.Now()
	after := d.decider.State()
	// A server may have answered meanwhile. An isolated node counts its checks only.
	if after == before {
		after = d.decider.Checked(now, result)
	}
	changed := (before == reach.Isolated) != (after == reach.Isolated)
	since := d.since
	if changed {
		d.since = now
	}
	d.endCheck()
	d.mu.Unlock()
	fields := []any{
		"state", after.String(), "servers", len(servers), "reached", result.Reached, "nodes", result.Peers, "nodes_reaching", result.PeersReaching,
		"late", result.Late, "ms", now.Sub(begun).Milliseconds(),
	}
	switch {
	case changed && after == reach.Isolated:
		d.cfg.Log.Warn("lost all backend servers, passing requests on to other nodes", fields...)
	case changed:
		d.cfg.Log.Warn("backend servers are reached again", append(fields, "isolated_ms", now.Sub(since).Milliseconds())...)
	case before == reach.Suspected:
		d.cfg.Log.Info("checked the links to backend servers", fields...)
	}
	if changed {
		d.cfg.OnChange(after == reach.Isolated)
	}
}

// sample returns the servers that a check tries. The lock must be held.
func (d *Detour) sample() []Server {
	all := d.cfg.Servers()
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	byID := make(map[string]Server, len(all))
	for _, s := range all {
		byID[s.ID] = s
	}
	var out []Server
	domains := make(map[string]bool)
	for _, id := range d.decider.Recent(recentServers) {
		if s, ok := byID[id]; ok {
			out = append(out, s)
			domains[s.Domain] = true
		}
	}
	for _, other := range []bool{true, false} {
		for _, s := range all {
			if len(out) < recentServers+randomServers && domains[s.Domain] != other && !contains(out, s) {
				out = append(out, s)
				domains[s.Domain] = true
			}
		}
	}
	return out
}

func contains(list []Server, s Server) bool {
	for _, o := range list {
		if o.ID == s.ID {
			return true
		}
	}
	return false
}

// maxForwardedPerCore limits the requests of other nodes in progress, per core. A node with few requests of its own uses
// about a thousandth of a core for each.
const maxForwardedPerCore = 600

// maxForwarded returns the limit for a node with a capacity in cores.
func maxForwarded(capacity float64) int { return int(maxForwardedPerCore * max(capacity, minCapacity)) }

// Status answers another node, which names servers that it does not reach. requests is the number of requests of callers in
// progress here, capacity the processor time of this node, in cores.
func (d *Detour) Status(ctx context.Context, servers []Server, requests int, capacity float64) Status {
	d.mu.Lock()
	state, recent := d.decider.State(), time.Since(d.heardAt) < heardAge
	s := Status{Requests: requests + d.forwarded, Accepts: d.forwarded < maxForwarded(capacity)}
	d.mu.Unlock()
	switch {
	case state == reach.Connected && recent:
		s.Reaches = true
	case state != reach.Isolated:
		s.Reaches = d.tryAny(ctx, servers)
	}
	s.Accepts = s.Accepts && s.Reaches
	return s
}

// tryAny reports whether this node reaches any of some servers over a new connection. Nodes that ask at the same time, or soon after
// a try that has reached none, share its result: where servers are busy, all nodes ask each other, and tries for each of them would
// keep the servers busy.
func (d *Detour) tryAny(ctx context.Context, servers []Server) bool {
	d.mu.Lock()
	missed := time.Since(d.missedAt) < missedTryAge
	d.mu.Unlock()
	if missed {
		return false
	}
	reached, _, _ := d.tries.Do("", func() (any, error) {
		reached := d.tryServers(ctx, servers)
		if !reached {
			d.mu.Lock()
			defer d.mu.Unlock()
			d.missedAt = time.Now()
		}
		return reached, nil
	})
	return reached == true
}

// tryServers tries some servers at the same time until one has answered.
func (d *Detour) tryServers(ctx context.Context, servers []Server) bool {
	ctx, cancel := context.WithTimeout(ctx, peerTryTimeout)
	defer cancel()
	var mu sync.Mutex
	reached := false
	g := tasks.New(ctx)
	for _, s := range servers[:min(len(servers), recentServers+randomServers)] {
		g.Go("try server", func(ctx context.Context) error {
			if d.cfg.Try(ctx, s, func() {}) != nil {
				return nil
			}
			d.Exchanged(s.ID, true, nil)
			mu.Lock()
			defer mu.Unlock()
			reached = true
			cancel()
			return nil
		})
	}
	_ = g.Wait() // The tasks return no errors.
	return reached
}
