package queue

import (
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"geraniumhollow/internal/wire/frame"
)

// ModelTotals are the totals of a model.
type ModelTotals struct {
	// Model names the service and the model.
	Model  string
	Totals Totals
}

// Times for which the sums of the nodes below a node and those from upstream are used.
const (
	belowAge    = time.Second
	upstreamAge = 1200 * time.Millisecond
)

// passInterval is the minimum time between two times that sums over all nodes are passed on. They come at most five times a second, but
// would go round without pause while three or more nodes follow each other in a circle.
const passInterval = 50 * time.Millisecond

// maxModels bounds the models in a message that are taken in.
const maxModels = 256

// Tree combines the totals of nodes that are linked in a tree: each node sends the sums of the nodes below it upstream, and the first
// node sends the sums over all back. A node that hears nothing from upstream counts as the first one of those below it. It is safe
// for concurrent use.
type Tree struct {
	mu       sync.Mutex
	below    map[string]received
	upstream received
	// from is the node that sent upstream, and passedAt is when what it sent was last passed on.
	from     string
	passedAt time.Time
}

// received is what another node sent.
type received struct {
	at   time.Time
	list []ModelTotals
}

// NewTree returns a tree that knows no other nodes.
func NewTree() *Tree { return &Tree{below: make(map[string]received)} }

// Below records the sums of the nodes below this one, as one of them sent them.
func (t *Tree) Below(now time.Time, node string, list []ModelTotals) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.below[node] = received{at: now, list: list}
}

// Upstream records the sums over all nodes, as the node upstream sent them, and returns the nodes below to which they are to be passed on
// at once. There are none if the sender is not the node upstream, or less than passInterval after the last time.
func (t *Tree) Upstream(now time.Time, node, upstream string, list []ModelTotals) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if node != upstream {
		return nil
	}
	t.upstream, t.from = received{at: now, list: list}, node
	if now.Sub(t.passedAt) < passInterval {
		return nil
	}
	t.passedAt = now
	return t.children(now, upstream)
}

// children returns the nodes that have sent sums of late, without the node upstream, which may still count as one of them while the tree
// changes.
func (t *Tree) children(now time.Time, upstream string) []string {
	maps.DeleteFunc(t.below, func(node string, r received) bool { return now.Sub(r.at) >= belowAge || node == upstream })
	return slices.Sorted(maps.Keys(t.below))
}

// Messages are what a node sends to others at an interval.
type Messages struct {
	// Up is for the node upstream, Down for the nodes in Children. Down is empty while the node upstream sends sums, which are passed on as
	// they come.
	Up, Down []ModelTotals
	Children []string
	// Fleet holds the totals by which this node acts, as of At.
	Fleet []ModelTotals
	At    time.Time
}

// Exchange returns what this node sends, given its own totals of the models under pressure, the node upstream, "" if there is none, and
// the number of registered nodes.
func (t *Tree) Exchange(now time.Time, own []ModelTotals, upstream string, nodes int) Messages {
	t.mu.Lock()
	defer t.mu.Unlock()
	sums := make(map[string]Totals)
	add := func(list []ModelTotals) {
		for _, m := range list {
			x := sums[m.Model]
			x.Add(m.Totals)
			sums[m.Model] = x
		}
	}
	add(own)
	var out Messages
	out.Children = t.children(now, upstream)
	for _, node := range out.Children {
		add(t.below[node].list)
	}
	for _, model := range slices.Sorted(maps.Keys(sums)) {
		// Sums that exceed the registered nodes contain some twice, which happens while links form a circle.
		if x := sums[model]; x.Nodes <= nodes+spareNodes {
			out.Up = append(out.Up, ModelTotals{Model: model, Totals: x})
		}
	}
	out.Fleet, out.At, out.Down = out.Up, now, out.Up
	if upstream == "" {
		out.Up = nil
	} else if t.from == upstream && now.Sub(t.upstream.at) < upstreamAge {
		out.Fleet, out.At, out.Down = t.upstream.list, t.upstream.at, nil
	}
	return out
}

// spareNodes is the number of nodes that may take part before their registration is known.
const spareNodes = 4

// ToFrame converts totals to their wire format.
func ToFrame(list []ModelTotals) []frame.ModelPressure {
	out := make([]frame.ModelPressure, 0, len(list))
	for _, m := range list {
		t := m.Totals
		p := frame.ModelPressure{
			Model: m.Model, Nodes: t.Nodes, InFlight: int(math.Round(t.InFlight)), Ended: tenths(t.Ended), First: tenths(t.FirstBytes), Late: tenths(t.Lateness),
		}
		for level, d := range t.Demand {
			if d := tenths(d); d > 0 {
				p.Demand = append(p.Demand, make([]int, level-len(p.Demand))...)
				p.Demand = append(p.Demand, d)
			}
		}
		out = append(out, p)
	}
	return out
}

func tenths(x float64) int { return int(math.Round(min(x, maxRate) * 10)) }

// maxRate bounds the rates and counts that are taken from other nodes.
const maxRate = 1e9

// FromFrame converts totals from their wire format. It leaves out those that no node sends.
func FromFrame(list []frame.ModelPressure) []ModelTotals {
	var out []ModelTotals
	for _, p := range list[:min(len(list), maxModels)] {
		if p.Model == "" || p.Nodes <= 0 || len(p.Demand) > Levels {
			continue
		}
		t := Totals{Nodes: p.Nodes, InFlight: bounded(p.InFlight), Ended: bounded(p.Ended) / 10, FirstBytes: bounded(p.First) / 10, Lateness: bounded(p.Late) / 10}
		for i, d := range p.Demand {
			t.Demand[i] = bounded(d) / 10
		}
		out = append(out, ModelTotals{Model: p.Model, Totals: t})
	}
	return out
}

func bounded(n int) float64 { return min(max(float64(n), 0), maxRate) }
