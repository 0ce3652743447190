// Package scale decides how many backend servers of a service each data centre should have, and how many groups of each model they
// should form, so that first tokens stay within their objective.
//
// Servers are ordered for the demand that was observed, with headroom. An order takes effect after a server has booted and loaded
// weights, about twice the period in which demand oscillates, so capacity follows the mean and the peak of a window rather than
// demand itself. It is raised at once, and lowered in few large steps, because the platform chooses which servers to terminate and
// each of them may break up a group.
package scale

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"geraniumhollow/internal/route/batch"
)

// Bounds are the limits of the number of servers of each data centre.
type Bounds struct {
	Min int
	Max int
	// Boot is the time from an order until a new server is registered.
	Boot time.Duration
}

// Zone is the state of a data centre.
type Zone struct {
	// OutOfService is set on a data centre whose servers get no requests.
	OutOfService bool
	// Domains holds the number of servers that may serve, by fabric domain.
	Domains map[string]int
	// Draining is the number of servers that are about to end.
	Draining int
}

// Input is what is known at a step.
type Input struct {
	// Demand holds the requests that were reported since the last step.
	Demand Demand
	Engine *batch.Engine
	// Objectives holds the objectives for the first token of an answer, by model. A model without one has none.
	Objectives map[string]time.Duration
	Bounds     Bounds
	// Zones holds the data centres with registered servers.
	Zones map[string]Zone
	// Open counts the open groups of data centres in service, by model.
	Open map[string]int
}

// Output is what should be.
type Output struct {
	// Desired holds the number of servers by data centre. It is nil until demand is known.
	Desired map[string]int
	// Groups holds the number of groups by model, and Urgent the models that need more groups at once. Both are nil until demand is
	// known.
	Groups map[string]int
	Urgent map[string]bool
	// Reason is why Desired has changed in this step, or "".
	Reason string
}

// Reasons of a change.
const (
	ReasonStart     = "first_order"
	ReasonDemand    = "demand"
	ReasonCapacity  = "capacity_lost"
	ReasonScaleIn   = "scale_in"
	ReasonEvacuated = "out_of_service"
)

// Times of decisions.
const (
	// splitAfter is how long demand is observed before groups follow it, and servers are added for it. A second of demand may lack
	// the reports of some nodes.
	splitAfter = 2500 * time.Millisecond
	// inAfter is how long demand is observed before servers are removed. The mean of 7 s around a trough of a period of 11 s is at most
	// a tenth too low, which the assumed swing makes up for.
	inAfter = 7 * time.Second
	// settleTime is how long demand is observed before servers are removed although groups are missing. In simulations of the first
	// deployment (gauge sizes), 0 s and 25 s gave less than 12 s.
	settleTime = 12 * time.Second
	// growTime is the same for the time since servers were last added. Many servers load weights at a limited rate.
	growTime = 40 * time.Second
	// inInterval is the time from a change of the number of servers to their next reduction.
	inInterval = 15 * time.Second
	// silenceHold is how long after a data centre without requests was seen servers are not removed.
	silenceHold = 12 * time.Second
	// evacuatedHold is how long a data centre is out of service before its servers are reduced to the minimum.
	evacuatedHold = 15 * time.Second
	// bootMargin is added to the boot time of servers that are counted although they are not registered yet.
	bootMargin = 4 * time.Second
	// lossTime is the time in which a data centre has lost the share lossShare of its servers if it counts as lost.
	lossTime  = 5 * time.Second
	lossShare = 0.5
)

// Numbers of units and servers.
const (
	// unitTolerance is how many expected units may be missing, so that a fraction does not cost a server in each domain.
	unitTolerance = 0.3
	// fragmentSlack is how many units may be missing after servers were removed unevenly, before servers are added again. It is less
	// than the headroom.
	fragmentSlack = 1.0
	// minStep and minStepShare bound from below the number of servers that are removed in a step.
	minStep      = 6
	minStepShare = 0.03
)

// urgentShare is the share of the groups that a model needs below which it needs more at once.
const urgentShare = 0.85

// Decider decides on the number of servers of one service. It does no I/O and is not safe for concurrent use. One decider is used for
// one tenure of the duty.
type Decider struct {
	est      estimator
	needs    map[string]*need
	zones    map[string]*zoneState
	out      Output
	raisedAt time.Time
	// changedAt is when the desired number of servers last changed, silentAt when a data centre was last seen without requests.
	changedAt time.Time
	silentAt  time.Time
	// grewAt is when a data centre last got servers.
	grewAt time.Time
	// domainSize is the largest number of servers seen in a fabric domain.
	domainSize int
}

