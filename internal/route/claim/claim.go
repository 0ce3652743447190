// Package claim runs non-idempotent calls at most once. Before a call is sent, a claim row is written
// to the table.
//
// Decider implements the protocol as a state machine: it takes the result of the last action and the
// current time, and returns the next action. Store performs its reads and writes.
package claim

import (
	"time"

	"geraniumhollow/internal/core/fault"
	"geraniumhollow/internal/plat/table"
)

// Timeouts and delays of the protocol.
const (
	// claimTimeout limits the time to write a claim. A caller that receives not_run early can retry,
	// whereas waiting for a slow table uses up the time for the call itself.
	claimTimeout = 3 * time.Second
	// claimCallTimeout limits one table call while the caller is waiting.
	claimCallTimeout = time.Second
	// postReplyCallTimeout limits one table call after the reply to the caller. It is longer, so that the
	// final state can also be written to a table that is slow but not down.
	postReplyCallTimeout = 10 * time.Second
	// postReplyTimeout limits all work after the reply to the caller.
	postReplyTimeout = 60 * time.Second
	// holderGrace is the time allowed to the holder of a claim, after the timeout of its call, to write the
	// final state.
	holderGrace = 10 * time.Second
	// The backoff between table calls doubles from initialBackoff to maxBackoff, so that a repeated
	// request that waits for another attempt makes about one table read per second.
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = time.Second
	// retryAfter is the delay after which a caller may retry.
	retryAfter = time.Second
)

// Call is the call to run.
type Call struct {
	// Fingerprint identifies the call. An idempotency key is valid for one fingerprint only.
	Fingerprint string
	// Token is unique to this attempt.
	Token     string
	Node      string
	RequestID string
	Timeout   time.Duration
}

// phase is the purpose of the last action.
type phase int

const (
	claiming      phase = iota // write of this attempt's claim
	resolving                  // read after a claim write that conflicted or whose result is unknown
	awaitingOther              // read of the claim of another attempt until that attempt ends
	sending
	replying   // reply to the caller, followed by phaseAfterReply
	finishing  // write of the final state over this attempt's claim
	fencing    // write that prevents an uncertain claim write from taking effect
	fenceCheck // read after the fencing write conflicted
	stopped
)

// Decider runs one attempt of one call. It is not safe for concurrent use.
type Decider struct {
	call              Call
	phase             phase
	deadline          time.Time
	claimDeadline     time.Time
	postReplyDeadline time.Time
	backoff           time.Duration

	claimedAt time.Time
	// baseRevision is the revision of the row that the claim write requires.
	baseRevision table.Revision
	// uncertain is set while a claim write on baseRevision may still take effect.
	uncertain bool
	// contended is set if, according to the latest result, another attempt may hold the row.
	contended bool
	// final is the record to write over this attempt's claim, which has the revision ownRevision.
	final           Record
	ownRevision     table.Revision
	phaseAfterReply phase
}

// New returns a Decider for a call.
func New(c Call) *Decider { return &Decider{call: c} }

// Start returns the first action.
func (d *Decider) Start(now time.Time) Action {
	d.deadline = now.Add(d.call.Timeout)
	d.claimedAt = now
	return d.beginClaim(now, table.Absent)
}

// Next takes the result of the last action and returns the next action.
func (d *Decider) Next(now time.Time, ev Event) Action {
	switch e := ev.(type) {
	case WriteEnded:
		return d.handleWrite(now, e)
	case ReadEnded:
		return d.handleRead(now, e)
	case CallEnded:
		return d.handleCall(e)
	case Replied:
		return d.handleReplied(now)
	case Elapsed:
		return d.phaseAction()
	case Cancelled:
		return d.handleCancel(now)
	default:
		return d.stop()
	}
}

// beginClaim starts to write this attempt's claim over revision base of the row.
func (d *Decider) beginClaim(now time.Time, base table.Revision) Action {
	d.baseRevision = base
	d.uncertain, d.contended = false, false
	d.claimDeadline = earliest(d.deadline, now.Add(claimTimeout))
	d.backoff = initialBackoff
	return d.writeClaim()
}

func (d *Decider) writeClaim() Action {
	d.phase = claiming
	return Write{Base: d.baseRevision, Record: d.record(Claimed), Timeout: claimCallTimeout}
}

func (d *Decider) handleWrite(now time.Time, e WriteEnded) Action {
	switch d.phase {
	case claiming:
		return d.handleClaimWrite(now, e)
	case finishing:
		// Only the holder overwrites a claimed row, so a conflict means that an earlier attempt of the
		// same write took effect.
		if e.Result == Written || e.Result == Conflict {
			return d.stop()
		}
		return d.retryAfterReply(now)
	case fencing:
		return d.handleFenceWrite(now, e)
	default:
		return d.stop()
	}
}

func (d *Decider) handleClaimWrite(now time.Time, e WriteEnded) Action {
	switch e.Result {
	case Written:
		return d.claimConfirmed(now, e.Revision, e.Unsettled)
	case Conflict:
		d.contended = true
		return d.resolve(now)
	case Unavailable:
		if d.uncertain {
			return d.resolve(now)
		}
		return d.refuse()
	case Uncertain:
		d.uncertain = true
		return d.resolve(now)
	default:
		return d.refuse()
	}
}

