// Package scale decides how many backend servers of a service each data centre should have, and how many groups of each model they
// should form, so that first tokens stay within their objective.
//
// Servers are kept for the highest demand that was observed, with much headroom. They are added at once when requests are late or the
// prediction says that they will be, and removed in few steps and only after a time without disturbance, because the platform chooses
// which servers to terminate and each of them may break up a group.
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

// DataCentre is the state of a data centre.
type DataCentre struct {
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
	// DataCentres holds the data centres with registered servers.
	DataCentres map[string]DataCentre
	// Open counts the open groups of data centres in service, by model.
	Open map[string]int
}

// Output is what should be.
type Output struct {
	// Desired holds the number of servers by data centre. It is nil until demand is known.
	Desired map[string]int
	// Groups holds the number of groups by model, Urgent the models that need more groups at once, and Late those whose requests are
	// late or refused. All are nil until demand is known.
	Groups map[string]int
	Urgent map[string]bool
	Late   map[string]bool
	// Models holds what the numbers follow from, by model.
	Models map[string]ModelState
	// Reason is why Desired has changed in this step, or "".
	Reason string
}

// ModelState is the measured demand for a model and what follows from it.
type ModelState struct {
	// Rate and Highest are the recent and the highest requests per second.
	Rate    float64
	Highest float64
	Mix     Mix
	// Capacity is that of a group in requests per second. Utilisation is that of the open groups by the recent rate.
	Capacity    float64
	Utilisation float64
	// FailedShare is the share of the recent requests that were refused or late.
	FailedShare float64
	// Needed is the number of groups that demand needs.
	Needed int
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
	// calmTime is the time without disturbance after which servers are removed. It is longer than the period of the usual oscillation
	// of demand, 11 s. Scaling in at 7 s saved 2% of the value and lost 10 to 30% of the requests on the first deployment.
	calmTime = 15 * time.Second
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
	// unitTolerance is how many expected units may be missing, so that a fraction of one is not taken for a lack.
	unitTolerance = 0.3
	// fragmentMargin is how many more expected units are ordered than are needed, because the platform may remove servers unevenly.
	fragmentMargin = 1.0
	// minStep and maxStepShare bound the number of servers that are removed in a step.
	minStep      = 6
	maxStepShare = 0.2
	// keptImbalance is how much busier than needed the groups of a model may be before groups are divided anew among the models.
	keptImbalance = 1.08
)

// Decider decides on the number of servers of one service. It does no I/O and is not safe for concurrent use. One decider is used for
// one tenure of the duty.
type Decider struct {
	est     estimator
	needs   map[string]*need
	centres map[string]*centreState
	out     Output
	// calmSince is since when nothing has happened that keeps servers from being removed.
	calmSince time.Time
	// domainSize is the largest number of servers seen in a fabric domain.
	domainSize int
}

// New returns a decider that has observed nothing.
func New() *Decider {
	return &Decider{needs: make(map[string]*need), centres: make(map[string]*centreState)}
}

// Step returns what should be. It is called about twice a second.
func (d *Decider) Step(now time.Time, in Input) Output {
	d.est.add(now, in.Demand)
	d.out.Reason = ""
	unit := unitSize(in.Engine)
	if unit == 0 || in.Bounds.Max <= 0 {
		return Output{}
	}
	lost := d.observeDataCentres(now, in)
	if !d.est.known() {
		d.calmSince = now
		return d.out
	}
	d.updateNeeds(now, in)
	if lost || d.isDisturbed(in) {
		d.calmSince = now
	}
	p := d.plan(now, in, unit)
	d.updateDesired(now, in, p)
	d.out.Groups = d.groups(in, p)
	d.out.Urgent, d.out.Late, d.out.Models = make(map[string]bool), make(map[string]bool), make(map[string]ModelState)
	for _, m := range in.Engine.Models {
		n := d.needs[m.Name]
		d.out.Urgent[m.Name] = in.Open[m.Name] < d.out.Groups[m.Name] && (n.late || in.Open[m.Name] < n.tight)
		d.out.Late[m.Name], d.out.Models[m.Name] = n.late, n.state
	}
	return d.out
}

// isDisturbed reports whether requests fail, reports or groups are missing, or a data centre serves nothing.
func (d *Decider) isDisturbed(in Input) bool {
	if d.est.silent() || total(d.est.last(recentBins), "").failedShare() >= calmShare {
		return true
	}
	for _, z := range d.centres {
		if z.out || z.lost {
			return true
		}
	}
	for _, m := range in.Engine.Models {
		wanted := d.needs[m.Name].groups
		if n, ok := d.out.Groups[m.Name]; ok {
			wanted = min(wanted, n)
		}
		if in.Open[m.Name] < wanted {
			return true
		}
	}
	return false
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
	// units is the number of units that the needs take, tight the number below which requests will be late, and have the number that the servers make
	// up that are there or booting.
	units      float64
	tight      float64
	have       float64
	candidates []candidate
	// lost is set if a data centre is out of service or lost.
	lost bool
	// counts are the smallest numbers of servers that suffice, by data centre.
	counts map[string]int
}

