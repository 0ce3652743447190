package duty

import "time"

// Tenure is the time for which a node holds the duty without interruption. Times are readings of the Decider's clock.
type Tenure struct {
	// Fence is the fencing number.
	Fence uint64
	// Began is when this node learned that its claim was stored, which is not before the tenure began.
	Began time.Duration
	// PredecessorEnd is when the tenure before this one has surely ended.
	PredecessorEnd time.Duration
	// End is when the tenure ends unless it is renewed.
	End time.Duration
}

// Tenure returns the current tenure of this node, and whether it holds the duty.
func (d *Decider) Tenure(now time.Duration) (Tenure, bool) {
	fence, holds := d.Holds(now)
	return Tenure{Fence: fence, Began: d.fenceSeenAt, PredecessorEnd: d.predecessorEnd, End: d.tenureEnd}, holds
}
