package runs

import (
	"fmt"
	"time"

	"geraniumhollow/internal/route/claim"
	"geraniumhollow/internal/route/retry"
)

// Size of one interleaving of claims.
const (
	nodes        = 3
	claimSteps   = 120
	submissions  = 7
	drainSteps   = 5000
	callTimeout  = 30 * time.Second
	longestPause = 2 * time.Minute
)

// Claims is what came of interleavings of calls that may not be repeated.
type Claims struct {
	Interleavings int
	// Calls are the submissions, resends included.
	Calls   int
	Runs    int
	Answers int
	NotRun  int
	Unknown int
	// Unheard are the submissions whose node died before it answered.
	Unheard int

	// Duplicates are runs past the first of an idempotency key.
	Duplicates int
	// FalseNotRun are submissions that were told not_run and ran, or that were told not_run by a node
	// that last knew the key to be held by another attempt.
	FalseNotRun int
	// WrongAnswers are answers that are not of the run of the key.
	WrongAnswers int
	// Stuck are submissions that had not ended when everything worked again.
	Stuck int
}

// Bad reports whether a promise was broken.
func (c Claims) Bad() bool { return c.Duplicates+c.FalseNotRun+c.WrongAnswers+c.Stuck > 0 }

// Add returns the sum of two reports.
func (c Claims) Add(o Claims) Claims {
	return Claims{
		Interleavings: c.Interleavings + o.Interleavings, Calls: c.Calls + o.Calls, Runs: c.Runs + o.Runs,
		Answers: c.Answers + o.Answers, NotRun: c.NotRun + o.NotRun, Unknown: c.Unknown + o.Unknown,
		Unheard: c.Unheard + o.Unheard, Duplicates: c.Duplicates + o.Duplicates,
		FalseNotRun: c.FalseNotRun + o.FalseNotRun, WrongAnswers: c.WrongAnswers + o.WrongAnswers,
		Stuck: c.Stuck + o.Stuck,
	}
}

// message is a call on its way to a backend server.
type message struct {
	from *submission
	ran  bool
}

// submission is one request of a caller and the attempt that works on it.
type submission struct {
	id      string
	node    int
	key     string
	body    string
	decider *claim.Decider

	// action is to be carried out, event to be delivered; a submission has one of action, event, op,
	// message and due.
	action claim.Action
	event  claim.Event
	op     *op[claim.Record]
	msg    *message
	due    time.Time
	until  time.Time

	attempt retry.Attempt
	// other is set while the last thing heard of the row is that another attempt may hold it.
	other bool
	reply *claim.Reply
	// held is other at the time of the reply.
	held  bool
	runs  int
	ended bool
}

// claimSim is one interleaving.
type claimSim struct {
	choose Chooser
	kinds  int
	now    time.Time
	table  *faultyTable[claim.Record]
	budget *retry.Budget
	all    []*submission
	// orphans are calls whose senders have given up and that may still run.
	orphans []*message
	faults  bool
}

// RunClaims plays one random interleaving: nodes that die or pause between any two steps, a table with
// faults, backend servers that refuse or lose calls or run them late, and callers that send again to
// any node. At the end everything works again and all that is under way ends.
func RunClaims(choose Chooser) Claims {
	s := &claimSim{
		choose: choose, kinds: stepKinds(choose), now: time.Unix(1_000_000, 0),
		table: newFaultyTable[claim.Record](choose), budget: retry.NewBudget(), faults: true,
	}
	for range claimSteps {
		s.step()
	}
	s.faults, s.table.down = false, false
	s.submit()
	for i := 0; i < drainSteps && s.busy(); i++ {
		s.advance()
		s.advanceRandom()
	}
	for len(s.table.late) > 0 {
		s.table.applyLate()
	}
	for len(s.orphans) > 0 {
		s.runOrphan()
	}
	return s.report()
}

// step is one random step of a caller, a node, the table, a backend server or the clock.
func (s *claimSim) step() {
	s.advance()
	switch s.choose(s.kinds) {
	case 0:
		s.table.down = !s.table.down
	case 1:
		s.die(s.choose(nodes))
	case 2:
		s.now = s.now.Add(time.Duration(s.choose(int(longestPause))))
	case 3, 4:
		s.table.applyLate()
	case 5:
		s.runOrphan()
	case 6, 7, 8:
		if len(s.all) < submissions {
			s.submit()
		}
	default:
		s.advanceRandom()
	}
}

