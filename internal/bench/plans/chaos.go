// Package plans measures the planning of groups: interleavings of two keepers against a modelled fleet, and
// weight loads over a modelled school year.
package plans

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"geraniumhollow/internal/fleet/duty"
	"geraniumhollow/internal/fleet/index"
	"geraniumhollow/internal/fleet/server"
	"geraniumhollow/internal/plan/group"
)

// Source draws the choices of an interleaving.
type Source interface {
	// IntN returns a number in [0, n).
	IntN(n int) int
}

// Outcome is what came of an interleaving.
type Outcome struct {
	// Fault says which rule was broken; empty for none.
	Fault string
	// Opened counts the heads that opened.
	Opened int
}

// Shape of an interleaving.
const (
	chaosTime   = 45 * time.Second
	chaosStep   = 50 * time.Millisecond
	keepers     = 2
	longPause   = 6 * time.Second
	longFault   = 8 * time.Second
	longestLate = 10 * time.Second
	// quiet is the time at the start without faults, in which the first groups form.
	quiet = 3 * time.Second
)

// keeper is one node that keeps, or believes that it keeps, the groups.
type keeper struct {
	decider *group.Decider
	view    *index.Index
	// stored and revision are those of the plan as this keeper knows it.
	stored   group.Rows
	revision uint64
	paused   time.Time
	// until is when its tenure ends by its own clock, which runs on while it is paused; renews is when it next
	// renews its row.
	until  time.Time
	renews time.Time
	// reads are when it next reads the registry and the renewals.
	reads time.Time
	beats time.Time
}

// row is the stored plan. The revision is that of its head row.
type row struct {
	rows     group.Rows
	revision uint64
	away     time.Time
}

// chaos is one interleaving.
type chaos struct {
	*world
	src     Source
	isolate bool
	// demand is set if targets change. They are nil while demand is not known.
	demand  bool
	targets *group.Targets
	keepers []*keeper
	plan    row
	fence   uint64
	// holder is the keeper that the row of the duty names.
	holder *keeper
	heals  []func()
	healAt []time.Time
}

// Options shape an interleaving.
type Options struct {
	// Isolate lets a server that lives be cut off from the nodes and from the store at the same time, which
	// nodes cannot tell from its end: they then take it for dead.
	Isolate bool
	// Demand lets the numbers of groups that demand asks for change.
	Demand bool
	// Trace takes a line for each event; nil for none.
	Trace io.Writer
}

// Interleave runs one interleaving of keepers and faults.
func Interleave(src Source, o Options) Outcome {
	c := &chaos{world: newWorld(), src: src, isolate: o.Isolate, demand: o.Demand}
	c.plan.rows = make(group.Rows)
	c.trace = o.Trace
	for range keepers {
		c.keepers = append(c.keepers, &keeper{})
	}
	c.takeOver(c.keepers[0])
	for end := c.now.Add(chaosTime); c.now.Before(end) && c.fault == ""; {
		c.advance(chaosStep)
		c.heal()
		if c.now.Sub(end.Add(-chaosTime)) > quiet {
			c.disturb()
		}
		c.succeed()
		for _, k := range c.keepers {
			c.step(k)
		}
	}
	return Outcome{Fault: c.fault, Opened: c.opened}
}

// chance is true once in n times.
func (c *chaos) chance(n int) bool { return c.src.IntN(n) == 0 }

// span draws a time up to longest.
func (c *chaos) span(longest time.Duration) time.Duration {
	return time.Duration(1+c.src.IntN(int(longest/time.Millisecond))) * time.Millisecond
}

// later undoes a fault after some time.
func (c *chaos) later(undo func()) {
	c.heals = append(c.heals, undo)
	c.healAt = append(c.healAt, c.now.Add(c.span(longFault)))
}

func (c *chaos) heal() {
	for i := 0; i < len(c.heals); i++ {
		if c.now.Before(c.healAt[i]) {
			continue
		}
		c.heals[i]()
		c.heals = append(c.heals[:i], c.heals[i+1:]...)
		c.healAt = append(c.healAt[:i], c.healAt[i+1:]...)
		i--
	}
}

