package duty

import "time"

// Margins of calls to a system that sees the changes of the holder.
const (
	// takeoverMargin is added to the lease before the first call of a tenure, for the time that calls take.
	takeoverMargin = 500 * time.Millisecond
	// lastCallMargin is how long before the end of the tenure the last call begins.
	lastCallMargin = 300 * time.Millisecond
)

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

// FirstCall returns when the first call of the tenure may begin to a system in which the holder must not change and change back within
// a lease. The previous holder made its last call longer than the lease before.
func (t Tenure) FirstCall(lease time.Duration) time.Duration {
	return max(t.Began, t.PredecessorEnd) + lease + takeoverMargin
}

// LastCall returns when the last call may begin unless the tenure is renewed.
func (t Tenure) LastCall() time.Duration { return t.End - lastCallMargin }

// MayCall reports whether a call may begin now: neither before FirstCall nor so late that the tenure may end on the way.
func (t Tenure) MayCall(now, lease time.Duration) bool {
	return now >= t.FirstCall(lease) && now < t.LastCall()
}

// Follows reports whether the tenure follows one of the same node that lasted until end, without a tenure of another node between them
// that was long enough for a call.
func (t Tenure) Follows(end, lease time.Duration) bool { return t.Began-end < lease+takeoverMargin }
