// Package mesh links the nodes of a platform: it finds them through rows of the store, lets them follow
// each other's copies of rows while the store does not serve some of them, and carries notices.
//
// A node is named by the address of its links.
package mesh

import (
	"context"
	"encoding/json"
	"maps"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"geraniumhollow/internal/core/sets"
	"geraniumhollow/internal/core/sock"
	"geraniumhollow/internal/core/tasks"
	"geraniumhollow/internal/fleet/duty"
	"geraniumhollow/internal/fleet/index"
	"geraniumhollow/internal/fleet/mirror"
	"geraniumhollow/internal/fleet/roster"
	"geraniumhollow/internal/plat/table"
	"geraniumhollow/internal/wire/frame"
	"geraniumhollow/internal/wire/peer"
	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	lru "github.com/hashicorp/golang-lru/v2"
)

// Family is the family of rows in which nodes register.
const Family = "nodes"

// Times of the mesh.
const (
	// noticeTimeout bounds a question to other nodes.
	noticeTimeout = 400 * time.Millisecond
	// registerRetry is the pause between tries to register.
	registerRetry = 700 * time.Millisecond
	// dialTimeout bounds a new link.
	dialTimeout = 500 * time.Millisecond
	// outAfter is how long a wanted link may be missing before its node is left out of the topology.
	outAfter = 1200 * time.Millisecond
	// lookInterval is the time between looks for nodes to leave out.
	lookInterval = 400 * time.Millisecond
)

// Row is what a node stores of itself.
type Row struct {
	Incarnation string `json:"inc"`
	DataCentre  string `json:"data_centre"`
	// Capacity is the processor time that the node has, in cores.
	Capacity float64 `json:"capacity"`
}

// Config is what a mesh is made of.
type Config struct {
	// Address is where this node's links are accepted, and its name.
	Address     string
	DataCentre  string
	Incarnation string
	// Capacity is the processor time of this node, in cores.
	Capacity float64
	// Gather is how long the node waits before it reads the list of nodes, because all of them start at the same time.
	Gather time.Duration
	// Patience is how long the node goes without another one to follow before it reads the store itself.
	Patience time.Duration
	Table    table.Table
	Feed     table.Feed
	// Copies are the copies that other nodes may follow, by family.
	Copies func(family string) *mirror.Copy
	// Members is told of the registered nodes when they change.
	Members func(nodes []string)
	// Stalled takes notices of groups whose head makes no progress, and reports whether this node keeps
	// the groups. Keeper returns the address of the node that does, "" if it is not known.
	Stalled func(f index.Formation) bool
	Keeper  func() string
	// Duty takes a holder's word that it has the duty to keep groups; Met tells of each new link.
	Duty func(w duty.Word)
	Met  func(address, incarnation string)
	// Reaches reports whether this node reaches a backend server.
	Reaches func(ctx context.Context, server, addr string) bool
	// Suspects takes what the node origin found out of requests that may crash backend servers.
	Suspects func(origin string, list []frame.Suspicion)
	Log      hclog.Logger
}

// Mesh is the links of one node. It is safe for concurrent use.
type Mesh struct {
	cfg   Config
	net   *peer.Net
	nodes *mirror.Copy
	flood *Flood

	mu      sync.Mutex
	members map[string]Row
	turn    int
	topo    *roster.Topology
	// wanted is since when links have been wanted that do not exist; out are nodes that are left out.
	wanted map[string]time.Time
	out    sets.Set[string]
	// place is where this node stands among the others.
	place place
	// beats counts this node's words as holder of the duty; beat is the newest word of any holder, relayed when one was
	// passed on to the children.
	beats   int
	beat    frame.DutyBeat
	relayed time.Time
	// notices are the stalled groups of which the keeper was told, and when.
	notices *lru.Cache[index.Formation, time.Time]
}

