package runs

import (
	"geraniumhollow/internal/plat/table"
	"geraniumhollow/internal/route/crash"
)

func (s *crashSim) startCounter(j *job, st stage, c *crash.Counter) {
	j.stage, j.counter = st, c
	j.action, j.event, j.op = c.Start(), nil, nil
}

// count takes one step of a request's counter.
func (s *crashSim) count(j *job, d *crash.Decider) {
	switch {
	case j.event != nil:
		ev := j.event
		j.event = nil
		j.action = j.counter.Next(s.now, ev)
	case j.op != nil:
		s.advanceCount(j)
	default:
		s.carryOutCount(j, d)
	}
}

func (s *crashSim) carryOutCount(j *job, d *crash.Decider) {
	key := string(j.f)
	switch a := j.action.(type) {
	case crash.Read:
		j.op = &op[crash.RunCount]{key: key, read: true}
	case crash.Write:
		j.op = &op[crash.RunCount]{key: key, base: a.Base, value: a.Row, remove: a.Row.Empty()}
	case crash.Verdict:
		s.verdict(j, d, a)
	}
}

func (s *crashSim) verdict(j *job, d *crash.Decider, v crash.Verdict) {
	switch {
	case j.stage == endingCount:
		j.stage = ended
	case v == crash.Allowed:
		d.Begin(j.id)
		s.started(j)
	case v == crash.InUse && s.faults: // It waits and tries again.
		d.Abandon(j.id)
		j.stage = arriving
	default:
		s.out.Refused++
		d.Abandon(j.id)
		j.stage = ended
	}
}

// advanceCount applies a table operation, or ends the wait for it.
func (s *crashSim) advanceCount(j *job) {
	o := j.op
	h, ended := s.table.advance(o, s.faults)
	if !ended {
		return
	}
	j.op = nil
	if o.read {
		j.event = crash.ReadEnded{OK: h == opAnswered, Row: o.got.value, Revision: o.got.rev}
		return
	}
	switch {
	case h == opLost:
		j.event = crash.WriteEnded{Err: table.ErrUnknown}
	case h == opRefused:
		j.event = crash.WriteEnded{Err: table.ErrUnavailable}
	case o.conflict:
		j.event = crash.WriteEnded{Err: table.ErrConflict}
	default:
		j.event = crash.WriteEnded{}
	}
}

// run ends a run: its server has died, dies of it, or answers.
func (s *crashSim) run(j *job, d *crash.Decider) {
	name := serverName(j.server)
	switch {
	case j.incarnation != s.incarnations[j.server]:
		d.ConnectionLost(s.now, j.id)
		if s.choose.chance(2) {
			s.share(j.node, d.ServerDied(s.now, name))
		}
		j.stage = ended
		if j.alone {
			s.startCounter(j, endingCount, crash.RecordCrash(j.token))
		}
	case s.faults && !s.choose.chance(s.runSteps): // It runs on.
	case s.faults && s.choose(8) == 0:
		d.Abandon(j.id)
		s.giveBack(j)
	case j.f == culprit:
		s.incarnations[j.server]++
		s.out.Deaths++
		for to := range nodes {
			s.notices = append(s.notices, notice{to: to, died: j.server})
		}
	default:
		s.out.Completed++
		s.share(j.node, d.Complete(j.id, j.f))
		s.giveBack(j)
	}
}

// giveBack ends a run that completed or did not start.
func (s *crashSim) giveBack(j *job) {
	j.stage = ended
	if j.alone {
		s.counts[j.f]--
		s.startCounter(j, endingCount, crash.ReleaseRun(j.token))
	}
}
