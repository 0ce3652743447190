// Package quota splits fleet-wide limits into parts that each node enforces locally, without communication. The
// parts of nodes that know the same nodes never add up to more than the limit, even while the nodes are
// partitioned.
package quota

import (
	"sync"
	"time"

	"github.com/zeebo/xxh3"
)

// Split computes the parts of one node. It is safe for concurrent use.
type Split struct {
	self       string
	nodes      []string
	spareParts int

	mu    sync.Mutex
	ranks map[string]int
}

// maxRanks is the maximum number of keys whose ranks are cached.
const maxRanks = 4096

// New returns the split of a node that knows the given nodes, including itself. spare is the number of parts
// reserved for nodes that it does not know yet.
func New(self string, nodes []string, spare int) *Split {
	return &Split{self: self, nodes: nodes, spareParts: spare, ranks: make(map[string]int)}
}

// Parts returns the number of parts that limits are split into.
func (s *Split) Parts() int { return max(1, len(s.nodes)) + s.spareParts }

// WholePart returns this node's part of a limit that counts whole units. The remainder of the division goes to the
// nodes that rank first for the key, so that a limit below the number of nodes is still usable on some of them.
func (s *Split) WholePart(limit int, key string) int {
	if limit <= 0 {
		return 0
	}
	part, remainder := limit/s.Parts(), limit%s.Parts()
	if s.rank(key) < remainder {
		part++
	}
	return part
}

// Parameters of fleet-wide rates.
const (
	// JoinDelay is how long a node that has joined has no part of a rate. During this time the other nodes
	// learn of it.
	JoinDelay = 3 * time.Second
	// rateFraction is the fraction of a rate that is distributed. The rest covers nodes that are partitioned
	// and split by an older node list.
	rateFraction = 0.85
)

// State is the membership state of a node.
type State struct {
	// JoinedFor is how long the other nodes have been able to discover the node, or 0 if they cannot.
	JoinedFor time.Duration
	// Leaving is set once the other nodes no longer count the node.
	Leaving bool
}

// Rate returns this node's part of a fleet-wide rate limit, in the same unit of time. It is 0 for nodes that
// are leaving or joined less than JoinDelay ago.
func (s *Split) Rate(limit float64, key string, state State) int {
	if state.Leaving || state.JoinedFor < JoinDelay {
		return 0
	}
	return s.WholePart(int(limit*rateFraction), key)
}

// FractionalPart returns this node's part of a limit that need not be a whole number.
func (s *Split) FractionalPart(limit float64) float64 { return limit / float64(s.Parts()) }

// Position returns how many nodes come before this one for a key, and the number of nodes.
func (s *Split) Position(key string) (int, int) { return s.rank(key), max(1, len(s.nodes)) }

// rank returns how many nodes come before this one for a key, by rendezvous hashing.
func (s *Split) rank(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r, ok := s.ranks[key]; ok {
		return r
	}
	selfWeight, r := weight(s.self, key), 0
	for _, n := range s.nodes {
		if w := weight(n, key); w > selfWeight || w == selfWeight && n < s.self {
			r++
		}
	}
	if len(s.ranks) >= maxRanks {
		clear(s.ranks)
	}
	s.ranks[key] = r
	return r
}

func weight(node, key string) uint64 { return xxh3.HashString(node + "\x00" + key) }