// disturb makes a fault now and then.
func (c *chaos) disturb() {
	if c.chance(30) {
		c.disturbEngine(c.engines[c.src.IntN(len(c.engines))])
	}
	if c.demand && c.chance(40) {
		c.changeDemand()
	}
	switch c.src.IntN(200) {
	case 0:
		c.plan.away = c.now.Add(c.span(longFault))
	case 1, 2:
		c.keepers[c.src.IntN(keepers)].paused = c.now.Add(c.span(longPause))
	case 3, 4, 5:
		c.takeOver(c.keepers[c.src.IntN(keepers)])
	}
}

// changeDemand changes the numbers of groups that demand asks for.
func (c *chaos) changeDemand() {
	if c.targets = nil; c.chance(8) {
		return
	}
	c.targets = &group.Targets{Groups: make(map[string]int), Urgent: make(map[string]bool), Late: make(map[string]bool)}
	for _, m := range modelEngine().Models {
		c.targets.Groups[m.Name], c.targets.Urgent[m.Name], c.targets.Late[m.Name] = c.src.IntN(5), c.chance(2), c.chance(8)
	}
	if c.chance(16) { // The size of demand is not known yet.
		c.targets.Groups = nil
	}
	c.logf("demand asks for %v, urgent %v, late %v", c.targets.Groups, c.targets.Urgent, c.targets.Late)
}

func (c *chaos) disturbEngine(e *engine) {
	if !e.alive {
		return
	}
	fault := c.src.IntN(4)
	c.logf("%s: fault %d", e.id, fault)
	switch fault {
	case 0, 1:
		e.alive = false
		switch c.src.IntN(3) {
		case 0:
			c.later(func() { c.add(e.domain).staged = e.staged })
		case 1:
			c.later(func() { c.again(e, false) })
		default:
			c.later(func() { c.again(e, true) })
		}
	case 2:
		if !e.dark || c.isolate {
			e.cut = true
			c.later(func() { e.cut = false })
		}
	default:
		if !e.cut || c.isolate {
			e.dark = true
			c.later(func() { e.dark = false })
		}
	}
}

// succeed has a keeper take the duty some time after the last tenure has ended.
func (c *chaos) succeed() {
	if c.now.Before(c.holder.until) || !c.chance(10) {
		return
	}
	if k := c.keepers[c.src.IntN(keepers)]; !c.now.Before(k.paused) {
		c.takeOver(k)
	}
}

// takeOver gives a keeper the duty. An earlier holder does not know before its next commit, or the end of its
// tenure.
func (c *chaos) takeOver(k *keeper) {
	if c.now.Before(c.plan.away) {
		return
	}
	p, err := c.plan.rows.Plan()
	if err != nil {
		c.failf("stored plan: %v", err)
		return
	}
	c.fence++
	c.logf("keeper %d takes over, fence %d", slices.Index(c.keepers, k), c.fence)
	p.Fence, p.InheritedEpoch = c.fence, p.Epoch
	rows, ok := c.encode(p)
	if !ok {
		return
	}
	c.write(group.Step{group.HeaderRow: rows[group.HeaderRow]})
	c.holder = k
	k.until, k.renews = c.now.Add(duty.HoldTime), c.now.Add(duty.RenewInterval)
	k.stored, k.revision = maps.Clone(c.plan.rows), c.plan.revision
	k.view, k.reads, k.beats = index.New(), time.Time{}, time.Time{}
	k.decider = group.New(group.Config{
		Service: "llm", Engine: modelEngine(), StallTime: stallTime, HeartbeatInterval: beatInterval, Overlap: duty.HoldTime,
	}, p)
}

func (c *chaos) encode(p group.Plan) (group.Rows, bool) {
	rows, err := p.Rows()
	if err != nil {
		c.failf("encode plan: %v", err)
	}
	return rows, err == nil
}

// write carries out one step of a change of the plan.
func (c *chaos) write(step group.Step) {
	c.plan.revision++
	c.plan.rows.Apply(step)
}

// smallStep makes changes of several domains take several transactions.
const smallStep = 2

