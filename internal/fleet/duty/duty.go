// Package duty elects one node at a time to hold a duty, through a row of the platform's store. Unlike the duties
// of package lease, which depend on a lease of the node, such a duty is renewed on its own and fails over faster.
//
// The holder renews the row and sends heartbeats to the nodes that it has links to. Another node claims the
// duty when it has seen the row unchanged for Lifetime, when a holder that it heard directly has been silent
// for HeartbeatTimeout, when the holder reports that its renewals fail, or when the holder's node runs another
// process. A holder whose renewals fail stops before Lifetime ends. Two nodes can act at the same time for up to
// HoldTime, and a process can be paused between its check and its action: every write made under the duty must be
// guarded by the fencing number of the tenure.
//
// A tenure belongs to the era of the store in which it began. When the store comes back from an older copy, the row may
// name an earlier holder, or the same one with numbers that are given out again. A row whose fencing number is of an
// earlier era than the row therefore has no holder: the last holder that is known claims the duty again, and others do
// so when they have had no sign of it for the usual time.
package duty

import (
	"encoding/json"
	"time"

	"geraniumhollow/internal/plat/table"
	"github.com/cockroachdb/errors"
	"github.com/zeebo/xxh3"
)

// Timeouts and intervals.
const (
	// Lifetime is how long a row must be unchanged before another node claims the duty.
	Lifetime = 1800 * time.Millisecond
	// RenewInterval is the time between renewals by the holder.
	RenewInterval = 600 * time.Millisecond
	// ReadInterval is the time between reads of the row by a standby node.
	ReadInterval = 600 * time.Millisecond
	// HeartbeatInterval is the time between heartbeats of the holder to other nodes. A holder that was heard directly and
	// is then silent for HeartbeatTimeout counts as failed.
	HeartbeatInterval = 250 * time.Millisecond
	HeartbeatTimeout  = 900 * time.Millisecond
	// heardReadInterval is the time between reads by a node that hears the holder. Heartbeats carry the same
	// information as the row, so the read only covers unforeseen faults in messages between nodes.
	heardReadInterval = 15 * time.Second
	// NonStandbyDelay is the minimum time without a heartbeat after which a node that is not a standby may
	// claim the duty. It is many times what the standby nodes need for that.
	NonStandbyDelay = 6 * time.Second
	// reclaimTime is how long the last holder has to claim the duty again when the store went back to an older copy.
	reclaimTime = time.Second
	// HoldTime is how long a holder may act after it sent the last renewal that was stored. It is shorter than
	// Lifetime to allow for clocks that run at different rates.
	HoldTime = Lifetime - 300*time.Millisecond
)

// Row is the stored form of the duty.
type Row struct {
	Holder string `json:"holder"`
	// Fence is the fencing number. It grows with each tenure, also when the store goes back to an older copy: see FirstOfEra.
	Fence uint64 `json:"fence"`
	// RenewalSeq changes with each renewal.
	RenewalSeq uint64 `json:"beat"`
}

// HolderReport is what a node reports about the holder of the duty.
type HolderReport struct {
	Fence  uint64
	Holder string
	// Failing reports that the store does not accept the holder's renewals.
	Failing bool
	// Isolated reports that the holder reaches no backend server.
	Isolated bool
	// Relayed reports that the message was passed on by a node other than the holder.
	Relayed bool
}

// Op is a store call requested by the Decider. Only one may be in progress at a time.
type Op struct {
	// Read requests a read of the row. Otherwise Txn is to be committed.
	Read   bool
	Txn    table.Txn
	row    Row
	sentAt time.Duration
}