// New returns a decider that has observed nothing.
func New() *Decider {
	return &Decider{needs: make(map[string]*need), zones: make(map[string]*zoneState)}
}

// Step returns what should be. It is called about once a second.
func (d *Decider) Step(now time.Time, in Input) Output {
	d.est.add(now, in.Demand)
	d.out.Reason = ""
	unit := unitSize(in.Engine)
	if unit == 0 || in.Bounds.Max <= 0 {
		return Output{}
	}
	d.observeZones(now, in)
	if d.est.silent() {
		d.silentAt = now
	}
	if d.est.age(now) < splitAfter {
		return d.out
	}
	d.updateNeeds(now, in)
	p := d.plan(now, in, unit)
	d.updateDesired(now, in, p)
	d.out.Groups = d.groups(in, p)
	d.out.Urgent = make(map[string]bool)
	for name, n := range d.needs {
		wanted := d.out.Groups[name]
		d.out.Urgent[name] = in.Open[name] < wanted && (n.overloaded || float64(in.Open[name]) < urgentShare*float64(wanted))
	}
	return d.out
}

// unitSize returns the number of servers in a group of the smallest model, or 0 if the engine is not described.
func unitSize(e *batch.Engine) int {
	if e == nil || e.MaxRequests <= 0 || len(e.Models) == 0 {
		return 0
	}
	return max(0, slices.MinFunc(e.Models, func(a, b batch.Model) int { return a.Hosts - b.Hosts }).Hosts)
}

// modelUnits returns the number of units that a group of a model takes.
func modelUnits(m batch.Model, unit int) int { return max(1, (m.Hosts+unit-1)/unit) }

// plan is what the needs take in servers.
type plan struct {
	unit int
	// units is the number of units that the needs take, tight the number without headroom, and have the number that the servers make
	// up that are there or booting.
	units float64
	tight float64
	have  float64
	sites []site
	// counts are the smallest numbers of servers that suffice, by data centre.
	counts map[string]int
}

// plan determines the servers that the needs take.
func (d *Decider) plan(now time.Time, in Input, unit int) plan {
	p := plan{unit: unit}
	for _, m := range in.Engine.Models {
		if n := d.needs[m.Name]; n != nil {
			p.units += float64(n.groups * modelUnits(m, unit))
			p.tight += float64(n.tight * modelUnits(m, unit))
		}
	}
	for _, name := range slices.Sorted(maps.Keys(d.zones)) {
		z := d.zones[name]
		if z.out || z.lost {
			continue
		}
		s := site{name: name, domains: z.sizes(now, in.Bounds, d.domainSize), min: in.Bounds.Min, max: in.Bounds.Max, demand: d.est.siteRate(name)}
		if z.undelivered(now, in.Bounds) {
			s.max = min(s.max, z.count)
			s.min = min(s.min, s.max)
		}
		if z.desired > 0 && z.count > z.desired { // Some of them are about to end.
			p.have += wholeUnits(s.domains, z.desired, unit, d.domainSize)
		} else {
			p.have += float64(countUnits(s.domains, unit))
		}
		p.sites = append(p.sites, s)
	}
	if p.have >= p.units {
		d.raisedAt = time.Time{}
	}
	p.counts, _ = spread(p.sites, p.units-unitTolerance, unit, d.domainSize)
	return p
}

// updateDesired updates the desired number of servers.
func (d *Decider) updateDesired(now time.Time, in Input, p plan) {
	short := d.isShort(p)
	base, total, needed := make(map[string]int), 0, 0
	for _, s := range p.sites {
		z := d.zones[s.name]
		base[s.name] = min(max(z.desired, in.Bounds.Min), in.Bounds.Max)
		if z.desired == 0 {
			base[s.name] = min(max(z.count, in.Bounds.Min), in.Bounds.Max)
		}
		total += base[s.name]
		needed += p.counts[s.name]
	}
	next, reason := maps.Clone(base), ReasonStart
	step := max(minStep, int(minStepShare*float64(total)))
	switch {
	case short:
		for name, n := range p.counts {
			next[name] = max(next[name], n)
		}
		reason = ReasonCapacity
		if d.raisedAt.After(d.changedAt) {
			reason = ReasonDemand
		}
	case total-needed >= step && d.mayScaleIn(now, in):
		for name, n := range p.counts {
			if z := d.zones[name]; n < z.count || !z.undelivered(now, in.Bounds) {
				next[name] = n
			}
		}
		reason = ReasonScaleIn
	case d.est.age(now) < inAfter:
		return // A new holder does not know the last order, and gives none without need.
	}
	d.setDesired(now, in, next, reason)
}