// step lets a keeper read, decide and act.
func (c *chaos) step(k *keeper) {
	if k.decider == nil || c.now.Before(k.paused) || !c.keeps(k) {
		return
	}
	if !c.now.Before(k.reads) && !c.now.Before(c.plan.away) {
		k.view.Apply(c.now, c.registry())
		k.reads = c.now.Add(c.span(600 * time.Millisecond))
	}
	if !c.now.Before(k.beats) && !c.now.Before(c.plan.away) {
		k.decider.ApplyHeartbeats(c.now, c.renewals())
		k.beats = c.now.Add(500 * time.Millisecond)
	}
	if c.demand {
		k.decider.FollowDemand(true, c.targets)
	}
	k.decider.ApplyView(c.now, k.view.View())
	c.act(k, k.decider.Step(c.now))
}

// keeps renews the row of a holder and reports whether its tenure lasts.
func (c *chaos) keeps(k *keeper) bool {
	if !c.now.Before(k.until) {
		c.logf("keeper %d: tenure ends", slices.Index(c.keepers, k))
		k.decider = nil
		return false
	}
	if !c.now.Before(k.renews) {
		k.renews = c.now.Add(duty.RenewInterval)
		if c.holder == k && !c.now.Before(c.plan.away) && !c.chance(20) {
			k.until = c.now.Add(duty.HoldTime)
		}
	}
	return true
}

// act carries out what a keeper has decided.
func (c *chaos) act(k *keeper, a group.Actions) {
	for _, n := range a.Decisions {
		c.logf("keeper %d: %s %s/%d %s", slices.Index(c.keepers, k), n.Decision, n.Group, n.Epoch, n.Reason)
	}
	for _, o := range a.Orders {
		out := c.deliver(o)
		c.logf("keeper %d: %s %s/%d to %s: %s", slices.Index(c.keepers, k), o.Kind, o.Group, o.Epoch, o.Server, out)
		k.decider.OrderDone(c.now, o, out)
	}
	for _, p := range a.Probes {
		c.probe(k, p)
	}
	for _, p := range a.PeerProbes {
		if e := c.byAddr[p.Address]; e == nil || e.cut || !e.alive {
			k.decider.PeerProbesDone(p.Server, 3, 0)
		} else {
			k.decider.PeerProbesDone(p.Server, 3, 3)
		}
	}
	if a.Commit != nil {
		c.commit(k, *a.Commit)
	}
}

// deliver carries an order to its engine, loses it, or carries it out late.
func (c *chaos) deliver(o group.Order) group.Outcome {
	e := c.byAddr[o.Address]
	if e == nil {
		return group.Rejected
	}
	if !e.alive || e.cut {
		if c.chance(2) {
			c.delay(e, o)
		}
		return group.Unknown
	}
	if e.id != o.Server {
		return group.Misdirected
	}
	switch c.src.IntN(20) {
	case 0:
		return group.Unknown
	case 1, 2:
		c.delay(e, o)
		return group.Unknown
	case 3:
		c.apply(e, o)
		return group.Unknown
	default:
		return c.apply(e, o)
	}
}

func (c *chaos) delay(e *engine, o group.Order) {
	if e.id == o.Server {
		c.late = append(c.late, late{at: c.now.Add(2*time.Second + c.span(longestLate)), to: e, order: o})
	}
}

func (c *chaos) probe(k *keeper, p group.Probe) {
	e := c.byAddr[p.Address]
	switch {
	case e == nil || !e.alive:
		k.decider.ProbeFailed(p.Server, c.chance(2))
	case e.cut || c.chance(30):
		k.decider.ProbeFailed(p.Server, false)
	default:
		k.decider.ProbeAnswered(c.now, p.Server, server.Report{Info: e.info(), Slowdown: 1})
	}
}

// commit stores a plan under its condition, in steps. Sometimes an answer is lost, or the store goes away in between.
func (c *chaos) commit(k *keeper, p group.Plan) {
	rows, ok := c.encode(p)
	if !ok {
		return
	}
	for i, step := range rows.Steps(k.stored, smallStep) {
		switch {
		case i == 0 && c.now.Before(c.plan.away):
			k.decider.CommitFailed()
			return
		case k.revision != c.plan.revision:
			k.decider = nil
			return
		case c.chance(20):
			if c.chance(2) {
				c.write(step)
			}
			k.decider = nil
			return
		}
		c.write(step)
		k.revision = c.plan.revision
	}
	k.stored = rows
	k.decider.Committed()
}

// String describes an outcome.
func (o Outcome) String() string {
	if o.Fault == "" {
		return fmt.Sprintf("%d heads opened, no rule broken", o.Opened)
	}
	return o.Fault
}
