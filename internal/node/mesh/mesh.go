// Package mesh connects the nodes of a platform. It discovers them through rows of the store, lets them follow each
// other's copies of rows while some of them cannot reach the store, and transports notifications between them.
//
// A node is identified by the address on which it accepts links.
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
	"geraniumhollow/internal/fleet/usage"
	"geraniumhollow/internal/node/detour"
	"geraniumhollow/internal/plat/table"
	"geraniumhollow/internal/route/pace"
	"geraniumhollow/internal/route/queue"
	"geraniumhollow/internal/route/shed"
	"geraniumhollow/internal/wire/frame"
	"geraniumhollow/internal/wire/peer"
	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	lru "github.com/hashicorp/golang-lru/v2"
)

// Family is the family of rows in which nodes register: the keys of its rows start with this name and a slash.
const Family = "nodes"

// Intervals and timeouts of the mesh.
const (
	// askTimeout limits a query to other nodes.
	askTimeout = 400 * time.Millisecond
	// listReadInterval is the minimum time between two reads of the list of nodes.
	listReadInterval = 700 * time.Millisecond
	// listReadWait is how long a read of the list of nodes from the store waits for changes.
	listReadWait = 700 * time.Millisecond
	// dialTimeout limits the time to open a link.
	dialTimeout = 500 * time.Millisecond
	// missingLinkTimeout is how long the link to a node of the topology may be missing before the node is excluded from it.
	missingLinkTimeout = 1200 * time.Millisecond
	// topologyInterval is the time between checks for nodes to exclude from the topology.
	topologyInterval = 400 * time.Millisecond
)

// Row is the registration of a node in the store.
type Row struct {
	Incarnation string `json:"inc"`
	DataCentre  string `json:"data_centre"`
	// Capacity is the processor time available to the node, in cores.
	Capacity float64 `json:"capacity"`
	// Forwards is the address on which the node takes requests of other nodes, or "" if it takes none.
	Forwards string `json:"forwards,omitempty"`
	Region   string `json:"region,omitempty"`
}

// Config holds the settings and dependencies of a mesh.
type Config struct {
	// Address is the address on which this node accepts links. It identifies the node.
	Address     string
	DataCentre  string
	Incarnation string
	// Capacity is the processor time available to this node, in cores.
	Capacity float64
	// Forwards is the address on which this node takes requests of other nodes, or "" if it takes none.
	Forwards string
	Region   string
	// Gather is how long the node waits before it reads the list of nodes, so that nodes that start at the same time can
	// register first.
	Gather time.Duration
	// StoreReadDelay is the minimum time that the node stays without another node to follow before it reads the store itself.
	StoreReadDelay time.Duration
	Table          table.Table
	Feed           table.Feed
	// Copies returns the copy of a family that other nodes may follow, or nil.
	Copies func(family string) *mirror.Copy
	// Members is called with the registered nodes when they change.
	Members func(nodes []string)
	// OnStalled is called with a group whose head makes no progress, and reports whether this node holds the duty to keep
	// the groups. Keeper returns the address of the node that holds it, "" if it is not known.
	OnStalled func(f index.Formation) bool
	Keeper    func() string
	// OnHolderReport is called with an announcement of the holder of the duty to keep the groups, and OnPeerConnected
	// with the peer of each new link.
	OnHolderReport  func(w duty.HolderReport)
	OnPeerConnected func(address, incarnation string)
	// CanReach reports whether this node reaches a backend server. known is false if this node cannot tell.
	CanReach func(ctx context.Context, server, addr string) (reached, known bool)
	// Status returns the status of this node for another one, which names backend servers that it does not reach.
	Status func(ctx context.Context, servers []detour.Server) detour.Status
	// OnSuspects is called with the findings of another node about requests that may crash backend servers.
	OnSuspects func(s *frame.SuspectRequest)
	// OnRates is called with what another node knows of the rates that backend servers name.
	OnRates func(from string, list []pace.Notice)
	// OnUsage is called with counts of requests of other nodes, which are on their way to the holder of the duty. OnClock is called
	// with the wall clock of a linked node and its estimate of true time.
	OnUsage func(list []usage.Report)
	OnClock func(node string, wall, estimate time.Time)
	// OnPressure is called with the demand for models and the load of their servers that another node knows, as the sums over the
	// nodes below it, or over all nodes if total is set.
	OnPressure func(from string, total bool, list []queue.ModelTotals)
	// Messages is the memory for messages that are being read; nil for no limit.
	Messages *shed.Budget
	Log      hclog.Logger
}

