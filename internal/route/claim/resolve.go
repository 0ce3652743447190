package claim

import (
	"time"

	"geraniumhollow/internal/core/fault"
	"geraniumhollow/internal/plat/table"
)

// read takes the row in the phases that read.
func (d *Decider) read(now time.Time, e ReadEnded) Action {
	switch d.phase {
	case resolving, following:
		switch e.Result {
		case Found:
			return d.found(now, e)
		case Absent:
			return d.free(now, table.Absent)
		case Failed:
			return d.unread(now)
		default:
			return d.stop()
		}
	case fenceCheck:
		return d.fenceRead(now, e)
	default:
		return d.stop()
	}
}

// unread is a read without an answer: the row is read again while there is time.
func (d *Decider) unread(now time.Time) Action {
	switch {
	case d.phase == following && now.Before(d.deadline), d.phase == resolving && now.Before(d.claimBy):
		return d.pause()
	case d.phase == following:
		return d.inProgress()
	default:
		return d.refuse()
	}
}

// found decides by the row of this attempt or of another one.
func (d *Decider) found(now time.Time, e ReadEnded) Action {
	r := e.Record
	switch {
	case r.Token == d.call.Token:
		return d.confirmed(now, e.Revision)
	case r.State == Released:
		return d.free(now, e.Revision)
	}
	// The row has left the revision that an own write demands: that write can no longer take effect.
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
		return d.inProgress()
	default:
		return d.follow()
	}
}

// follow waits for the end of another attempt.
func (d *Decider) follow() Action {
	if d.phase != following {
		d.phase, d.wait = following, firstWait
	}
	return d.pause()
}

func (d *Decider) inProgress() Action {
	return d.reply(Reply{Fault: fault.New(fault.RequestInProgress, fault.Unknown,
		"another attempt with this idempotency key is still running").WithRetryAfter(retryAfter)}, stopped)
}

// free means that no attempt holds the key: the row is absent or released at revision rev. An own
// write over the same revision may still be under way; writing it again is safe, because the token
// is the same and only one of the two can take effect.
func (d *Decider) free(now time.Time, rev uint64) Action {
	if d.phase == following || rev != d.base {
		if !now.Before(d.deadline) {
			d.uncertain, d.contended = false, false
			return d.refuse()
		}
		return d.claim(now, rev)
	}
	d.contended = false
	if !now.Before(d.claimBy) {
		return d.refuse()
	}
	return d.writeClaim()
}

func (d *Decider) fenceWrote(now time.Time, e WriteEnded) Action {
	switch e.Result {
	case Written:
		return d.stop()
	case Conflict:
		d.phase = fenceCheck
		return d.again()
	default:
		return d.later(now)
	}
}

// fenceRead releases the own claim if it took effect late. Any other row has left the revision that
// the own write demands.
func (d *Decider) fenceRead(now time.Time, e ReadEnded) Action {
	switch {
	case e.Result == Failed:
		return d.later(now)
	case e.Result == Found && e.Record.Token == d.call.Token && e.Record.State == Claimed:
		d.own, d.final = e.Revision, d.record(Released)
		d.phase = finishing
		return d.again()
	default:
		return d.stop()
	}
}