// Decider is the state machine of one node for the duty. It does no I/O: the caller makes the calls returned
// by Next and passes the results to ReadDone or CommitDone. Times are readings of a clock that continues
// while the host is suspended. It is not safe for concurrent use.
type Decider struct {
	node string
	key  string

	row      Row
	revision table.Revision
	// rowKnown is cleared when the stored row may differ from row. It is then read before the next write.
	// rowChangedAt is when this revision of the row was first observed.
	rowKnown     bool
	rowChangedAt time.Duration
	// fenceSeenAt is when this tenure was first observed.
	fenceSeenAt time.Duration
	// tenureEnd is when this node's tenure ends by the local clock, or 0. predecessorEnd is when the tenure before the last one of
	// this node has surely ended.
	tenureEnd      time.Duration
	predecessorEnd time.Duration
	nextCallAt     time.Duration
	callInProgress bool
	yielding       bool
	// heardAt is when the holder of tenure heardFence was last heard.
	heardAt    time.Duration
	heardFence uint64
	// directFence is the last tenure whose holder was heard over a direct link. Only for that tenure does
	// silence mean that the holder failed: if heartbeats were relayed, the relaying node may have failed
	// instead.
	directFence uint64
	// hasOtherPeers reports that the node has links to nodes other than the holder, so a silent holder is not
	// caused by this node's own network.
	hasOtherPeers bool
	// renewalFailing reports that the store does not accept renewals of this node's tenure. offeredFence is
	// the tenure of another node that reported this.
	renewalFailing bool
	offeredFence   uint64
	// isolatedFence is the tenure whose holder reaches no backend server, reported since isolatedSince, or 0.
	isolatedFence uint64
	isolatedSince time.Duration
	// suspended is set while this node cannot act under the duty.
	suspended bool
	// replacedHolder is a holder whose node now runs another process.
	replacedHolder string
	// lastReadAt is when the row was read last.
	lastReadAt time.Duration
	// failedClaims counts consecutive claims for which the store was unavailable.
	failedClaims int
	// claimDelay is how long a node that is not a standby waits after the last heartbeat before it claims the
	// duty; 0 for a standby. leftStandbyAt is when it ceased to be a standby.
	claimDelay    time.Duration
	leftStandbyAt time.Duration
	// reportedHolder is the holder of tenure reportedFence according to other nodes.
	reportedHolder string
	reportedFence  uint64
	// highestFence is the highest fencing number known, and ownFence that of this node's last tenure. planFence is the number
	// of the tenure that wrote the state guarded by the duty.
	highestFence uint64
	ownFence     uint64
	planFence    uint64
}

// New returns a Decider for a node and the key of the duty's row. The node is a standby. Its name must differ
// between processes, so that a restarted node does not count as the holder.
func New(node, key string) *Decider { return &Decider{node: node, key: key} }

// SetStandby sets whether the node is a standby, which claims the duty as soon as it is free. There should be
// few, because each of them polls the row. Any other node claims the duty only after one to two times
// NonStandbyDelay without a heartbeat. The exact time depends on its name, so that they do not claim all at once.
func (d *Decider) SetStandby(now time.Duration, standby bool) {
	switch {
	case standby && d.claimDelay > 0:
		d.claimDelay, d.nextCallAt = 0, min(d.nextCallAt, now)
	case !standby && d.claimDelay == 0:
		d.claimDelay, d.leftStandbyAt = NonStandbyDelay+time.Duration(xxh3.HashString(d.node)%uint64(NonStandbyDelay)), now
	}
}

// HolderReported records the holder of a tenure as reported by another node.
func (d *Decider) HolderReported(fence uint64, holder string) {
	d.highestFence = max(d.highestFence, fence)
	if fence >= d.reportedFence {
		d.reportedHolder, d.reportedFence = holder, fence
	}
}

// Holds returns the fencing number of the last known row and reports whether this node holds the duty.
func (d *Decider) Holds(now time.Duration) (uint64, bool) {
	return d.row.Fence, d.tenureEnd > now && d.row.Holder == d.node
}

// PredecessorEnd returns when the tenure before the last one of this node has surely ended.
func (d *Decider) PredecessorEnd() time.Duration { return d.predecessorEnd }

// Holder returns the holder according to the last read or to other nodes, whichever is newer.
func (d *Decider) Holder() string {
	if d.reportedFence > d.row.Fence {
		return d.reportedHolder
	}
	return d.row.Holder
}