// Mesh manages the links of one node. It is safe for concurrent use.
type Mesh struct {
	cfg   Config
	net   *peer.Net
	nodes *mirror.Copy
	flood *Flood
	// registration is the row of this node.
	registration *Registration

	mu       sync.Mutex
	members  map[string]Row
	rotation int
	topology *roster.Topology
	// missingSince holds the time since which a link of the topology has been missing, by node. excluded holds the nodes
	// that are excluded from the topology.
	missingSince map[string]time.Time
	excluded     sets.Set[string]
	// returned holds the nodes that a restored list has brought back, and outdated their rows, if this node is to delete them.
	returned *Returned
	outdated []table.Row
	// position is the position of this node in the topology.
	position position
	// beatSeq numbers the announcements of this node as holder of the duty. lastBeat is the newest announcement of any
	// holder, and relayedAt is when one was last sent to the children.
	beatSeq   int
	lastBeat  frame.DutyBeat
	relayedAt time.Time
	// collectsUsage is set while this node is to be linked to the first node of each data centre, to receive counts of requests.
	collectsUsage bool
	// lastUsageTarget is the last node to which counts of requests were to be sent.
	lastUsageTarget string
	// stallNotices holds the time of the last stall notice for each formation.
	stallNotices *lru.Cache[index.Formation, time.Time]
}

// New returns a mesh that is started by Run.
func New(cfg Config) (*Mesh, error) {
	flood, err := NewFlood(cfg.Address + "/" + cfg.Incarnation)
	if err != nil {
		return nil, errors.Newf("new mesh: %w", err)
	}
	row, err := json.Marshal(Row{
		Incarnation: cfg.Incarnation, DataCentre: cfg.DataCentre, Capacity: cfg.Capacity, Forwards: cfg.Forwards, Region: cfg.Region,
	})
	if err != nil {
		return nil, errors.Newf("encode registration: %w", err)
	}
	notices, err := lru.New[index.Formation, time.Time](maxStallNotices)
	if err != nil {
		return nil, errors.Newf("new mesh: %w", err)
	}
	m := &Mesh{
		cfg: cfg, flood: flood, members: make(map[string]Row), topology: roster.NewTopology(nil),
		missingSince: make(map[string]time.Time), excluded: sets.New[string](), stallNotices: notices,
		returned:     NewReturned(),
		registration: NewRegistration(cfg.Table, table.Put{Key: Family + "/" + cfg.Address, Value: row}, cfg.Log),
	}
	m.net = peer.New(peer.Config{
		Self:    peer.Peer{Node: cfg.Address, Incarnation: cfg.Incarnation, DataCentre: cfg.DataCentre},
		Log:     cfg.Log,
		Resolve: func(node string) (string, bool) { return node, true },
		Accept:  func(peer.Peer) bool { return true },
		Changed: m.linkChanged,
		Dial:    m.dial, Messages: cfg.Messages,
	})
	m.nodes = mirror.New(mirror.Config{
		Family: Family, Name: cfg.Address, Store: cfg.Feed, Apply: m.apply, StoreReadDelay: m.StoreReadDelay,
		Source: func() mirror.Source {
			if m.Size() == 0 {
				return mirror.Source{Store: true}
			}
			return m.Source(Family)
		},
		// Nodes that the store has forgotten count until they have registered again, as limits are divided among the nodes.
		Keep: func(_ table.Row, restored *table.Row) bool { return restored == nil }, KeepTime: 2 * MaxRewriteDelay,
		Peer: func() table.Feed { return m.Peer(Family) }, MinReadInterval: listReadInterval, StoreWait: listReadWait, Log: cfg.Log,
	})
	peer.OnAsk(m.net, m.handleFollow)
	peer.On(m.net, func(_ peer.Peer, n *frame.StallNotice) {
		m.Stalled(index.Formation{Group: n.Group, Epoch: uint64(n.Epoch)})
	})
	peer.OnAsk(m.net, func(ctx context.Context, _ peer.Peer, a *frame.ServerAsk) *frame.ServerReply {
		reached, known := cfg.CanReach(ctx, a.Server, a.Addr)
		if !known {
			return nil
		}
		return &frame.ServerReply{Reached: reached}
	})
	peer.OnAsk(m.net, m.handleReachAsk)
	peer.On(m.net, func(from peer.Peer, h *frame.RowHint) {
		if c := cfg.Copies(h.Family); c != nil {
			c.Hint(table.Revision{Era: uint64(h.Era), Number: uint64(h.Rev)}, remoteCopy{m: m, node: from.Node, family: h.Family})
		}
	})
	peer.On(m.net, func(from peer.Peer, b *frame.DutyBeat) { m.handleDutyBeat(from, b) })
	peer.On(m.net, func(from peer.Peer, s *frame.SuspectRequest) { m.handleSuspicions(from.Node, s) })
	m.handleUsage()
	peer.On(m.net, func(from peer.Peer, r *frame.RateNotices) { m.handleRates(from.Node, r) })
	return m, nil
}

