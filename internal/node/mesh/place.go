package mesh

import (
	"cmp"
	"math/rand/v2"
	"time"

	"geraniumhollow/internal/core/sets"
	"geraniumhollow/internal/fleet/mirror"
	"geraniumhollow/internal/fleet/roster"
)

// place is where a node stands among the others. The first node of all reads the store. The first nodes of the other
// data centres follow it, and the rest follow the tree of their data centre.
type place struct {
	// reads says that the node reads the store, leads that it is the first of its data centre.
	reads bool
	leads bool
	// upstream is the node whose copies this one follows, "" if none is known.
	upstream string
	// children are the nodes below this one.
	children sets.Set[string]
}

// settle finds the place of this node. The lock must be held.
func (m *Mesh) settle(neighbours map[string]roster.Relation) {
	p := place{children: sets.New[string]()}
	for node, rel := range neighbours {
		if rel == roster.Parent {
			p.upstream = node
		}
		if rel == roster.Child {
			p.children.Add(node)
		}
	}
	first, root := m.topo.First(m.out), m.topo.RootOf(m.cfg.DataCentre, m.out)
	p.leads = root == m.cfg.Address
	p.reads = first == m.cfg.Address
	switch {
	case p.reads:
		p.upstream = ""
	case p.leads:
		p.upstream = first
	case p.upstream == "":
		p.upstream = root
	}
	if p.reads != m.place.reads || p.upstream != m.place.upstream {
		m.cfg.Log.Info("follows another source of rows", "node", cmp.Or(p.upstream, "store"), "left_out", len(m.out))
	}
	m.place = p
}

// Origin returns where this node's copy of a family comes from.
func (m *Mesh) Origin(family string) mirror.Origin {
	m.mu.Lock()
	p := m.place
	m.mu.Unlock()
	if p.reads {
		return mirror.Origin{Store: true}
	}
	if _, ok := m.net.Peer(p.upstream); !ok {
		return mirror.Origin{}
	}
	return mirror.Origin{Node: remote{m: m, node: p.upstream, family: family}}
}

// Leads reports whether this node is the first of its data centre.
func (m *Mesh) Leads() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.place.leads
}

// upstreamPatience is how long a node waits whose upstream has no source: that one looks for a source itself, and while
// the store is away, all nodes would call it.
const upstreamPatience = 6 * time.Second

// Patience returns how long this node goes without a source before it reads the store. Nodes that lead do so at once, as
// all others of their data centre wait for them.
func (m *Mesh) Patience(upstream bool) time.Duration {
	switch {
	case m.Leads():
		return 0
	case upstream:
		return upstreamPatience + rand.N(upstreamPatience)
	case m.Size() == 0:
		// The links to other nodes are being made.
		return startPatience + rand.N(startPatience)
	default:
		return m.cfg.Patience + rand.N(m.cfg.Patience/2+1)
	}
}

// startPatience is how long a node that has just started waits for others.
const startPatience = 1500 * time.Millisecond
