package plans

import (
	"fmt"
	"time"

	"geraniumhollow/internal/plan/form"
	"geraniumhollow/internal/plan/heal"
)

// Source draws the choices of an interleaving.
type Source interface {
	// IntN returns a number in [0, n).
	IntN(n int) int
}

// actor is one keeper of an interleaving.
type actor struct {
	domain  string
	decider *heal.Decider
	fence   uint64
	// believes is until when the keeper takes itself for the holder.
	believes time.Time
	paused   bool
}

// chaos is one interleaving.
type chaos struct {
	*world
	src    Source
	set    heal.Settings
	actors []*actor
	// holder and fences are the true duties by domain.
	holder map[string]*actor
	fences map[string]uint64
	lease  map[string]time.Time
	opened int
}

// Shape of an interleaving: two domains that share two free groups, and one that is bound.
const (
	chaosSteps   = 400
	domainHosts  = 5
	chaosLoad    = 4 * time.Second
	longestStep  = 900
	chaosKeepers = 3
)

// checkingDomain is the domain whose engines refuse old fencing numbers.
const checkingDomain = "b"

func chaosPlan() heal.Plan {
	p := heal.Plan{
		Domains: map[string]string{"a": "x", "b": "y"}, Hosts: make(map[string]heal.HostPlan),
		Groups: make(map[string]heal.GroupPlan),
	}
	for _, d := range []string{"a", "b"} {
		for i := range domainHosts {
			name := fmt.Sprintf("%s%d", d, i)
			p.Hosts[name] = heal.HostPlan{Domain: d, InService: true, Address: name, Accelerators: 1}
		}
	}
	for i, size := range []int{1, 2, 2, 3} {
		name := fmt.Sprintf("g%d", i)
		g := heal.GroupPlan{
			Name: name, Weights: form.Weights{Model: fmt.Sprintf("m%d", size), Version: "v1"}, Hosts: size,
			Wanted: true, Lack: float64(1 + i%2), WeightBytes: 1,
		}
		switch i {
		case 1:
			g.Domain = "a"
		case 2:
			g.Domain, g.ChecksFencing = checkingDomain, true
		}
		p.Groups[name] = g
	}
	return p
}

// Outcome is what an interleaving showed.
type Outcome struct {
	// Fault is empty when every rule held.
	Fault string
	// Opened counts routes that opened; a run without any proves nothing.
	Opened int
}

// Interleave runs one interleaving of keepers that may all take themselves for the holder of the
// duty, with faults of the table, the engines, the hosts and the operators.
func Interleave(src Source) Outcome {
	c := &chaos{
		world: newWorld(chaosPlan()), src: src, set: heal.DefaultSettings(),
		holder: make(map[string]*actor), fences: make(map[string]uint64), lease: make(map[string]time.Time),
	}
	c.instant = chaosLoad
	c.set.DrainTimeout = 20 * time.Second
	c.set.RebuildAfter = 10 * time.Second
	for range chaosKeepers {
		c.addActor("a")
	}
	c.addActor("b")
	c.addActor("b")
	for i := range chaosSteps {
		c.advance(time.Duration(100+c.src.IntN(longestStep)) * time.Millisecond)
		c.disturb()
		c.renew()
		for _, a := range c.actors {
			c.act(a)
		}
		if fault := c.check(); fault != "" {
			return Outcome{Fault: fmt.Sprintf("step %d: %s", i, fault), Opened: c.opened}
		}
	}
	return Outcome{Opened: c.opened}
}

func (c *chaos) addActor(domain string) {
	d := heal.New(c.set, domain, heal.DefaultPolicies())
	d.Configure(c.plan)
	c.actors = append(c.actors, &actor{domain: domain, decider: d})
}

func (c *chaos) check() string {
	if fault := c.checkRows(); fault != "" {
		return fault
	}
	deciders := make([]*heal.Decider, len(c.actors))
	for i, a := range c.actors {
		deciders[i] = a.decider
	}
	if fault := c.checkRoutes(deciders); fault != "" {
		return fault
	}
	if c.stale > 0 {
		return "an engine that ignores fencing took an order of an earlier keeper after one of a later"
	}
	return ""
}

// one reports true once in n on average.
func (c *chaos) one(n int) bool { return c.src.IntN(n) == 0 }

func (c *chaos) anyHost() string { return c.names[c.src.IntN(len(c.names))] }

// disturb lets something fail, return or change.
func (c *chaos) disturb() {
	switch c.src.IntN(40) {
	case 0, 1:
		c.kill(c.anyHost())
	case 2, 3, 4:
		c.revive(c.anyHost())
	case 5:
		name := c.anyHost()
		c.kill(name)
		c.revive(name)
	case 6:
		c.darken([]string{"a", "b"}[c.src.IntN(2)], true)
	case 7, 8:
		c.darken("a", false)
		c.darken("b", false)
	case 9:
		c.down = true
	case 10, 11, 12:
		c.down = false
	case 13:
		a := c.actors[c.src.IntN(len(c.actors))]
		a.paused = true
	case 14, 15, 16:
		for _, a := range c.actors {
			a.paused = false
		}
	case 17:
		c.operate()
	case 18:
		c.setDark(c.anyHost(), true)
	default:
	}
}

