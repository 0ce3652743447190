// Package reason keeps the recent decisions of a node with their reasons, so that an operator can ask
// why a request, a group or a host was treated as it was. It holds no caller text and no keys.
package reason

import (
	"slices"
	"sync"
	"time"

	"geraniumhollow/internal/core/ring"
)

// Kind is the sort of a decision.
type Kind string

// Kinds of decisions.
const (
	Admission     Kind = "admission"
	Choice        Kind = "choice"
	Grant         Kind = "grant"
	Retry         Kind = "retry"
	Refusal       Kind = "refusal"
	Claim         Kind = "claim"
	Crash         Kind = "crash"
	Route         Kind = "route"
	Drain         Kind = "drain"
	Placement     Kind = "placement"
	Load          Kind = "load"
	Duty          Kind = "duty"
	Peer          Kind = "peer"
	Configuration Kind = "configuration"
)

// Kinds returns every kind, for the choice that a form offers.
func Kinds() []Kind {
	return []Kind{
		Admission, Choice, Claim, Configuration, Crash, Drain, Duty, Grant, Load, Peer, Placement, Refusal, Retry, Route,
	}
}

// Text is a decision or a reason. Its values are constants of the deciding package, never text from
// outside.
type Text string

// maxDetails bounds the details of one decision, so that an entry has a fixed size.
const maxDetails = 4

// Entry is one decision.
type Entry struct {
	At   time.Time `json:"at"`
	Kind Kind      `json:"kind"`
	// Subject is a request id, or the name of a group, a host, a backend server or a node.
	Subject  string   `json:"subject"`
	Decision Text     `json:"decision"`
	Reason   Text     `json:"reason"`
	Details  []Detail `json:"details,omitempty"`
}

// Ring keeps the newest decisions up to its capacity. It is safe for concurrent use.
type Ring struct {
	now func() time.Time

	mu      sync.Mutex
	entries *ring.Ring[record]
}

// record is the stored form of an entry; the array spares an allocation on each write.
type record struct {
	entry   Entry
	details [maxDetails]Detail
	n       int
}

// New returns a ring of at most capacity decisions, which must be positive.
func New(capacity int, now func() time.Time) *Ring {
	return &Ring{now: now, entries: ring.New[record](capacity)}
}

// Add notes a decision. Details beyond the fourth are dropped. A subject that is no name is replaced,
// because it could be caller text or a key.
func (r *Ring) Add(kind Kind, subject string, decision, why Text, details ...Detail) {
	rec := record{entry: Entry{
		At: r.now(), Kind: kind, Subject: name(subject), Decision: decision, Reason: why,
	}}
	rec.n = copy(rec.details[:], details)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.entries.Push(rec)
}

// Query selects decisions. Empty fields select everything.
type Query struct {
	Subject string
	Kind    Kind
	// Limit bounds the number of decisions; 0 is no bound.
	Limit int
}

func (q Query) matches(e Entry) bool {
	return (q.Subject == "" || q.Subject == e.Subject) && (q.Kind == "" || q.Kind == e.Kind)
}

// Search returns the matching decisions, newest first.
func (r *Ring) Search(q Query) []Entry {
	r.mu.Lock()
	records := r.entries.Values()
	r.mu.Unlock()
	out := []Entry{}
	for _, rec := range slices.Backward(records) {
		if !q.matches(rec.entry) {
			continue
		}
		e := rec.entry
		e.Details = slices.Clone(rec.details[:rec.n])
		out = append(out, e)
		if len(out) == q.Limit {
			break
		}
	}
	return out
}
