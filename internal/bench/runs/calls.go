package runs

import (
	"geraniumhollow/internal/core/fault"
	"geraniumhollow/internal/route/claim"
	"geraniumhollow/internal/route/retry"
)

// send makes an attempt. Past the deadline a sender does not send, unless it was paused between its
// last look at the clock and the write.
func (s *claimSim) send(x *submission) {
	if !s.now.Before(x.until) && s.choose.chance(2) {
		s.failed(x, true)
		return
	}
	x.msg = &message{from: x}
}

// advanceMessage moves a call or its answer.
func (s *claimSim) advanceMessage(x *submission) {
	const outcomes = 4
	outcome := outcomes
	if s.faults {
		outcome = s.choose(outcomes)
	}
	m := x.msg
	switch {
	case m.ran && outcome == 0: // The answer is lost.
		x.msg = nil
		s.failed(x, false)
	case m.ran:
		x.msg = nil
		x.event = claim.CallEnded{Result: claim.Answered, Answer: claim.Answer{Status: 200, Body: []byte(x.id)}}
	case outcome == 0: // The server refuses the call, or cannot be reached.
		x.msg = nil
		s.failed(x, true)
	case outcome == 1: // The sender gives up; the call may still run.
		x.msg = nil
		s.orphans = append(s.orphans, m)
		s.failed(x, false)
	default:
		m.run()
	}
}

func (m *message) run() {
	m.ran = true
	m.from.runs++
}

// runOrphan runs or drops a call whose sender has given up.
func (s *claimSim) runOrphan() {
	if len(s.orphans) == 0 {
		return
	}
	i := s.choose(len(s.orphans))
	m := s.orphans[i]
	s.orphans = append(s.orphans[:i], s.orphans[i+1:]...)
	if !m.ran && !s.choose.chance(3) {
		m.run()
	}
}

// failed lets the retry rules decide what follows an attempt, as internal/node/calls does.
func (s *claimSim) failed(x *submission, notStarted bool) {
	x.attempt.Number++
	x.attempt.NotStarted = notStarted
	x.attempt.TimeLeft = x.until.Sub(s.now)
	v := retry.Decide(s.now, x.attempt, s.budget)
	x.attempt.MayHaveRun = x.attempt.MayHaveRun || !notStarted
	f := fault.New(fault.BackendFailed, v.Outcome, "attempt failed")
	switch {
	case v.Retry:
		s.send(x)
	case v.Outcome == fault.NotRun:
		x.event = claim.CallEnded{Result: claim.NotRun, Fault: f}
	default:
		x.event = claim.CallEnded{Result: claim.ResultUnknown, Fault: f}
	}
}

// report checks the promises at the end of an interleaving.
func (s *claimSim) report() Claims {
	out := Claims{Interleavings: 1, Calls: len(s.all)}
	runs := make(map[string]int)
	ran := make(map[string]*submission)
	for _, x := range s.all {
		out.Runs += x.runs
		runs[x.key] += x.runs
		if x.runs > 0 {
			ran[x.key] = x
		}
	}
	for _, n := range runs {
		out.Duplicates += max(0, n-1)
	}
	for _, x := range s.all {
		x.count(&out, ran[x.key])
	}
	return out
}

// count adds what the caller of a submission was told. by is the submission that ran the key, or nil.
func (x *submission) count(out *Claims, by *submission) {
	if !x.ended {
		out.Stuck++
	}
	switch {
	case x.reply == nil:
		out.Unheard++
	case x.reply.Fault == nil:
		out.Answers++
		if by == nil || string(x.reply.Answer.Body) != by.id || x.body != by.body {
			out.WrongAnswers++
		}
	case x.reply.Fault.Outcome() == fault.NotRun:
		out.NotRun++
		held := x.held && by != nil && x.reply.Fault.Code() != fault.IdempotencyKeyReused
		if x.runs > 0 || held {
			out.FalseNotRun++
		}
	default:
		out.Unknown++
	}
}