// plan determines the servers that the needs take.
func (d *Decider) plan(now time.Time, in Input, unit int) plan {
	p := plan{unit: unit}
	for _, m := range in.Engine.Models {
		if n := d.needs[m.Name]; n != nil {
			p.units += float64(n.groups * modelUnits(m, unit))
			p.tight += n.exact * utilisation / excessUtilisation * float64(modelUnits(m, unit))
		}
	}
	for _, name := range slices.Sorted(maps.Keys(d.centres)) {
		z := d.centres[name]
		if z.out || z.lost {
			p.lost = true
			continue
		}
		s := candidate{name: name, domains: z.sizes(now, in.Bounds, d.domainSize), min: in.Bounds.Min, max: in.Bounds.Max, demand: d.est.callerRate(name)}
		if z.undelivered(now, in.Bounds) {
			s.max = min(s.max, z.count)
			s.min = min(s.min, s.max)
		}
		if z.desired > 0 && z.count > z.desired { // Some of them are about to end.
			p.have += wholeUnits(s.domains, z.desired, unit, d.domainSize)
		} else {
			p.have += float64(countUnits(s.domains, unit))
		}
		p.candidates = append(p.candidates, s)
	}
	p.counts, _ = spread(p.candidates, p.units+fragmentMargin, unit, d.domainSize)
	return p
}

// updateDesired updates the desired number of servers.
func (d *Decider) updateDesired(now time.Time, in Input, p plan) {
	base, total, needed := make(map[string]int), 0, 0
	for _, s := range p.candidates {
		z := d.centres[s.name]
		base[s.name] = min(max(cmp.Or(z.desired, z.count), in.Bounds.Min), in.Bounds.Max)
		total += base[s.name]
		needed += p.counts[s.name]
	}
	next, reason, calm := maps.Clone(base), ReasonStart, now.Sub(d.calmSince) >= calmTime
	switch {
	case d.isShort(p):
		for name, n := range p.counts {
			next[name] = max(next[name], n)
		}
		reason = ReasonDemand
		if p.lost {
			reason = ReasonCapacity
		}
	case calm && total-needed >= minStep:
		for name, n := range p.counts {
			if z := d.centres[name]; n < z.count || !z.undelivered(now, in.Bounds) {
				next[name] = max(n, base[name]-int(maxStepShare*float64(base[name])))
			}
		}
		reason = ReasonScaleIn
	case d.out.Desired == nil && !calm:
		return // A new holder does not know the last order, and gives none without need.
	}
	d.setDesired(now, in, next, reason)
}

// isShort reports whether servers have to be added: requests are late and the servers do not suffice, or they will be.
func (d *Decider) isShort(p plan) bool {
	if p.have < p.tight {
		return true
	}
	for _, n := range d.needs {
		if n.late && p.have < p.units-unitTolerance {
			return true
		}
	}
	return false
}

// setDesired sets the desired numbers of servers: of data centres in service as given, of others see elsewhere.
func (d *Decider) setDesired(now time.Time, in Input, next map[string]int, reason string) {
	first := d.out.Desired == nil
	desired := make(map[string]int)
	for name, z := range d.centres {
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
			d.calmSince, d.out.Reason = now, reason
		}
	}
	if first {
		d.out.Reason = cmp.Or(d.out.Reason, reason)
	}
	d.out.Desired = desired
}

// elsewhere returns the desired number of servers of a data centre that is lost or out of service, or 0 for none. What was last
// ordered stays in force, so that a lost data centre is whole when it returns.
func (z *centreState) elsewhere(now time.Time, b Bounds) int {
	if z.out && now.Sub(z.outSince) >= evacuatedHold {
		return b.Min
	}
	return z.desired
}

// groups returns the number of groups by model, which together use all servers. If the servers do not suffice, the models share them so
// that their groups are equally busy. The last numbers are kept while they are nearly as good.
func (d *Decider) groups(in Input, p plan) map[string]int {
	available := unitTolerance
	for _, s := range p.candidates {
		available += wholeUnits(s.domains, cmp.Or(d.centres[s.name].desired, d.centres[s.name].count), p.unit, d.domainSize)
	}
	next, units := make(map[string]int), p.units
	for _, m := range in.Engine.Models {
		next[m.Name] = d.needs[m.Name].groups
	}
	if available < units {
		units = 0
		for _, m := range in.Engine.Models {
			next[m.Name] = 1
			units += float64(modelUnits(m, p.unit))
		}
	}
	spare := !d.lacksCentre()
	for d.addGroup(in.Engine, p, next, &units, available, spare) {
	}
	last := 0.0
	for _, m := range in.Engine.Models {
		last += float64(d.out.Groups[m.Name] * modelUnits(m, p.unit))
	}
	if d.out.Groups != nil && last <= available && available-last < 1 && d.busiest(d.out.Groups, spare) <= keptImbalance*d.busiest(next, spare) {
		return d.out.Groups
	}
	return next
}

// lacksCentre reports whether a data centre is lost or out of service, so that the others are short of servers.
func (d *Decider) lacksCentre() bool {
	for _, z := range d.centres {
		if z.lost || z.out {
			return true
		}
	}
	return false
}

// busiest returns the highest ratio of the load of a model to its number of groups, see need.loadOf.
func (d *Decider) busiest(groups map[string]int, spare bool) float64 {
	load := 0.0
	for name, n := range d.needs {
		load = max(load, n.loadOf(groups[name], spare))
	}
	return load
}

// addGroup adds a group of the model whose groups are busiest, if the units that are left suffice, and reports whether it did.
func (d *Decider) addGroup(e *batch.Engine, p plan, out map[string]int, units *float64, available float64, spare bool) bool {
	best, load := batch.Model{}, 0.0
	for _, m := range e.Models {
		l := d.needs[m.Name].loadOf(out[m.Name], spare)
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
