package plans

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"geraniumhollow/internal/fleet/duty"
	"geraniumhollow/internal/fleet/index"
	"geraniumhollow/internal/fleet/server"
	"geraniumhollow/internal/plan/group"
	"geraniumhollow/internal/route/batch"
)

// Shape of the fleet and the runs in which late orders are enumerated.
const (
	lateModel  = "m"
	lateHosts  = 3
	lateStep   = 50 * time.Millisecond
	lateBeats  = 500 * time.Millisecond
	lateSettle = 1600 * time.Millisecond
	// lateTail is how long a run goes on after the last event and the last late order, if the case does not say it.
	lateTail = 1500 * time.Millisecond
	// restartTime is how long a host takes to start another process.
	restartTime = 300 * time.Millisecond
)

// LateCase is what happens to a group of three beside late orders. Times count from the loss of its first member.
type LateCase struct {
	// Servers is the number of servers, all of which have the weights.
	Servers int
	// SecondLoss is when the second member ends, or 0.
	SecondLoss time.Duration
	// Reads is the time between reads of the registry.
	Reads time.Duration
	// Silent servers do not refuse connections after they have ended.
	Silent bool
	// TakeOver is when another keeper takes over, or 0. It knows the stored plan only. With Overlap, the earlier one goes on until its
	// tenure ends; without, it has ended and the new one knows that.
	TakeOver time.Duration
	Overlap  bool
	// Restart is when the head ends and starts again as another process, or 0.
	Restart time.Duration
	// Tail is how long a run goes on after the last event and the last late order, or 0 for lateTail.
	Tail time.Duration
}

// LateOrder is an order without an answer, by its number among the orders of a run, and the time after which it is executed.
type LateOrder struct {
	Number int
	Delay  time.Duration
}

// LateRun is what came of a run.
type LateRun struct {
	// Fault says which rule was broken; empty for none.
	Fault string
	// Orders are the orders after the first loss in the sequence in which they were given.
	Orders []group.Order
	// Down is how long no head was open with all of its members, after the first loss and within the run.
	Down time.Duration
}

// lateRun is a run.
type lateRun struct {
	*world
	LateCase
	late    []LateOrder
	orders  []group.Order
	plan    group.Rows
	keepers []*keeper
	fence   uint64
	lostAt  time.Time
	first   group.Formation
	until   time.Time
	down    time.Duration
	// overlapEnd is when the tenure of the earlier keeper ends.
	overlapEnd time.Time
}

// RunLate runs a case with late orders, which are sorted by number.
func RunLate(c LateCase, late []LateOrder, trace io.Writer) LateRun {
	if c.Tail == 0 {
		c.Tail = lateTail
	}
	r := &lateRun{world: emptyWorld(), LateCase: c, late: late, plan: make(group.Rows)}
	r.trace = trace
	for range c.Servers {
		r.add("d0").staged = lateModel
	}
	r.takeOver(duty.HoldTime)
	for r.now.Sub(worldStart) < lateSettle {
		r.step()
	}
	p := r.keepers[0].decider.Plan()
	if len(p.Current) != 1 || r.opened != 1 {
		return LateRun{Fault: fmt.Sprintf("after %v there is no group: %+v", lateSettle, p.Current)}
	}
	r.first, r.lostAt = p.Current[0], r.now
	r.until = r.now.Add(max(c.SecondLoss, c.TakeOver, c.Restart) + c.Tail)
	r.end(r.first.Members[1])
	for r.now.Before(r.until) && r.fault == "" {
		r.events()
		r.step()
		if !slices.ContainsFunc(r.engines, func(e *engine) bool { return e.alive && e.state == server.Open && r.whole(e) }) {
			r.down += lateStep
		}
	}
	return LateRun{Fault: r.fault, Orders: r.orders, Down: r.down}
}

func (r *lateRun) end(id string) {
	r.logf("%s ends", id)
	r.byID[id].alive = false
}

// due reports whether a time after the first loss is reached in this step. Zero never is.
func (r *lateRun) due(after time.Duration) bool {
	since := r.now.Sub(r.lostAt)
	return after > 0 && since >= after && since < after+lateStep
}

// events lets happen what the case has for this step.
func (r *lateRun) events() {
	head := r.byID[r.first.Head()]
	if r.due(r.SecondLoss) {
		r.end(r.first.Members[2])
	}
	if r.due(r.Restart) {
		r.end(head.id)
	}
	if r.due(r.Restart+restartTime) && r.Restart > 0 {
		r.again(head, true)
	}
	if r.due(r.TakeOver) {
		r.takeOver(duty.HoldTime)
	}
}

// takeOver has a keeper begin with the stored plan.
func (r *lateRun) takeOver(tenure time.Duration) {
	p, err := r.plan.Plan()
	if err != nil {
		r.failf("stored plan: %v", err)
		return
	}
	r.fence++
	r.logf("keeper %d takes over", r.fence)
	p.Fence, p.InheritedEpoch = r.fence, p.Epoch
	rows, err := p.Rows()
	if err != nil {
		r.failf("encode plan: %v", err)
		return
	}
	r.plan.Apply(group.Step{group.HeaderRow: rows[group.HeaderRow]})
	overlap := time.Duration(0)
	if !r.Overlap {
		r.keepers = nil
	} else {
		overlap, r.overlapEnd = tenure, r.now.Add(tenure)
	}
	r.keepers = append(r.keepers, &keeper{view: index.New(), stored: maps.Clone(r.plan), revision: r.fence, decider: group.New(group.Config{
		Service: "llm", Engine: lateEngine(r.Servers), StallTime: stallTime, HeartbeatInterval: beatInterval, Overlap: overlap,
	}, p)})
}