// advance moves the clock a little.
func (s *claimSim) advance() {
	s.now = s.now.Add(time.Duration(1+s.choose(200)) * time.Millisecond)
}

// submit lets a caller send a call, most often one that was sent before.
func (s *claimSim) submit() {
	x := &submission{id: fmt.Sprintf("s%d", len(s.all)), node: s.choose(nodes), key: "k", body: "b"}
	if s.choose.chance(4) {
		x.key = "l"
	}
	if s.choose.chance(6) {
		x.body = "c"
	}
	x.decider = claim.New(claim.Call{
		Fingerprint: x.body, Token: x.id, Node: fmt.Sprint(x.node), RequestID: x.id, Timeout: callTimeout,
	})
	x.action = x.decider.Start(s.now)
	s.all = append(s.all, x)
}

func (s *claimSim) busy() bool {
	for _, x := range s.all {
		if !x.ended {
			return true
		}
	}
	return false
}

// die ends all work of a node. Its writes and calls that are under way may still take effect.
func (s *claimSim) die(node int) {
	for _, x := range s.all {
		if x.ended || x.node != node {
			continue
		}
		x.ended = true
		if x.op != nil {
			s.table.abandon(x.op)
		}
		if x.msg != nil {
			s.orphans = append(s.orphans, x.msg)
		}
	}
}

// advanceRandom takes one step of one submission; the others are paused meanwhile.
func (s *claimSim) advanceRandom() {
	var open []*submission
	for _, x := range s.all {
		if !x.ended {
			open = append(open, x)
		}
	}
	if len(open) == 0 {
		return
	}
	x := open[s.choose(len(open))]
	switch {
	case x.event != nil:
		ev := x.event
		x.event = nil
		x.action = x.decider.Next(s.now, ev)
	case x.action != nil:
		act := x.action
		x.action = nil
		s.carryOut(x, act)
	case x.op != nil:
		s.advanceOp(x)
	case x.msg != nil:
		s.advanceMessage(x)
	default:
		s.endWait(x)
	}
}

func (s *claimSim) endWait(x *submission) {
	if s.now.Before(x.due) {
		s.now = x.due
	}
	x.event = claim.Elapsed{}
	if s.faults && s.choose.chance(12) {
		x.event = claim.Cancelled{}
	}
}

func (s *claimSim) carryOut(x *submission, act claim.Action) {
	switch a := act.(type) {
	case claim.Write:
		x.op = &op[claim.Record]{key: x.key, base: a.Base, value: a.Record}
	case claim.Read:
		x.op = &op[claim.Record]{key: x.key, read: true}
	case claim.Wait:
		x.due = s.now.Add(a.For)
	case claim.Send:
		x.until = a.Until
		x.attempt = retry.Attempt{}
		s.send(x)
	case claim.Reply:
		x.reply, x.held = &a, x.other
		x.event = claim.Replied{}
	case claim.Stop:
		x.ended = true
	}
}

// advanceOp applies a table operation, or ends the wait for it.
func (s *claimSim) advanceOp(x *submission) {
	o := x.op
	h, ended := s.table.advance(o, s.faults)
	if !ended {
		return
	}
	x.op = nil
	if o.read {
		x.event = x.rowEvent(h, o.got)
		return
	}
	x.event = x.writeEvent(h, o)
}

func (x *submission) rowEvent(h opResult, c cell[claim.Record]) claim.Event {
	switch {
	case h != opAnswered:
		return claim.ReadEnded{Result: claim.Failed}
	case c.absent():
		x.other = false
		return claim.ReadEnded{Result: claim.Absent}
	default:
		x.other = c.value.Token != x.id && c.value.State != claim.Released
		return claim.ReadEnded{Result: claim.Found, Record: c.value, Revision: c.rev}
	}
}

func (x *submission) writeEvent(h opResult, o *op[claim.Record]) claim.Event {
	switch {
	case h == opLost:
		return claim.WriteEnded{Result: claim.Uncertain}
	case h == opRefused:
		return claim.WriteEnded{Result: claim.Unavailable}
	case o.conflict:
		x.other = true
		return claim.WriteEnded{Result: claim.Conflict}
	default:
		x.other = false
		return claim.WriteEnded{Result: claim.Written, Revision: o.got.rev}
	}
}