// New returns a mesh that has not started.
func New(cfg Config) (*Mesh, error) {
	flood, err := NewFlood(cfg.Address + "/" + cfg.Incarnation)
	if err != nil {
		return nil, errors.Newf("new mesh: %w", err)
	}
	notices, err := lru.New[index.Formation, time.Time](maxNotices)
	if err != nil {
		return nil, errors.Newf("new mesh: %w", err)
	}
	m := &Mesh{
		cfg: cfg, flood: flood, members: make(map[string]Row), topo: roster.NewTopology(nil),
		wanted: make(map[string]time.Time), out: sets.New[string](), notices: notices,
	}
	m.net = peer.New(peer.Config{
		Self:    peer.Peer{Node: cfg.Address, Incarnation: cfg.Incarnation, DataCentre: cfg.DataCentre},
		Log:     cfg.Log,
		Resolve: func(node string) (string, bool) { return node, true },
		Accept:  func(peer.Peer) bool { return true },
		Changed: m.changed,
		Dial:    dial,
	})
	m.nodes = mirror.New(mirror.Config{
		Family: Family, Self: cfg.Address, Store: cfg.Feed, Apply: m.apply, Patience: m.Patience,
		Origin: func() mirror.Origin {
			if m.Size() == 0 {
				return mirror.Origin{Store: true}
			}
			return m.Origin(Family)
		},
		Peer: func() table.Feed { return m.Peer(Family) }, Pause: registerRetry, Log: cfg.Log,
	})
	peer.OnAsk(m.net, m.follow)
	peer.On(m.net, func(_ peer.Peer, n *frame.StallNotice) {
		m.Stalled(index.Formation{Group: n.Group, Epoch: uint64(n.Epoch)})
	})
	peer.OnAsk(m.net, func(ctx context.Context, _ peer.Peer, a *frame.ServerAsk) *frame.ServerReply {
		return &frame.ServerReply{Reached: cfg.Reaches(ctx, a.Server, a.Addr)}
	})
	peer.On(m.net, func(from peer.Peer, h *frame.RowHint) {
		if c := cfg.Copies(h.Family); c != nil {
			c.Hint(uint64(h.Rev), remote{m: m, node: from.Node, family: h.Family})
		}
	})
	peer.On(m.net, func(from peer.Peer, b *frame.DutyBeat) { m.heard(from, b) })
	peer.On(m.net, func(from peer.Peer, s *frame.SuspectRequest) { m.suspected(from.Node, s) })
	return m, nil
}

func dial(ctx context.Context, addr string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	return sock.Local.Dial(ctx, addr)
}

// Run keeps the links until ctx ends.
func (m *Mesh) Run(ctx context.Context) error {
	ln, err := sock.Local.Listen(ctx, m.cfg.Address)
	if err != nil {
		return errors.Newf("listen for other nodes: %w", err)
	}
	g := tasks.New(ctx)
	g.Go("links", func(ctx context.Context) error { return m.net.Run(ctx, ln) })
	g.Go("members", m.join)
	g.Go("topology", func(ctx context.Context) error {
		return tasks.Every(ctx, lookInterval, func(context.Context) { m.arrange() })
	})
	if err := g.Wait(); err != nil {
		return errors.Newf("mesh: %w", err)
	}
	return nil
}

// join registers this node and follows the list of nodes until ctx ends. A node that is in the list has a place in the
// topology; one that reads the list after the others have joined need not read it again.
func (m *Mesh) join(ctx context.Context) error {
	b, err := json.Marshal(Row{Incarnation: m.cfg.Incarnation, DataCentre: m.cfg.DataCentre, Capacity: m.cfg.Capacity})
	if err != nil {
		return errors.Newf("encode registration: %w", err)
	}
	txn := table.Txn{Puts: []table.Put{{Key: Family + "/" + m.cfg.Address, Value: b}}}
	registered := m.register(ctx, txn)
	if !tasks.Sleep(ctx, m.cfg.Gather) {
		return nil
	}
	g := tasks.New(ctx)
	g.Go("list", m.nodes.Run)
	g.Go("register", func(ctx context.Context) error {
		for !registered && tasks.Sleep(ctx, registerRetry) {
			registered = m.register(ctx, txn)
		}
		return nil
	})
	if err := g.Wait(); err != nil {
		return errors.Newf("join: %w", err)
	}
	return nil
}

