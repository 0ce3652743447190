package claim

import (
	"time"
)

// State is the state of the call of a claim row.
type State string

const (
	// Claimed means that the holder may have sent the call or may still send it.
	Claimed State = "claimed"
	// Done means that the call ran and its answer is stored.
	Done State = "done"
	// Unknown means that the holder sent the call and does not know whether it ran.
	Unknown State = "unknown"
	// Released means that the call certainly did not run and that the holder will never send it. The
	// row is not deleted, because a delayed insert of the same attempt would then create a claim that
	// has no active holder.
	Released State = "released"
)

// Answer is the response of a plain service.
type Answer struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	// Ref is the key of the object that holds a body too large for the row.
	Ref string `json:"ref,omitempty"`
	// Missing is set on read if the object of a large body could not be read.
	Missing bool `json:"-"`
}

// Record is the value of a claim row.
type Record struct {
	// Fingerprint identifies the call that the idempotency key was first used for.
	Fingerprint string `json:"fingerprint"`
	State       State  `json:"state"`
	// Token is unique to the attempt. After a write with an unknown result, a node recognizes its row
	// by the token.
	Token     string `json:"token"`
	Node      string `json:"node"`
	RequestID string `json:"request_id"`
	// ClaimedAt is the wall-clock time of the holder. Readers use it to stop waiting early and, with a
	// margin, to remove old rows.
	ClaimedAt time.Time `json:"claimed_at"`
	TimeoutMs int64     `json:"timeout_ms"`
	Answer    *Answer   `json:"answer,omitempty"`
}

// expired reports whether the holder of a claimed row has passed its timeout and the grace period.
func (r Record) expired(now time.Time) bool {
	return now.Sub(r.ClaimedAt) > time.Duration(r.TimeoutMs)*time.Millisecond+holderGrace
}