// isShort reports whether servers have to be added.
func (d *Decider) isShort(p plan) bool {
	switch {
	case !d.est.full():
		// The mean and the peak are not known yet, and servers that turn out not to be needed are removed only later.
		return p.have < p.tight
	case d.raisedAt.After(d.changedAt):
		return p.have < p.units
	default:
		return p.have+fragmentSlack < p.units
	}
}

// mayScaleIn reports whether servers may be removed now.
func (d *Decider) mayScaleIn(now time.Time, in Input) bool {
	return d.est.age(now) >= inAfter && !d.est.rising() && d.settled(now, in) &&
		(d.changedAt.IsZero() || now.Sub(d.changedAt) >= inInterval) && (d.silentAt.IsZero() || now.Sub(d.silentAt) >= silenceHold)
}

// settled reports whether the groups that are needed are open, or have had time to be formed. Before, servers that are removed break
// up groups whose replacements still load weights.
func (d *Decider) settled(now time.Time, in Input) bool {
	if d.est.age(now) >= settleTime && (d.grewAt.IsZero() || now.Sub(d.grewAt) >= growTime) {
		return true
	}
	for _, m := range in.Engine.Models {
		if in.Open[m.Name] < d.needs[m.Name].groups {
			return false
		}
	}
	return true
}

// setDesired sets the desired numbers of servers: of data centres in service as given, of others see elsewhere.
func (d *Decider) setDesired(now time.Time, in Input, next map[string]int, reason string) {
	first := d.out.Desired == nil
	desired := make(map[string]int)
	for name, z := range d.zones {
		n, ok := next[name]
		if !ok {
			n = z.elsewhere(now, in.Bounds)
		}
		if n == 0 {
			continue
		}
		desired[name] = n
		if n == z.desired {
			continue
		}
		z.desired, z.orderedAt = n, now
		switch {
		case !ok:
			d.out.Reason = cmp.Or(d.out.Reason, ReasonEvacuated)
		case reason != ReasonStart:
			d.changedAt, d.out.Reason = now, reason
		}
	}
	if first {
		d.out.Reason = cmp.Or(d.out.Reason, reason)
	}
	d.out.Desired = desired
}

// elsewhere returns the desired number of servers of a data centre that is lost or out of service, or 0 for none. What was last
// ordered stays in force, so that a lost data centre is whole when it returns.
func (z *zoneState) elsewhere(now time.Time, b Bounds) int {
	if z.out && now.Sub(z.outSince) >= evacuatedHold {
		return b.Min
	}
	return z.desired
}

// groups returns the number of groups by model. If the servers do not suffice, the models share them so that their groups are equally
// busy. If the minimum is more than is needed, all of it is used.
func (d *Decider) groups(in Input, p plan) map[string]int {
	out := make(map[string]int)
	for _, m := range in.Engine.Models {
		out[m.Name] = d.needs[m.Name].groups
	}
	available, atMin := 0.0, true
	for _, s := range p.sites {
		n := cmp.Or(d.zones[s.name].desired, d.zones[s.name].count)
		available += wholeUnits(s.domains, n, p.unit, d.domainSize)
		atMin = atMin && n <= in.Bounds.Min
	}
	units := p.units
	switch {
	case available < units-fragmentSlack-unitTolerance, !d.est.full() && available < units:
		for _, m := range in.Engine.Models {
			units -= float64((out[m.Name] - 1) * modelUnits(m, p.unit))
			out[m.Name] = 1
		}
	case !atMin:
		return out
	}
	for d.addGroup(in.Engine, p, out, &units, available) {
	}
	return out
}

// addGroup adds a group of the model whose groups are busiest, if the units that are left suffice, and reports whether it did.
func (d *Decider) addGroup(e *batch.Engine, p plan, out map[string]int, units *float64, available float64) bool {
	best, load := batch.Model{}, 0.0
	for _, m := range e.Models {
		l := d.needs[m.Name].exact / float64(out[m.Name])
		if l > load && *units+float64(modelUnits(m, p.unit)) <= available {
			best, load = m, l
		}
	}
	if load == 0 {
		return false
	}
	out[best.Name]++
	*units += float64(modelUnits(best, p.unit))
	return true
}
