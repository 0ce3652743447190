package mesh

import (
	"sync"

	"geraniumhollow/internal/wire/frame"
	"github.com/cockroachdb/errors"
	lru "github.com/hashicorp/golang-lru/v2"
)

// maxSeenMessages limits the message IDs that a node remembers. A server crash causes one message per node, and the copies of
// a message arrive within seconds of each other.
const maxSeenMessages = 4096

// Flood deduplicates messages that are flooded through nodes that are not all linked to each other. Each node forwards a
// message only when it receives it for the first time. Forwarding each message that changes the state of the node would not
// end: two contradicting messages would change the state again and again, and circulate forever.
//
// It is safe for concurrent use.
type Flood struct {
	self string
	seen *lru.Cache[messageID, struct{}]

	mu  sync.Mutex
	seq int
}

// messageID identifies a message.
type messageID struct {
	origin string
	seq    int
}

// NewFlood returns a Flood for the process that is identified by self.
func NewFlood(self string) (*Flood, error) {
	seen, err := lru.New[messageID, struct{}](maxSeenMessages)
	if err != nil {
		return nil, errors.Newf("create cache of seen messages: %w", err)
	}
	return &Flood{self: self, seen: seen}, nil
}

// NewMessage returns a new message of this node and marks it as seen.
func (f *Flood) NewMessage(list []frame.Suspicion) *frame.SuspectRequest {
	return f.Number(frame.SuspectRequest{List: list})
}

// Number returns a message as a new one of this node and marks it as seen.
func (f *Flood) Number(m frame.SuspectRequest) *frame.SuspectRequest {
	f.mu.Lock()
	f.seq++
	m.Origin, m.Seq = f.self, f.seq
	f.mu.Unlock()
	f.MarkSeen(&m)
	return &m
}

// MarkSeen marks a message as seen, and reports whether it is seen for the first time.
func (f *Flood) MarkSeen(m *frame.SuspectRequest) bool {
	known, _ := f.seen.ContainsOrAdd(messageID{origin: m.Origin, seq: m.Seq}, struct{}{})
	return !known
}
