package claim

import (
	"time"
)

// State is what a claim row says of its call.
type State string

const (
	// Claimed means that the holder may be about to send the call, or may have sent it.
	Claimed State = "claimed"
	// Done means that the call ran and its answer is kept.
	Done State = "done"
	// Unknown means that the holder sent the call and does not know whether it ran.
	Unknown State = "unknown"
	// Released means that the holder has proof that the call did not run, and will never send it.
	// The row stays instead of being deleted: an insert of the same attempt that takes effect late
	// would otherwise put back a claim that nobody works on.
	Released State = "released"
)

// Answer is the answer of a plain service.
type Answer struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	// Ref is the object that holds a body that is too large for the row.
	Ref string `json:"ref,omitempty"`
	// Missing is set on reading when the object of a large body could not be read.
	Missing bool `json:"-"`
}

// Record is the value of a claim row.
type Record struct {
	// Fingerprint identifies the call that the key was first used for.
	Fingerprint string `json:"fingerprint"`
	State       State  `json:"state"`
	// Token is unique to the attempt; a node that lost the answer of a write knows its row by it.
	Token     string `json:"token"`
	Node      string `json:"node"`
	RequestID string `json:"request_id"`
	// ClaimedAt is wall-clock time of the holder. Readers use it only to stop waiting early.
	ClaimedAt time.Time `json:"claimed_at"`
	TimeoutMs int64     `json:"timeout_ms"`
	Answer    *Answer   `json:"answer,omitempty"`
}

// expired reports whether the holder of a claimed row can no longer be working on it in time.
func (r Record) expired(now time.Time) bool {
	return now.Sub(r.ClaimedAt) > time.Duration(r.TimeoutMs)*time.Millisecond+holderGrace
}