// HeartbeatReceived records a heartbeat received from the holder over a direct link.
func (d *Decider) HeartbeatReceived(now time.Duration, fence uint64) {
	d.RelayedHeartbeatReceived(now, fence)
	d.directFence = max(d.directFence, fence)
}

// RelayedHeartbeatReceived records a heartbeat of the holder that another node has passed on.
func (d *Decider) RelayedHeartbeatReceived(now time.Duration, fence uint64) {
	d.highestFence = max(d.highestFence, fence)
	if fence < d.row.Fence {
		return
	}
	if fence > d.row.Fence {
		d.rowKnown = false // The duty has moved; the next read shows the new holder.
		d.nextCallAt = min(d.nextCallAt, now)
	}
	d.heardAt, d.heardFence = now, fence
}

// HolderFailing records that the store does not accept a holder's renewals: a node that can reach the store should
// claim the duty.
func (d *Decider) HolderFailing(now time.Duration, fence uint64) {
	d.HeartbeatReceived(now, fence)
	if d.offeredFence != fence && fence >= d.row.Fence {
		d.offeredFence, d.nextCallAt = fence, min(d.nextCallAt, now)
	}
}

// HolderIsolated records whether a holder reaches no backend server. It reports whether that has been so for longer than the
// standbys need to claim the duty: they reach none either, so that any other node should claim it. The time depends on the
// node's name, so that not all claim at once.
func (d *Decider) HolderIsolated(now time.Duration, fence uint64, isolated bool) bool {
	switch {
	case fence < d.isolatedFence:
		return false
	case !isolated:
		d.isolatedFence = 0
		return false
	case fence > d.isolatedFence:
		d.isolatedFence, d.isolatedSince = fence, now
	}
	wait := standbyClaimTime + time.Duration(xxh3.HashString(d.node)%uint64(standbyClaimTime))
	return now-d.isolatedSince >= wait
}

// standbyClaimTime is more than the standbys need to claim the duty from a holder that cannot act.
const standbyClaimTime = time.Second

// SetSuspended sets whether this node cannot act under the duty. It then neither claims nor renews it.
func (d *Decider) SetSuspended(now time.Duration, suspended bool) {
	if d.suspended && !suspended {
		d.nextCallAt = min(d.nextCallAt, now)
	}
	d.suspended = suspended
}

// NewerPlan records that the state guarded by the duty was written in a later tenure than that of the last known row. The
// row is then an older one that was written late, and this node claims the duty again if the row names it.
func (d *Decider) NewerPlan(fence uint64) {
	d.planFence, d.highestFence = max(d.planFence, fence), max(d.highestFence, fence)
	if d.row.Fence < d.planFence {
		d.tenureEnd, d.nextCallAt = 0, 0
	}
}

// RenewalFailing reports whether the last renewal of this node's tenure failed because the store was unavailable.
func (d *Decider) RenewalFailing() bool { return d.renewalFailing }

// SetHasOtherPeers sets whether the node has links to nodes other than the holder.
func (d *Decider) SetHasOtherPeers(linked bool) { d.hasOtherPeers = linked }

// HolderReplaced records that a holder's node now runs another process.
func (d *Decider) HolderReplaced(now time.Duration, holder string) {
	if holder != d.node && holder != d.replacedHolder {
		d.replacedHolder = holder
		d.nextCallAt = min(d.nextCallAt, now)
	}
}

// claimable reports whether a node may claim the duty from the holder in the last known row.
func (d *Decider) claimable(now time.Duration) bool {
	if d.rowOutdated() {
		return d.restoredClaimable(now)
	}
	if d.row.Holder == "" || d.row.Holder == d.replacedHolder || d.row.Holder != d.node && d.offeredFence == d.row.Fence {
		return true
	}
	silent := d.hasOtherPeers && d.directFence == d.row.Fence && d.heardFence == d.directFence && now-d.heardAt >= HeartbeatTimeout
	lastSign := d.rowChangedAt
	if d.heardFence == d.row.Fence {
		lastSign = max(lastSign, d.heardAt)
	}
	return silent || now-lastSign >= Lifetime
}

