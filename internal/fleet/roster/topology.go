package roster

import (
	"cmp"
	"slices"

	"geraniumhollow/internal/core/sets"
	"github.com/zeebo/xxh3"
)

// MeshLimit is the largest fleet in which every node talks to every other.
const MeshLimit = 16

// fanOut is the number of children of a node in the tree of a data centre.
const fanOut = 8

// Relation is what a neighbour is to a node.
type Relation string

// Relations. They are the values of rel in a heartbeat.
const (
	Mesh   Relation = "mesh"
	Parent Relation = "parent"
	Child  Relation = "child"
	Root   Relation = "root"
)

// Inverse returns the relation as the neighbour sees it.
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

// Place is a node and its data centre.
type Place struct {
	Node       string
	DataCentre string
	// Capacity orders the nodes: those with more of it have the work of passing things on.
	Capacity float64
}

// Topology holds the fleet in tree order. It is immutable.
type Topology struct {
	mesh  bool
	nodes []string
	// order has the nodes of each data centre, those with most capacity first, and then by their hashed names.
	order map[string][]string
	home  map[string]string
	keys  map[string]key
}

// key is what a node is ordered by.
type key struct {
	capacity float64
	hash     uint64
}

// NewTopology returns the topology of a fleet.
func NewTopology(places []Place) *Topology {
	t := &Topology{
		mesh:  len(places) <= MeshLimit,
		order: make(map[string][]string),
		home:  make(map[string]string, len(places)),
		keys:  make(map[string]key, len(places)),
	}
	for _, p := range places {
		t.nodes = append(t.nodes, p.Node)
		t.order[p.DataCentre] = append(t.order[p.DataCentre], p.Node)
		t.home[p.Node] = p.DataCentre
		t.keys[p.Node] = key{capacity: p.Capacity, hash: xxh3.HashString(p.Node)}
	}
	for _, nodes := range t.order {
		slices.SortFunc(nodes, t.compare)
	}
	return t
}

func (t *Topology) compare(a, b string) int {
	x, y := t.keys[a], t.keys[b]
	return cmp.Or(cmp.Compare(y.capacity, x.capacity), cmp.Compare(x.hash, y.hash), cmp.Compare(a, b))
}

// First returns the first of the roots of all data centres, without the nodes in out, or "".
func (t *Topology) First(out sets.Set[string]) string {
	first := ""
	for dc := range t.order {
		if r := t.RootOf(dc, out); r != "" && (first == "" || t.compare(r, first) < 0) {
			first = r
		}
	}
	return first
}

// RootOf returns the first node of a data centre that is not in out, or "".
func (t *Topology) RootOf(dataCentre string, out sets.Set[string]) string {
	for _, n := range t.order[dataCentre] {
		if !out.Has(n) {
			return n
		}
	}
	return ""
}

// Neighbours returns the nodes that self talks to when the nodes in out are left out. A node whose
// parent is out goes to its nearest ancestor that is not, or to the root, so that only the
// neighbours of a silent node have to notice it; all other links stay.
func (t *Topology) Neighbours(self string, out sets.Set[string]) map[string]Relation {
	rel := make(map[string]Relation)
	if t.mesh {
		for _, n := range t.nodes {
			if n != self && !out.Has(n) {
				rel[n] = Mesh
			}
		}
		return rel
	}
	dc := t.home[self]
	order := t.order[dc]
	root := t.RootOf(dc, out)
	for i, n := range order {
		if n == self || out.Has(n) {
			continue
		}
		if parentIn(order, i, out, root) == self {
			rel[n] = Child
		}
	}
	if self != root {
		if p := parentIn(order, slices.Index(order, self), out, root); p != "" {
			rel[p] = Parent
		}
		return rel
	}
	for other := range t.order {
		if r := t.RootOf(other, out); other != dc && r != "" {
			rel[r] = Root
		}
	}
	return rel
}

// parentIn returns the parent of the node at position i, or "" for the root.
func parentIn(order []string, i int, out sets.Set[string], root string) string {
	if i < 0 || order[i] == root {
		return ""
	}
	for p := i; p > 0; {
		p = (p - 1) / fanOut
		if !out.Has(order[p]) {
			return order[p]
		}
	}
	return root
}