// lateEngine returns an engine whose only model gets one group of a number of servers.
func lateEngine(servers int) *batch.Engine {
	return &batch.Engine{
		Models: []batch.Model{{
			Name: lateModel, Hosts: lateHosts, TimeFactor: 1, WorkFraction: lateHosts / (0.82 * float64(servers)),
			ColdLoadTime: 4 * time.Second, WarmLoadTime: 800 * time.Millisecond,
		}},
		LoadsPerSecond: 5, LoadsAtOnce: 8, StagedModels: 1,
	}
}

func (r *lateRun) step() {
	r.advance(lateStep)
	if len(r.keepers) > 1 && !r.now.Before(r.overlapEnd) {
		r.keepers = r.keepers[1:]
	}
	for _, k := range slices.Clone(r.keepers) {
		if !r.now.Before(k.reads) {
			k.view.Apply(r.now, r.registry())
			k.reads = r.now.Add(r.Reads)
		}
		if !r.now.Before(k.beats) {
			k.decider.ApplyHeartbeats(r.now, r.renewals())
			k.beats = r.now.Add(lateBeats)
		}
		k.decider.ApplyView(r.now, k.view.View())
		r.act(k, k.decider.Step(r.now))
	}
}

func (r *lateRun) act(k *keeper, a group.Actions) {
	for _, n := range a.Decisions {
		r.logf("keeper %d: %s %s/%d %s", k.revision, n.Decision, n.Group, n.Epoch, n.Reason)
	}
	for _, o := range a.Orders {
		k.decider.OrderDone(r.now, o, r.deliver(o))
	}
	for _, p := range a.Probes {
		if e := r.byAddr[p.Address]; !e.alive {
			k.decider.ProbeFailed(p.Server, !r.Silent)
		} else {
			k.decider.ProbeAnswered(r.now, p.Server, server.Report{Info: e.info(), Slowdown: 1})
		}
	}
	for _, p := range a.PeerProbes {
		reached := 0
		if r.byAddr[p.Address].alive {
			reached = 3
		}
		k.decider.PeerProbesDone(p.Server, 3, reached)
	}
	if a.Commit == nil {
		return
	}
	rows, err := a.Commit.Rows()
	switch {
	case err != nil:
		r.failf("encode plan: %v", err)
	case k.revision != r.fence: // Another keeper has taken over.
		r.keepers = slices.DeleteFunc(r.keepers, func(o *keeper) bool { return o == k })
	default:
		r.plan = maps.Clone(rows)
		k.decider.Committed()
	}
}

// deliver carries out an order, or delays it if the run has it among its late ones.
func (r *lateRun) deliver(o group.Order) group.Outcome {
	e := r.byAddr[o.Address]
	if r.lostAt.IsZero() {
		return r.apply(e, o)
	}
	n := len(r.orders)
	r.orders = append(r.orders, o)
	i := slices.IndexFunc(r.late, func(l LateOrder) bool { return l.Number == n })
	switch {
	case !e.alive:
		r.logf("order %d: %s %s/%d to %s gets no answer", n, o.Kind, o.Group, o.Epoch, o.Server)
		return group.Unknown
	case i >= 0:
		at := r.now.Add(r.late[i].Delay)
		r.logf("order %d: %s %s/%d to %s is late", n, o.Kind, o.Group, o.Epoch, o.Server)
		r.world.late = append(r.world.late, late{at: at, to: e, order: o})
		if end := at.Add(r.Tail); end.After(r.until) {
			r.until = end
		}
		return group.Unknown
	default:
		out := r.apply(e, o)
		r.logf("order %d: %s %s/%d to %s: %s", n, o.Kind, o.Group, o.Epoch, o.Server, out)
		return out
	}
}

// LateSearch enumerates late orders.
type LateSearch struct {
	Case LateCase
	// Delays has the delays of the first late order, of the second, and so on. Its length is the largest number of late orders.
	Delays [][]time.Duration
	// Select reports whether an order may be late; nil for all.
	Select func(o group.Order) bool
}

// LateResult is what a search found.
type LateResult struct {
	Runs int
	// Fault and Late are those of the first run that broke a rule.
	Fault string
	Late  []LateOrder
	// Down is how long no head was open, the longest of all runs.
	Down time.Duration
}

// Run enumerates until a rule is broken: the run without late orders, then those with each order late by each delay, and with each
// further order that such a run has after its last late one.
func (s LateSearch) Run() LateResult {
	var res LateResult
	s.extend(nil, &res)
	return res
}

func (s LateSearch) extend(prefix []LateOrder, res *LateResult) {
	run := RunLate(s.Case, prefix, nil)
	res.Runs++
	res.Down = max(res.Down, run.Down)
	if run.Fault != "" {
		res.Fault, res.Late = run.Fault, prefix
		return
	}
	if len(prefix) == len(s.Delays) {
		return
	}
	start := 0
	if len(prefix) > 0 {
		start = prefix[len(prefix)-1].Number + 1
	}
	for n := start; n < len(run.Orders) && res.Fault == ""; n++ {
		if s.Select != nil && !s.Select(run.Orders[n]) {
			continue
		}
		for _, d := range s.Delays[len(prefix)] {
			if res.Fault == "" {
				s.extend(append(slices.Clip(prefix), LateOrder{Number: n, Delay: d}), res)
			}
		}
	}
}

// String describes late orders.
func (l LateOrder) String() string { return fmt.Sprintf("order %d by %v", l.Number, l.Delay) }

// TraceLate returns the events of a run.
func TraceLate(c LateCase, late []LateOrder) string {
	var out strings.Builder
	RunLate(c, late, &out)
	return out.String()
}