// rowOutdated reports whether the last known row is of an earlier tenure than the latest one: it was restored with the
// store, or written late.
func (d *Decider) rowOutdated() bool {
	return d.row.Fence < FirstOfEra(d.revision.Era) || d.row.Fence < d.planFence && d.row.Holder == d.node
}

// restoredClaimable reports whether a node may claim the duty if the last known row does not tell the holder. Reports that
// the holder's renewals fail are from before the restoration.
func (d *Decider) restoredClaimable(now time.Duration) bool {
	if d.wasLastHolder() || d.row.Fence < d.planFence && d.row.Holder == d.node {
		return true
	}
	if holder := d.Holder(); holder != "" && holder == d.replacedHolder {
		return true
	}
	if now-d.rowChangedAt < reclaimTime {
		return false
	}
	silent := d.hasOtherPeers && d.heardFence > 0 && d.directFence == d.heardFence && now-d.heardAt >= HeartbeatTimeout
	return silent || now-max(d.rowChangedAt, d.heardAt) >= Lifetime
}

// wasLastHolder reports whether no later tenure than the last one of this node is known.
func (d *Decider) wasLastHolder() bool { return d.ownFence > 0 && d.ownFence == d.highestFence }

// holderHeard reports whether the holder was heard within HeartbeatTimeout.
func (d *Decider) holderHeard(now time.Duration) bool {
	return d.heardFence == d.row.Fence && d.heardFence > 0 && now-d.heardAt < HeartbeatTimeout
}

// canSkipRead reports whether a read of the row is unnecessary because the holder was heard and the row read
// recently.
func (d *Decider) canSkipRead(now time.Duration) bool {
	return d.rowKnown && d.holderHeard(now) && !d.claimable(now) && now < d.lastReadAt+heardReadInterval
}

// idleUntil returns the time before which a node that does not hold the duty has no need to call the store.
func (d *Decider) idleUntil(now time.Duration) time.Duration {
	switch {
	case d.offeredFence > 0 && d.offeredFence >= d.row.Fence:
		return now
	case d.claimDelay > 0:
		return max(d.heardAt, d.leftStandbyAt) + d.claimDelay
	case d.canSkipRead(now):
		return min(d.heardAt+HeartbeatTimeout, d.lastReadAt+heardReadInterval)
	default:
		return now
	}
}

// ReleaseDuty releases the duty with the next write. The node does not claim it again.
func (d *Decider) ReleaseDuty() { d.yielding, d.nextCallAt = true, 0 }

// Next returns the call to make now, if any.
func (d *Decider) Next(now time.Duration) (Op, bool) {
	if d.callInProgress || now < d.nextCallAt || d.suspended {
		return Op{}, false
	}
	_, holds := d.Holds(now)
	if until := d.idleUntil(now); !holds && until > now {
		d.nextCallAt = until
		return Op{}, false
	}
	d.callInProgress = true
	if !d.rowKnown {
		return Op{Read: true, sentAt: now}, true
	}
	switch {
	case holds && d.yielding:
		return d.commitOp(now, Row{Fence: d.row.Fence, RenewalSeq: d.row.RenewalSeq + 1})
	case holds:
		return d.commitOp(now, Row{Holder: d.node, Fence: d.row.Fence, RenewalSeq: d.row.RenewalSeq + 1})
	case !d.yielding && d.claimable(now):
		return d.commitOp(now, Row{Holder: d.node, Fence: d.nextFence(), RenewalSeq: d.row.RenewalSeq + 1})
	default:
		return Op{Read: true, sentAt: now}, true
	}
}

// nextFence returns the fencing number of a new tenure. An outdated row may have replaced that of another tenure of the era.
// Each tenure takes a transaction, so that the number of the row's revision is above those that the era has assigned.
func (d *Decider) nextFence() uint64 {
	highest := max(d.row.Fence, d.highestFence)
	if d.rowOutdated() {
		highest = max(highest, FirstOfEra(d.revision.Era)+d.revision.Number)
	}
	return highest + 1
}