// resolve reads the row to learn the result of the claim write, unless the claim deadline has passed.
func (d *Decider) resolve(now time.Time) Action {
	d.phase = resolving
	if !now.Before(d.claimDeadline) {
		return d.refuse()
	}
	return Read{Timeout: claimCallTimeout}
}

// refuse replies without a claim. This attempt has not sent the call, so it has not run; but if
// another attempt may hold the row, that attempt may have run.
func (d *Decider) refuse() Action {
	after := stopped
	if d.uncertain {
		after = fencing
	}
	if d.contended {
		return d.reply(Reply{Fault: fault.New(fault.StoreUnavailable, fault.Unknown,
			"another attempt with this idempotency key may have run").WithRetryAfter(retryAfter)}, after)
	}
	return d.reply(Reply{Fault: fault.New(fault.StoreUnavailable, fault.NotRun,
		"the claim of the request could not be written").WithRetryAfter(retryAfter)}, after)
}

// claimConfirmed sends the call. This attempt's claim is in the table at revision rev. In an unsettled table, it may have
// taken the place of a lost claim under which the call has run.
func (d *Decider) claimConfirmed(now time.Time, rev table.Revision, unsettled bool) Action {
	d.ownRevision, d.uncertain, d.contended = rev, false, false
	if unsettled {
		d.final = d.record(Released)
		return d.reply(Reply{Fault: fault.New(fault.StoreUnavailable, fault.Unknown,
			"the table was restored, and an earlier attempt with this idempotency key may have run").WithRetryAfter(retryAfter)}, finishing)
	}
	if !now.Before(d.deadline) {
		d.final = d.record(Released)
		return d.reply(Reply{Fault: fault.New(fault.Timeout, fault.NotRun,
			"the time for the request was over before it was sent").WithRetryAfter(retryAfter)}, finishing)
	}
	d.phase = sending
	return Send{Until: d.deadline, Record: d.record(Claimed)}
}

// handleCall converts the result of the call to the reply for the caller and the final state of the row.
func (d *Decider) handleCall(e CallEnded) Action {
	if d.phase != sending {
		return d.stop()
	}
	switch e.Result {
	case Answered:
		d.final = d.record(Done)
		d.final.Answer = &e.Answer
		return d.reply(Reply{Answer: e.Answer}, finishing)
	case NotRun:
		d.final = d.record(Released)
		return d.reply(Reply{Fault: e.Fault.WithOutcome(fault.NotRun)}, finishing)
	case ResultUnknown:
		d.final = d.record(Unknown)
		return d.reply(Reply{Fault: e.Fault}, finishing)
	default:
		return d.stop()
	}
}

// reply replies to the caller; after is the phase that follows.
func (d *Decider) reply(r Reply, after phase) Action {
	d.phase, d.phaseAfterReply = replying, after
	return r
}

func (d *Decider) handleReplied(now time.Time) Action {
	d.postReplyDeadline = now.Add(postReplyTimeout)
	d.backoff = initialBackoff
	d.phase = d.phaseAfterReply
	return d.phaseAction()
}

// handleCancel ends a wait early and replies with what is known.
func (d *Decider) handleCancel(now time.Time) Action {
	if d.phase != resolving && d.phase != awaitingOther {
		return d.stop()
	}
	d.deadline, d.claimDeadline = now, now
	return d.handleReadFailure(now)
}

// phaseAction returns the action of the current phase, after a reply or a wait.
func (d *Decider) phaseAction() Action {
	switch d.phase {
	case resolving, awaitingOther:
		return Read{Timeout: claimCallTimeout}
	case finishing:
		return Write{Base: d.ownRevision, Record: d.final, Timeout: postReplyCallTimeout}
	case fencing:
		return Write{Base: d.baseRevision, Record: d.record(Released), Timeout: postReplyCallTimeout}
	case fenceCheck:
		return Read{Timeout: postReplyCallTimeout}
	default:
		return d.stop()
	}
}

// retryAfterReply waits before it retries a write or read after the reply, or stops after the deadline.
// If the row stays claimed, repeated requests receive the outcome unknown.
func (d *Decider) retryAfterReply(now time.Time) Action {
	if !now.Before(d.postReplyDeadline) {
		return d.stop()
	}
	return d.backOff()
}

func (d *Decider) backOff() Action {
	w := d.backoff
	d.backoff = min(2*d.backoff, maxBackoff)
	return Wait{For: w}
}

func (d *Decider) stop() Action {
	d.phase = stopped
	return Stop{}
}

func (d *Decider) record(s State) Record {
	return Record{
		Fingerprint: d.call.Fingerprint, State: s, Token: d.call.Token, Node: d.call.Node,
		RequestID: d.call.RequestID, ClaimedAt: d.claimedAt, TimeoutMs: d.call.Timeout.Milliseconds(),
	}
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
