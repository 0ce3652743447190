package mesh

import (
	"cmp"
	"math/rand/v2"
	"time"

	"geraniumhollow/internal/core/sets"
	"geraniumhollow/internal/fleet/mirror"
	"geraniumhollow/internal/fleet/roster"
)

// position is the position of a node in the topology. The first node of all reads the store. The first nodes of the other
// data centres follow it, and the remaining nodes follow their parents in the tree of their data centre.
type position struct {
	// readsStore is set if the node reads the store, leadsDataCentre if it is the first node of its data centre.
	readsStore      bool
	leadsDataCentre bool
	// standbys are the nodes of the data centre that read the store first if its first node cannot, and standby is the
	// position of this node among them, starting at 1, or 0.
	standbys sets.Set[string]
	standby  int
	// upstream is the node whose copies this node follows, "" if there is none or it is not known.
	upstream string
	// children holds the child nodes of this node in the tree.
	children sets.Set[string]
}

// updatePosition determines the position of this node in the topology without the absent nodes. The lock must be held.
func (m *Mesh) updatePosition(neighbours map[string]roster.Relation, absent sets.Set[string]) {
	p := position{children: sets.New[string]()}
	for node, rel := range neighbours {
		if rel == roster.Parent {
			p.upstream = node
		}
		if rel == roster.Child {
			p.children.Add(node)
		}
	}
	first, root := m.topology.FirstRoot(absent), m.topology.RootOf(m.cfg.DataCentre, absent)
	p.leadsDataCentre = root == m.cfg.Address
	p.standbys = sets.New[string]()
	for i, node := range m.topology.FirstOf(m.cfg.DataCentre, absent, 1+maxStandbys) {
		if i > 0 {
			p.standbys.Add(node)
		}
		if node == m.cfg.Address {
			p.standby = i
		}
	}
	p.readsStore = first == m.cfg.Address
	switch {
	case p.readsStore:
		p.upstream = ""
	case p.leadsDataCentre:
		p.upstream = first
	case p.upstream == "":
		p.upstream = root
	}
	if p.readsStore != m.position.readsStore || p.upstream != m.position.upstream {
		m.cfg.Log.Info("follows another source of rows", "node", cmp.Or(p.upstream, "store"), "left_out", len(absent))
	}
	m.position = p
}

// Source returns the source of the copy of a family on this node.
func (m *Mesh) Source(family string) mirror.Source {
	m.mu.Lock()
	p := m.position
	m.mu.Unlock()
	if p.readsStore {
		return mirror.Source{Store: true}
	}
	if _, ok := m.net.Peer(p.upstream); !ok {
		return mirror.Source{}
	}
	return mirror.Source{Node: remoteCopy{m: m, node: p.upstream, family: family}}
}

// Leads reports whether this node is the first of its data centre.
func (m *Mesh) Leads() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.position.leadsDataCentre
}

// Standbys for reading the store. The store may turn away the first node of each data centre and serve the others.
const (
	maxStandbys = 2
	// standbyWait is how long the first standby of a data centre waits for an upstream node that has no source before it
	// reads the store, and how much longer each further one waits.
	standbyWait = 500 * time.Millisecond
)

// upstreamWait is the minimum time that a node waits for an upstream node that has no source before it reads the store. The
// upstream node looks for a source itself, and without the wait all nodes would call the store while it is unavailable.
const upstreamWait = 6 * time.Second

// StoreReadDelay returns how long this node stays without a source before it reads the store. upstream is set if the upstream node
// answers but has no source. The first node of a data centre reads the store at once because the others wait for it.
func (m *Mesh) StoreReadDelay(upstream bool) time.Duration {
	switch {
	case m.Leads():
		return 0
	case upstream:
		if i := m.standbyPosition(); i > 0 {
			return time.Duration(i) * standbyWait
		}
		return upstreamWait + rand.N(upstreamWait)
	case m.Size() == 0:
		// The list of nodes has not been read yet, so that there is no node to follow.
		return startWait + rand.N(startWait)
	default:
		return m.cfg.StoreReadDelay + rand.N(m.cfg.StoreReadDelay/2+1)
	}
}

func (m *Mesh) standbyPosition() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.position.standby
}

// startWait is the minimum time that a node waits for other nodes after its start.
const startWait = 1500 * time.Millisecond