func (d *Decider) commitOp(now time.Duration, r Row) (Op, bool) {
	b, err := json.Marshal(r)
	if err != nil {
		// Encoding a struct of strings and integers cannot fail.
		panic(errors.Newf("encode duty row: %w", err))
	}
	old := table.Row{Key: d.key, Revision: d.revision}
	return Op{Txn: table.Replace(old, b), row: r, sentAt: now}, true
}

// ReadDone processes the result of a read. A missing row has revision table.Absent.
func (d *Decider) ReadDone(now time.Duration, row table.Row, err error) {
	d.callInProgress = false
	d.nextCallAt = now + ReadInterval
	if d.claimDelay > 0 {
		// The second read shows whether the holder renews the row.
		d.nextCallAt = now + Lifetime + ReadInterval
	}
	d.failedClaims = 0
	if err != nil && !errors.Is(err, table.ErrNotFound) {
		return
	}
	r := Row{}
	if err == nil {
		if jerr := json.Unmarshal(row.Value, &r); jerr != nil {
			// An undecodable row names no holder; claiming the duty overwrites it.
			r = Row{}
		}
	}
	if !d.rowKnown || row.Revision != d.revision {
		d.rowChangedAt = now
	}
	if d.lastReadAt == 0 || r.Fence != d.row.Fence {
		// If the row names this node, its claim had an unknown outcome.
		d.fenceSeenAt, d.predecessorEnd = now, now+HoldTime
	}
	d.lastReadAt = now
	d.rowKnown, d.row, d.revision = true, r, row.Revision
	if d.rowOutdated() {
		d.tenureEnd = 0
	}
	if d.claimable(now) {
		d.nextCallAt = now
	}
}

// CommitDone processes the result of a commit.
func (d *Decider) CommitDone(now time.Duration, op Op, revision table.Revision, err error) {
	d.callInProgress = false
	switch {
	case err == nil:
		d.failedClaims = 0
		if op.row.Fence != d.row.Fence {
			d.predecessorEnd, d.fenceSeenAt = d.lastTenureEnd(now), now
		}
		d.row, d.revision, d.rowChangedAt = op.row, revision, now
		d.nextCallAt = now + RenewInterval
		d.tenureEnd, d.renewalFailing = 0, false
		d.highestFence = max(d.highestFence, op.row.Fence)
		if op.row.Holder != d.node {
			return
		}
		d.ownFence = op.row.Fence
		if d.rowOutdated() {
			// A missing row does not tell the era. The tenure begins with a number of the era.
			d.nextCallAt = now
			return
		}
		d.tenureEnd = op.sentAt + HoldTime
	case errors.Is(err, table.ErrUnavailable) && op.row.Fence == d.row.Fence:
		d.renewalFailing = true
		d.nextCallAt = now + renewRetryDelay
	case errors.Is(err, table.ErrUnavailable):
		// During an outage of the store every standby node tries to claim the duty, and any of them may
		// succeed, so the attempts back off. Those of the last holder do not: it knows the state guarded by the duty, which
		// the store may have lost.
		d.nextCallAt = now + max(ReadInterval<<min(d.failedClaims, maxClaimBackoffDoublings), d.claimDelay)
		if d.wasLastHolder() {
			d.nextCallAt = now + ReadInterval
		}
		d.failedClaims++
	default:
		// Another node claimed the duty first, or the outcome is unknown: read the row.
		d.rowKnown, d.renewalFailing = false, false
		d.nextCallAt = now
	}
}

// lastTenureEnd returns when the tenure of the known row has surely ended, if that row has just been replaced: its holder has not
// renewed it since it was first observed. The tenure before it ended within HoldTime of its beginning.
func (d *Decider) lastTenureEnd(now time.Duration) time.Duration {
	end := d.fenceSeenAt + HoldTime
	switch d.row.Holder {
	case "", d.node, d.replacedHolder:
		return max(end, now)
	default:
		return max(end, d.rowChangedAt+HoldTime)
	}
}

// maxClaimBackoffDoublings bounds the exponential backoff between claims.
const maxClaimBackoffDoublings = 2

// renewRetryDelay is the delay before a renewal is retried when the store is unavailable.
const renewRetryDelay = 200 * time.Millisecond