func (c *chaos) darken(domain string, dark bool) {
	for _, name := range c.names {
		if c.hosts[name].domain == domain {
			c.setDark(name, dark)
		}
	}
}

// operate is a change of the document, which the keepers see at different times.
func (c *chaos) operate() {
	p := heal.Plan{Domains: c.plan.Domains, Hosts: make(map[string]heal.HostPlan), Groups: make(map[string]heal.GroupPlan)}
	for k, v := range c.plan.Hosts {
		p.Hosts[k] = v
	}
	for k, v := range c.plan.Groups {
		p.Groups[k] = v
	}
	if c.one(2) {
		name := c.anyHost()
		h := p.Hosts[name]
		h.InService = !h.InService
		p.Hosts[name] = h
	} else {
		name := fmt.Sprintf("g%d", c.src.IntN(len(p.Groups)))
		g := p.Groups[name]
		switch c.src.IntN(3) {
		case 0:
			g.Wanted = !g.Wanted
		case 1:
			g.Domain = []string{"", "a", "b"}[c.src.IntN(3)]
			g.ChecksFencing = g.Domain == checkingDomain
		default:
			g.Weights.Version, g.Change = fmt.Sprintf("v%d", c.src.IntN(3)), true
		}
		p.Groups[name] = g
	}
	c.plan = p
	for _, a := range c.actors {
		c.after(time.Duration(c.src.IntN(4000))*time.Millisecond, func() { a.decider.Configure(p) })
	}
}

// renew moves the duties. A lease lapses after its lifetime without a renewal. The holder may then
// take itself for the holder for another lifetime, as one does that was paused between its check of
// the lease and what it does next.
func (c *chaos) renew() {
	for _, domain := range []string{"a", "b"} {
		h := c.holder[domain]
		if h != nil && !h.paused && !c.down && !c.one(60) && c.now.Before(c.lease[domain]) {
			c.lease[domain] = c.now.Add(c.set.LeaseLifetime)
			h.believes = c.now.Add(2 * c.set.LeaseLifetime)
			continue
		}
		// A holder that gives the duty up by consent may still believe that it holds it.
		lapsed := h == nil || !c.now.Before(c.lease[domain]) || c.one(100)
		if c.down || !lapsed {
			continue
		}
		next := c.actors[c.src.IntN(len(c.actors))]
		if next.domain != domain || next.paused {
			continue
		}
		if h != nil {
			h.believes = minTime(h.believes, c.now.Add(c.set.LeaseLifetime))
		}
		c.fences[domain]++
		next.fence = c.fences[domain]
		next.believes = c.now.Add(2 * c.set.LeaseLifetime)
		c.holder[domain], c.lease[domain] = next, c.now.Add(c.set.LeaseLifetime)
	}
}

func minTime(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// act lets a keeper hear reports, read rows and act.
func (c *chaos) act(a *actor) {
	if a.paused {
		return
	}
	for _, name := range c.names {
		if h := c.hosts[name]; h.domain == a.domain && h.reachable() && !c.one(8) {
			o := c.observe(h)
			c.after(time.Duration(c.src.IntN(600))*time.Millisecond, func() { a.decider.Report(name, o, c.now) })
		}
	}
	if !c.down && !c.one(4) {
		began, s := c.now, c.snapshot()
		c.after(time.Duration(c.src.IntN(1500))*time.Millisecond, func() { a.decider.Rows(s, began) })
	}
	a.decider.Duty(a.fence, a.fence > 0 && c.now.Before(a.believes), c.now)
	acts := a.decider.Step(c.now)
	c.opened += len(acts.Opened)
	for _, commit := range acts.Commits {
		c.send(a, commit)
	}
	for _, o := range acts.Orders {
		c.deliver(o)
	}
}

// send gives a transaction to the table. It may fail, take effect late, or lose its answer.
func (c *chaos) send(a *actor, commit heal.Commit) {
	late := time.Duration(c.src.IntN(800)) * time.Millisecond
	c.after(late, func() {
		if c.down {
			a.decider.Committed(commit.ID, heal.Conflict, 0, c.now)
			return
		}
		switch c.src.IntN(8) {
		case 0:
			// The answer is lost after the write took effect.
			c.apply(commit)
			a.decider.Committed(commit.ID, heal.Unknown, 0, c.now)
		case 1:
			// The write takes effect long after the caller has given up.
			a.decider.Committed(commit.ID, heal.Unknown, 0, c.now)
			c.after(time.Duration(c.src.IntN(8000))*time.Millisecond, func() { c.apply(commit) })
		case 2:
			// The write is lost, and nobody knows.
			a.decider.Committed(commit.ID, heal.Unknown, 0, c.now)
		default:
			result, revision := c.apply(commit)
			a.decider.Committed(commit.ID, result, revision, c.now)
		}
	})
}

// deliver gives an order to an engine: soon, late, twice or never.
func (c *chaos) deliver(o heal.Order) {
	switch c.src.IntN(8) {
	case 0:
		return
	case 1:
		c.after(time.Duration(c.src.IntN(int(c.set.MaxOrder))), func() { c.receive(o) })
	case 2:
		c.after(time.Duration(c.src.IntN(int(c.set.MaxOrder))), func() { c.receive(o) })
	}
	c.after(time.Duration(c.src.IntN(300))*time.Millisecond, func() { c.receive(o) })
}