func (m *Mesh) dial(ctx context.Context, addr string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	source, _, _ := net.SplitHostPort(m.cfg.Address)
	return sock.Local.WithSource(source).Dial(ctx, addr)
}

// Run maintains the links until ctx ends.
func (m *Mesh) Run(ctx context.Context) error {
	ln, err := sock.Local.Listen(ctx, m.cfg.Address)
	if err != nil {
		return errors.Newf("listen for other nodes: %w", err)
	}
	g := tasks.New(ctx)
	g.Go("links", func(ctx context.Context) error { return m.net.Run(ctx, ln) })
	g.Go("members", m.join)
	g.Go("topology", func(ctx context.Context) error {
		return tasks.Every(ctx, topologyInterval, func(ctx context.Context) {
			m.updateLinks()
			m.deleteOutdated(ctx)
		})
	})
	if err := g.Wait(); err != nil {
		return errors.Newf("mesh: %w", err)
	}
	return nil
}

// join registers this node and follows the list of nodes until ctx ends. It registers first, because only a
// node in the list has a position in the topology. It then waits, because a node that reads the list after all others have
// registered need not read it again.
func (m *Mesh) join(ctx context.Context) error {
	m.registration.Write(ctx)
	if !tasks.Sleep(ctx, m.cfg.Gather) {
		return nil
	}
	g := tasks.New(ctx)
	g.Go("list", m.nodes.Run)
	g.Go("register", m.registration.Run)
	if err := g.Wait(); err != nil {
		return errors.Newf("join: %w", err)
	}
	return nil
}

// Leave deletes the row of this node because the node is stopping.
func (m *Mesh) Leave(ctx context.Context) error { return m.registration.Leave(ctx) }

// apply processes a change to the registered nodes.
func (m *Mesh) apply(u mirror.Update) {
	m.mu.Lock()
	m.returned.Observe(time.Now(), u, func(node string) bool {
		_, ok := m.members[node]
		return ok || node == m.cfg.Address
	})
	if u.Full {
		clear(m.members)
	}
	for _, r := range u.Put {
		var row Row
		if err := json.Unmarshal(r.Value, &row); err != nil {
			m.cfg.Log.Warn("cannot decode the registration of a node", "key", r.Key, "error", err)
			continue
		}
		m.members[strings.TrimPrefix(r.Key, Family+"/")] = row
	}
	for _, k := range u.Removed {
		delete(m.members, strings.TrimPrefix(k, Family+"/"))
	}
	places := make([]roster.NodeInfo, 0, len(m.members))
	for node, row := range m.members {
		places = append(places, roster.NodeInfo{Node: node, DataCentre: row.DataCentre, Capacity: row.Capacity})
	}
	m.topology = roster.NewTopology(places)
	for node := range m.missingSince {
		if _, ok := m.members[node]; !ok {
			delete(m.missingSince, node)
			m.excluded.Remove(node)
		}
	}
	nodes := slices.Sorted(maps.Keys(m.members))
	m.mu.Unlock()
	m.cfg.Members(nodes)
	m.cfg.Log.Info("nodes changed", "nodes", len(nodes))
	m.updateLinks()
	m.registration.Observe(u)
}

