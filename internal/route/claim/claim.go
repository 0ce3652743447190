// Package claim runs a call that may not be repeated at most once, by a claim row in the table that is
// written before the call is sent.
//
// Decider is the protocol: it takes what came of the last action and the time, and returns the next
// action. Store carries out its reads and writes.
package claim

import (
	"time"

	"geraniumhollow/internal/core/fault"
	"geraniumhollow/internal/plat/table"
)

// Times of the protocol.
const (
	// claimTime bounds the wait for a claim. A caller that hears not_run early may come back; one that
	// waits for a slow table has less time left for its call.
	claimTime = 3 * time.Second
	// claimCallTime bounds one table call while the caller waits.
	claimCallTime = time.Second
	// laterCallTime bounds one table call after the caller has been answered. It is longer, so that a
	// table that is slow rather than down still takes the final state.
	laterCallTime = 10 * time.Second
	// laterTime bounds all work after the caller has been answered.
	laterTime = 60 * time.Second
	// holderGrace is how long past its timeout a holder is given to write the final state.
	holderGrace = 10 * time.Second
	// firstWait doubles up to lastWait between reads of another attempt's row, which keeps a waiting
	// resend at about one table read a second.
	firstWait = 100 * time.Millisecond
	lastWait  = time.Second
	// retryAfter is when a caller may come back.
	retryAfter = time.Second
)

// Call is the call to run.
type Call struct {
	// Fingerprint identifies the call; a key is good for one fingerprint.
	Fingerprint string
	// Token is unique to this attempt at the call.
	Token     string
	Node      string
	RequestID string
	Timeout   time.Duration
}

// phase is what the last action was for.
type phase int

const (
	claiming  phase = iota // write of the own claim
	resolving              // read after a claim write that conflicted or whose answer was lost
	following              // read of another attempt's claim
	sending
	replying   // answer to the caller, then the write of the final state
	finishing  // write of the final state over the own claim
	fencing    // write that keeps an uncertain claim write from taking effect
	fenceCheck // read after fencing conflicted
	stopped
)

// Decider runs one attempt at one call. It is not safe for concurrent use.
type Decider struct {
	call     Call
	phase    phase
	deadline time.Time
	claimBy  time.Time
	laterBy  time.Time
	wait     time.Duration

	claimedAt time.Time
	// base is the revision that the claim write demands.
	base uint64
	// uncertain is set while a claim write over base may still take effect.
	uncertain bool
	// contended is set while the last thing known of the row is that another attempt may hold it.
	contended bool
	// final is the record to write over the own claim at revision own.
	final Record
	own   uint64
	after phase
}

// New returns a decider for a call.
func New(c Call) *Decider { return &Decider{call: c} }

// Start returns the first action.
func (d *Decider) Start(now time.Time) Action {
	d.deadline = now.Add(d.call.Timeout)
	d.claimedAt = now
	return d.claim(now, table.Absent)
}

// Next takes what came of the last action and returns the next one.
func (d *Decider) Next(now time.Time, ev Event) Action {
	switch e := ev.(type) {
	case WriteEnded:
		return d.wrote(now, e)
	case ReadEnded:
		return d.read(now, e)
	case CallEnded:
		return d.called(e)
	case Replied:
		return d.replied(now)
	case Elapsed:
		return d.again()
	case Cancelled:
		return d.cancel(now)
	default:
		return d.stop()
	}
}

// claim starts the write of the own claim over revision base.
func (d *Decider) claim(now time.Time, base uint64) Action {
	d.base = base
	d.uncertain, d.contended = false, false
	d.claimBy = earlier(d.deadline, now.Add(claimTime))
	d.wait = firstWait
	return d.writeClaim()
}

func (d *Decider) writeClaim() Action {
	d.phase = claiming
	return Write{Base: d.base, Record: d.record(Claimed), Timeout: claimCallTime}
}

func (d *Decider) wrote(now time.Time, e WriteEnded) Action {
	switch d.phase {
	case claiming:
		return d.claimWrote(now, e)
	case finishing:
		// Only the holder rewrites a claimed row, so a conflict means that an earlier try of the same
		// write took effect.
		if e.Result == Written || e.Result == Conflict {
			return d.stop()
		}
		return d.later(now)
	case fencing:
		return d.fenceWrote(now, e)
	default:
		return d.stop()
	}
}

func (d *Decider) claimWrote(now time.Time, e WriteEnded) Action {
	switch e.Result {
	case Written:
		return d.confirmed(now, e.Revision)
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

// resolve reads the row back, unless the time for the claim is over.
func (d *Decider) resolve(now time.Time) Action {
	d.phase = resolving
	if !now.Before(d.claimBy) {
		return d.refuse()
	}
	return Read{Timeout: claimCallTime}
}

// refuse answers without a claim. Nothing has been sent, so the request itself has not run; but when
// the row may be another attempt's, that attempt may have run.
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

// confirmed means that the own claim is in the table at revision rev.
func (d *Decider) confirmed(now time.Time, rev uint64) Action {
	d.own, d.uncertain, d.contended = rev, false, false
	if !now.Before(d.deadline) {
		d.final = d.record(Released)
		return d.reply(Reply{Fault: fault.New(fault.Timeout, fault.NotRun,
			"the time for the request was over before it was sent").WithRetryAfter(retryAfter)}, finishing)
	}
	d.phase = sending
	return Send{Until: d.deadline}
}

// called turns the end of the call into the caller's answer and the final state of the row.
func (d *Decider) called(e CallEnded) Action {
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
	case Lost:
		d.final = d.record(Unknown)
		return d.reply(Reply{Fault: e.Fault}, finishing)
	default:
		return d.stop()
	}
}

// reply answers the caller; after is the phase that follows.
func (d *Decider) reply(r Reply, after phase) Action {
	d.phase, d.after = replying, after
	return r
}

func (d *Decider) replied(now time.Time) Action {
	d.laterBy = now.Add(laterTime)
	d.wait = firstWait
	d.phase = d.after
	return d.again()
}

// cancel ends a wait early.
func (d *Decider) cancel(now time.Time) Action {
	if d.phase != resolving && d.phase != following {
		return d.stop()
	}
	d.deadline, d.claimBy = now, now
	return d.unread(now)
}

// again repeats the action of the phase, after a reply or a wait.
func (d *Decider) again() Action {
	switch d.phase {
	case resolving, following:
		return Read{Timeout: claimCallTime}
	case finishing:
		return Write{Base: d.own, Record: d.final, Timeout: laterCallTime}
	case fencing:
		return Write{Base: d.base, Record: d.record(Released), Timeout: laterCallTime}
	case fenceCheck:
		return Read{Timeout: laterCallTime}
	default:
		return d.stop()
	}
}

// later waits before the next try of the work after the reply, or gives it up. A row that is left
// claimed makes resends hear unknown.
func (d *Decider) later(now time.Time) Action {
	if !now.Before(d.laterBy) {
		return d.stop()
	}
	return d.pause()
}

func (d *Decider) pause() Action {
	w := d.wait
	d.wait = min(2*d.wait, lastWait)
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

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
