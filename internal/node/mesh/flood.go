package mesh

import (
	"sync"

	"geraniumhollow/internal/wire/frame"
	"github.com/cockroachdb/errors"
	lru "github.com/hashicorp/golang-lru/v2"
)

// maxSeen bounds the messages that a node remembers: a crash of a server makes one on each node, and copies of
// a message arrive within seconds of each other.
const maxSeen = 4096

// Flood spreads messages to nodes that are not all linked to each other: each node passes on what it has not had
// before. Whether a message changed what the node believes is no measure for that: two that contradict each other
// would change it again and again, and go round without end.
//
// It is safe for concurrent use.
type Flood struct {
	self string
	seen *lru.Cache[mark, struct{}]

	mu  sync.Mutex
	seq int
}

// mark names a message.
type mark struct {
	origin string
	seq    int
}

// NewFlood returns the messages of a process, which is named by self.
func NewFlood(self string) (*Flood, error) {
	seen, err := lru.New[mark, struct{}](maxSeen)
	if err != nil {
		return nil, errors.Newf("remember messages: %w", err)
	}
	return &Flood{self: self, seen: seen}, nil
}

// Begin returns a message of this node's own.
func (f *Flood) Begin(list []frame.Suspicion) *frame.SuspectRequest {
	f.mu.Lock()
	f.seq++
	m := &frame.SuspectRequest{Origin: f.self, Seq: f.seq, List: list}
	f.mu.Unlock()
	f.News(m)
	return m
}

// News reports whether a message has not been had before.
func (f *Flood) News(m *frame.SuspectRequest) bool {
	had, _ := f.seen.ContainsOrAdd(mark{origin: m.Origin, seq: m.Seq}, struct{}{})
	return !had
}