// Size returns the number of registered nodes.
func (m *Mesh) Size() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.members)
}

// Members returns the registered nodes.
func (m *Mesh) Members() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Collect(maps.Keys(m.members))
}

// linkChanged is called when a link is opened or closed.
func (m *Mesh) linkChanged(p peer.Peer, up bool) {
	if up {
		m.cfg.OnPeerConnected(p.Node, p.Incarnation)
	}
	m.updateLinks()
}

// updateLinks excludes nodes whose links have been missing for too long from the topology, and requests the links of the
// remaining topology.
func (m *Mesh) updateLinks() {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	for node := range m.excluded {
		if _, ok := m.net.Peer(node); ok {
			m.excluded.Remove(node)
		}
	}
	for node, since := range m.missingSince {
		if _, ok := m.net.Peer(node); ok {
			delete(m.missingSince, node)
		} else if now.Sub(since) >= missingLinkTimeout {
			m.excluded.Add(node)
		}
	}
	away, outdated := m.returned.Update(now, m.position.readsStore, func(node string) bool {
		_, ok := m.net.Peer(node)
		return ok
	})
	absent := m.excluded.Union(away)
	neighbours := m.topology.Neighbours(m.cfg.Address, absent)
	want := slices.Collect(maps.Keys(neighbours))
	for _, node := range want {
		if _, ok := m.net.Peer(node); !ok {
			if _, missing := m.missingSince[node]; !missing {
				m.missingSince[node] = now
			}
		}
	}
	m.updatePosition(neighbours, absent)
	// Links to excluded nodes are still attempted, so that the nodes are included again when they return.
	want, m.outdated = append(want, sets.Sorted(m.excluded)...), nil
	if m.position.readsStore {
		want, m.outdated = append(want, sets.Sorted(away)...), outdated
	}
	m.net.Want("mesh", append(want, m.usageLinks(absent)...))
}

// maxOutdatedDeletes is the maximum number of rows that one transaction of deleteOutdated deletes.
const maxOutdatedDeletes = 40

// deleteOutdated deletes rows that a restored list has brought back and whose nodes have left. A row that has changed since is
// soon no longer among them.
func (m *Mesh) deleteOutdated(ctx context.Context) {
	m.mu.Lock()
	rows := m.outdated[:min(len(m.outdated), maxOutdatedDeletes)]
	m.mu.Unlock()
	if len(rows) == 0 {
		return
	}
	var txn table.Txn
	for _, r := range rows {
		txn.Conditions = append(txn.Conditions, table.Condition{Key: r.Key, Revision: r.Revision})
		txn.Deletes = append(txn.Deletes, r.Key)
	}
	ctx, cancel := context.WithTimeout(ctx, registerRetryDelay)
	defer cancel()
	if _, err := m.cfg.Table.Commit(ctx, txn); err != nil {
		m.cfg.Log.Info("cannot delete the registrations of nodes that have left", "keys", txn.Deletes, "error", err)
		return
	}
	m.cfg.Log.Info("deleted the registrations of nodes that have left", "keys", txn.Deletes)
}

// linked returns the nodes to which there is a link, rotated by one position at each call.
func (m *Mesh) linked() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []string
	for _, n := range slices.Sorted(maps.Keys(m.members)) {
		if _, ok := m.net.Peer(n); ok && n != m.cfg.Address {
			out = append(out, n)
		}
	}
	m.rotation++
	if len(out) > 1 {
		k := m.rotation % len(out)
		out = slices.Concat(out[k:], out[:k])
	}
	return out
}
