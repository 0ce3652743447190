package heal

import (
	"reflect"
	"slices"
	"time"

	"geraniumhollow/internal/plan/form"
	"geraniumhollow/internal/plan/loads"
)

// order tells engines what the rows say, where their reports differ. It is not called while a
// transaction is on its way, so that no order rests on a row that may not have been written.
func (d *Decider) order(now time.Time) {
	if len(d.pending) > 0 {
		return
	}
	d.settleLoads()
	var jobs []loads.Job
	for _, g := range d.ownGroups() {
		if _, ok := d.arrival[g]; !ok {
			d.arrival[g] = d.arrivals
			d.arrivals++
		}
		job, ok := d.orderGroup(g, d.arrival[g], now)
		if !ok {
			delete(d.arrival, g)
			continue
		}
		jobs = append(jobs, job)
	}
	d.startLoads(jobs, now)
	d.dropStrangers(now)
}

// settleLoads forgets loads that are done.
func (d *Decider) settleLoads() {
	for name, l := range d.loading {
		if h := d.hosts[name]; h == nil || slices.Contains(h.obs.Loaded, l.weights) {
			delete(d.loading, name)
		}
	}
}

// orderGroup orders the members of a group that need no load, and returns the loads of the others.
func (d *Decider) orderGroup(g string, seq int, now time.Time) (loads.Job, bool) {
	row := d.snap.Groups[g].Row
	p, ok := d.plan.Groups[g]
	// What the document says of the engines of a group holds where the group may run. Elsewhere it is
	// about to be released and needs no orders.
	allowed := ok && p.Wanted && p.allows(d.domain, d.plan.Domains[d.domain])
	if !allowed || !d.waitedOut(p.ChecksFencing, now) {
		return loads.Job{}, false
	}
	job := loads.Job{Group: g, Weight: max(p.Lack, minLack), Seq: seq}
	for _, name := range row.Hosts {
		h := d.hosts[name]
		mine := d.snap.Hosts[name].Row
		if h == nil || !h.up || mine.Group != g || mine.Generation != row.Generation {
			continue
		}
		if now.Before(h.heldUntil) {
			continue
		}
		o, needed := d.wanted(g, name, row, p)
		if !needed {
			continue
		}
		if o.Kind == Join && slices.Contains(h.obs.Loaded, o.Weights) {
			d.send(h, o, now)
			continue
		}
		job.Loads = append(job.Loads, loads.Load{Host: name, Bytes: p.WeightBytes, Links: []int{0}})
	}
	return job, len(job.Loads) > 0
}

// minLack keeps the weight of a load positive.
const minLack = 1e-6

// wanted returns the order that a member needs, if any.
func (d *Decider) wanted(g, name string, row GroupRow, p GroupPlan) (Order, bool) {
	obs := d.hosts[name].obs
	o := Order{
		Kind: Join, Host: name, Fence: d.fence, Group: g, Generation: row.Generation,
		Hosts: row.Hosts, Weights: row.Weights, Adapters: row.Adapters,
	}
	switch {
	case obs.Group != g || obs.Generation != row.Generation || !slices.Contains(obs.Loaded, row.Weights):
		return o, true
	case p.Change && d.changed(row, p) && !slices.Contains(obs.Loaded, p.Weights):
		o.Kind, o.Weights, o.Adapters = Load, p.Weights, p.Adapters
		return o, true
	default:
		return Order{}, false
	}
}

// waitedOut reports whether no order of an earlier keeper can still reach engines that ignore the
// fencing number.
func (d *Decider) waitedOut(checksFencing bool, now time.Time) bool {
	return checksFencing || now.Sub(d.since) >= d.set.LeaseLifetime+d.set.MaxOrder
}

// startLoads starts loads in the order of plan/loads, with a bounded share for groups from other
// domains, and repeats those on their way.
func (d *Decider) startLoads(jobs []loads.Job, now time.Time) {
	links := []loads.Link{{Name: "weight_store"}}
	running := make([]loads.Running, 0, len(d.loading)+len(jobs))
	displaced := 0
	for _, name := range sortedKeys(d.loading) {
		l := d.loading[name]
		running = append(running, loads.Running{Host: name, Links: []int{0}, Started: l.started})
		if l.displaced {
			displaced++
		}
	}
	limit := max(1, d.set.LoadsAtOnce/2)
	var first, second []loads.Job
	for _, j := range jobs {
		if d.snap.Groups[j.Group].Row.Displaced() {
			second = append(second, j)
		} else {
			first = append(first, j)
		}
		for _, l := range j.Loads {
			if _, ok := d.loading[l.Host]; ok {
				d.sendLoad(j.Group, l.Host, now)
			}
		}
	}
	starts := d.starter.Next(first, links, running)
	for _, s := range starts {
		running = append(running, loads.Running{Host: s.Load.Host, Links: s.Load.Links})
	}
	more := d.starter.Next(second, links, running)
	starts = append(starts, more[:min(len(more), max(0, limit-displaced))]...)
	for _, s := range starts {
		row := d.snap.Groups[s.Group].Row
		if o, ok := d.wanted(s.Group, s.Load.Host, row, d.plan.Groups[s.Group]); ok {
			d.loading[s.Load.Host] = load{weights: o.Weights, displaced: row.Displaced(), started: now}
			d.sendLoad(s.Group, s.Load.Host, now)
		}
	}
}

func (d *Decider) sendLoad(g, name string, now time.Time) {
	if o, ok := d.wanted(g, name, d.snap.Groups[g].Row, d.plan.Groups[g]); ok {
		d.send(d.hosts[name], o, now)
	}
}

// send emits an order, and the same order again only after OrderRepeat.
func (d *Decider) send(h *host, o Order, now time.Time) {
	if reflect.DeepEqual(h.ordered, o) && now.Sub(h.orderedAt) < d.set.OrderRepeat {
		return
	}
	h.ordered, h.orderedAt = o, now
	d.out.Orders = append(d.out.Orders, o)
}

// dropStrangers ends the membership of hosts that report a group which their row does not give them.
func (d *Decider) dropStrangers(now time.Time) {
	if !d.waitedOut(false, now) {
		return
	}
	for _, name := range d.hostNames {
		h := d.hosts[name]
		row := d.snap.Hosts[name].Row
		if !h.up || h.obs.Group == "" || row.Group != "" || d.pinned(name) {
			continue
		}
		d.send(h, Order{Kind: Drop, Host: name, Fence: d.fence, Weights: form.Weights{}}, now)
		d.note("host", name, "drop", "its row gives it no group")
	}
}

// pinned reports whether the document has the host in a pinned group, which the keeper never touches.
func (d *Decider) pinned(name string) bool { return d.plan.Hosts[name].Pinned }