// register writes the row of this node and reports whether it did.
func (m *Mesh) register(ctx context.Context, txn table.Txn) bool {
	ctx, cancel := context.WithTimeout(ctx, registerRetry)
	defer cancel()
	if _, err := m.cfg.Table.Commit(ctx, txn); err != nil {
		m.cfg.Log.Info("cannot register", "error", err)
		return false
	}
	return true
}

// Leave deletes the row of this node, which stops.
func (m *Mesh) Leave(ctx context.Context) error {
	if _, err := m.cfg.Table.Commit(ctx, table.Txn{Deletes: []string{Family + "/" + m.cfg.Address}}); err != nil {
		return errors.Newf("delete registration: %w", err)
	}
	return nil
}

// apply takes a change of the registered nodes.
func (m *Mesh) apply(u mirror.Update) {
	m.mu.Lock()
	if u.Full {
		clear(m.members)
	}
	for _, r := range u.Put {
		var row Row
		if err := json.Unmarshal(r.Value, &row); err != nil {
			m.cfg.Log.Warn("registration cannot be read", "key", r.Key, "error", err)
			continue
		}
		m.members[strings.TrimPrefix(r.Key, Family+"/")] = row
	}
	for _, k := range u.Removed {
		delete(m.members, strings.TrimPrefix(k, Family+"/"))
	}
	places := make([]roster.Place, 0, len(m.members))
	for node, row := range m.members {
		places = append(places, roster.Place{Node: node, DataCentre: row.DataCentre, Capacity: row.Capacity})
	}
	m.topo = roster.NewTopology(places)
	for node := range m.wanted {
		if _, ok := m.members[node]; !ok {
			delete(m.wanted, node)
			m.out.Remove(node)
		}
	}
	nodes := slices.Sorted(maps.Keys(m.members))
	m.mu.Unlock()
	m.cfg.Members(nodes)
	m.cfg.Log.Info("nodes changed", "nodes", len(nodes))
	m.arrange()
}

// Size returns the number of registered nodes.
func (m *Mesh) Size() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.members)
}

// changed takes the beginning or the end of a link.
func (m *Mesh) changed(p peer.Peer, up bool) {
	if up {
		m.cfg.Met(p.Node, p.Incarnation)
	}
	m.arrange()
}

// arrange leaves out nodes to which there is no link, and keeps the links of the topology without them.
func (m *Mesh) arrange() {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	for node := range m.out {
		if _, ok := m.net.Peer(node); ok {
			m.out.Remove(node)
		}
	}
	for node, since := range m.wanted {
		if _, ok := m.net.Peer(node); ok {
			delete(m.wanted, node)
		} else if now.Sub(since) >= outAfter {
			m.out.Add(node)
		}
	}
	neighbours := m.topo.Neighbours(m.cfg.Address, m.out)
	want := slices.Collect(maps.Keys(neighbours))
	for _, node := range want {
		if _, ok := m.net.Peer(node); !ok {
			if _, waits := m.wanted[node]; !waits {
				m.wanted[node] = now
			}
		}
	}
	m.settle(neighbours)
	// Nodes that are left out are tried on, so that they are found when they are back.
	m.net.Want("mesh", append(want, sets.Sorted(m.out)...))
}

// linked returns the nodes to which there is a link, starting with another one at each call.
func (m *Mesh) linked() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []string
	for _, n := range slices.Sorted(maps.Keys(m.members)) {
		if _, ok := m.net.Peer(n); ok && n != m.cfg.Address {
			out = append(out, n)
		}
	}
	m.turn++
	if len(out) > 1 {
		k := m.turn % len(out)
		out = slices.Concat(out[k:], out[:k])
	}
	return out
}
