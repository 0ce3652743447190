package roster

import (
	"cmp"
	"slices"

	"geraniumhollow/internal/core/sets"
	"github.com/zeebo/xxh3"
)

// MeshLimit is the largest fleet in which every node is linked to every other.
const MeshLimit = 16

// fanOut is the number of children per node in the tree of a data centre.
const fanOut = 8

// Relation is the role of a neighbour relative to a node.
type Relation string

// Relations, as written in the rel field of a heartbeat.
const (
	Mesh   Relation = "mesh"
	Parent Relation = "parent"
	Child  Relation = "child"
	Root   Relation = "root"
)

// Inverse returns the relation as seen by the neighbour.
func (r Relation) Inverse() Relation {
	switch r {
	case Parent:
		return Child
	case Child:
		return Parent
	default:
		return r
	}
}

// NodeInfo describes a node's position in the topology.
type NodeInfo struct {
	Node       string
	DataCentre string
	// Capacity orders the nodes: those with more capacity come first in the tree, and relay messages.
	Capacity float64
}

// Topology is a full mesh for a small fleet, and otherwise one tree per data centre whose roots are linked to
// each other. It is immutable.
type Topology struct {
	mesh  bool
	nodes []string
	// byCapacity has the nodes of each data centre, by descending capacity and then by the hash of the name.
	byCapacity   map[string][]string
	dataCentreOf map[string]string
	sortKeys     map[string]sortKey
}

// sortKey is the sort key of a node.
type sortKey struct {
	capacity float64
	hash     uint64
}

// NewTopology returns the topology of a fleet.
func NewTopology(places []NodeInfo) *Topology {
	t := &Topology{
		mesh:         len(places) <= MeshLimit,
		byCapacity:   make(map[string][]string),
		dataCentreOf: make(map[string]string, len(places)),
		sortKeys:     make(map[string]sortKey, len(places)),
	}
	for _, p := range places {
		t.nodes = append(t.nodes, p.Node)
		t.byCapacity[p.DataCentre] = append(t.byCapacity[p.DataCentre], p.Node)
		t.dataCentreOf[p.Node] = p.DataCentre
		t.sortKeys[p.Node] = sortKey{capacity: p.Capacity, hash: xxh3.HashString(p.Node)}
	}
	for _, nodes := range t.byCapacity {
		slices.SortFunc(nodes, t.compare)
	}
	return t
}

func (t *Topology) compare(a, b string) int {
	x, y := t.sortKeys[a], t.sortKeys[b]
	return cmp.Or(cmp.Compare(y.capacity, x.capacity), cmp.Compare(x.hash, y.hash), cmp.Compare(a, b))
}

// FirstRoot returns the root that is first by capacity and hash over all data centres, ignoring the excluded
// nodes, or "".
func (t *Topology) FirstRoot(excluded sets.Set[string]) string {
	first := ""
	for dc := range t.byCapacity {
		if r := t.RootOf(dc, excluded); r != "" && (first == "" || t.compare(r, first) < 0) {
			first = r
		}
	}
	return first
}

// Roots returns the first node of each data centre that is not excluded.
func (t *Topology) Roots(excluded sets.Set[string]) []string {
	out := make([]string, 0, len(t.byCapacity))
	for dc := range t.byCapacity {
		if r := t.RootOf(dc, excluded); r != "" {
			out = append(out, r)
		}
	}
	return out
}

// RootOf returns the first node of a data centre that is not excluded, or "".
func (t *Topology) RootOf(dataCentre string, excluded sets.Set[string]) string {
	for _, n := range t.byCapacity[dataCentre] {
		if !excluded.Has(n) {
			return n
		}
	}
	return ""
}

// FirstOf returns the first n nodes of a data centre that are not excluded, its root first.
func (t *Topology) FirstOf(dataCentre string, excluded sets.Set[string], n int) []string {
	out := make([]string, 0, n)
	for _, node := range t.byCapacity[dataCentre] {
		if len(out) == n {
			break
		}
		if !excluded.Has(node) {
			out = append(out, node)
		}
	}
	return out
}

// Neighbours returns the neighbours of self when some nodes are excluded. A node whose parent is excluded is
// attached to its nearest ancestor that is not, or to the root, so that only the neighbours of a silent node
// need to notice. All other links stay.
func (t *Topology) Neighbours(self string, excluded sets.Set[string]) map[string]Relation {
	rel := make(map[string]Relation)
	if t.mesh {
		for _, n := range t.nodes {
			if n != self && !excluded.Has(n) {
				rel[n] = Mesh
			}
		}
		return rel
	}
	dc := t.dataCentreOf[self]
	order := t.byCapacity[dc]
	root := t.RootOf(dc, excluded)
	for i, n := range order {
		if n == self || excluded.Has(n) {
			continue
		}
		if parentIn(order, i, excluded, root) == self {
			rel[n] = Child
		}
	}
	if self != root {
		if p := parentIn(order, slices.Index(order, self), excluded, root); p != "" {
			rel[p] = Parent
		}
		return rel
	}
	for other := range t.byCapacity {
		if r := t.RootOf(other, excluded); other != dc && r != "" {
			rel[r] = Root
		}
	}
	return rel
}

// parentIn returns the parent of the node at position i, or "" for the root.
func parentIn(order []string, i int, excluded sets.Set[string], root string) string {
	if i < 0 || order[i] == root {
		return ""
	}
	for p := i; p > 0; {
		p = (p - 1) / fanOut
		if !excluded.Has(order[p]) {
			return order[p]
		}
	}
	return root
}
