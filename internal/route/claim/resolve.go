package claim

import (
	"time"

	"geraniumhollow/internal/core/fault"
	"geraniumhollow/internal/plat/table"
)

func (d *Decider) handleRead(now time.Time, e ReadEnded) Action {
	switch d.phase {
	case resolving, awaitingOther:
		switch e.Result {
		case Found:
			return d.handleFound(now, e)
		case Absent:
			return d.handleUnclaimed(now, table.Absent)
		case Failed:
			return d.handleReadFailure(now)
		default:
			return d.stop()
		}
	case fenceCheck:
		return d.handleFenceRead(now, e)
	default:
		return d.stop()
	}
}

// handleReadFailure retries a failed read until the deadline of the phase, then replies.
func (d *Decider) handleReadFailure(now time.Time) Action {
	switch {
	case d.phase == awaitingOther && now.Before(d.deadline), d.phase == resolving && now.Before(d.claimDeadline):
		return d.backOff()
	case d.phase == awaitingOther:
		return d.replyInProgress()
	default:
		return d.refuse()
	}
}

// handleFound handles an existing row, which belongs to this attempt or to another one.
func (d *Decider) handleFound(now time.Time, e ReadEnded) Action {
	r := e.Record
	switch {
	case r.Token == d.call.Token:
		return d.claimConfirmed(now, e.Revision, e.Unsettled)
	case r.State == Released:
		return d.handleUnclaimed(now, e.Revision)
	}
	// The row no longer has the revision that this attempt's claim write requires, so that write can
	// no longer take effect.
	d.uncertain, d.contended = false, true
	switch {
	case r.Fingerprint != d.call.Fingerprint:
		return d.reply(Reply{Fault: fault.New(fault.IdempotencyKeyReused, fault.NotRun,
			"the idempotency key was used with another request")}, stopped)
	case r.State == Done && r.Answer != nil && !r.Answer.Missing:
		return d.reply(Reply{Answer: *r.Answer}, stopped)
	case r.State == Done:
		return d.reply(Reply{Fault: fault.New(fault.StoreUnavailable, fault.Ran,
			"the request ran, but its stored answer could not be read").WithRetryAfter(retryAfter)}, stopped)
	case r.State == Unknown, r.expired(now):
		return d.reply(Reply{Fault: fault.New(fault.OutcomeUnknown, fault.Unknown,
			"the request may have run; its answer is lost")}, stopped)
	case !now.Before(d.deadline):
		return d.replyInProgress()
	default:
		return d.awaitOther()
	}
}

// awaitOther waits before it reads the claim of another attempt again.
func (d *Decider) awaitOther() Action {
	if d.phase != awaitingOther {
		d.phase, d.backoff = awaitingOther, initialBackoff
	}
	return d.backOff()
}

func (d *Decider) replyInProgress() Action {
	return d.reply(Reply{Fault: fault.New(fault.RequestInProgress, fault.Unknown,
		"another attempt with this idempotency key is still running").WithRetryAfter(retryAfter)}, stopped)
}

// handleUnclaimed writes a claim if no attempt holds the key: the row is absent, or released at
// revision rev. An earlier claim write of this attempt on the same revision may still be in flight.
// Repeating it is safe, because the token is the same and only one of the two writes can take effect.
func (d *Decider) handleUnclaimed(now time.Time, rev table.Revision) Action {
	if d.phase == awaitingOther || rev != d.baseRevision {
		if !now.Before(d.deadline) {
			d.uncertain, d.contended = false, false
			return d.refuse()
		}
		return d.beginClaim(now, rev)
	}
	d.contended = false
	if !now.Before(d.claimDeadline) {
		return d.refuse()
	}
	return d.writeClaim()
}

func (d *Decider) handleFenceWrite(now time.Time, e WriteEnded) Action {
	switch e.Result {
	case Written:
		return d.stop()
	case Conflict:
		d.phase = fenceCheck
		return d.phaseAction()
	default:
		return d.retryAfterReply(now)
	}
}

// handleFenceRead releases this attempt's claim if the claim write took effect late. Any other row no
// longer has the revision that the claim write requires.
func (d *Decider) handleFenceRead(now time.Time, e ReadEnded) Action {
	switch {
	case e.Result == Failed:
		return d.retryAfterReply(now)
	case e.Result == Found && e.Record.Token == d.call.Token && e.Record.State == Claimed:
		d.ownRevision, d.final = e.Revision, d.record(Released)
		d.phase = finishing
		return d.phaseAction()
	default:
		return d.stop()
	}
}
