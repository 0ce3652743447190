package heal

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"geraniumhollow/internal/plan/form"
)

// markBatch bounds the host rows of one transaction that only tells other keepers about hosts.
const markBatch = 64

// darkShare is the share of a domain's hosts past which their loss makes the domain dark.
const darkShare = 0.5

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// change decides the transactions of this step. Those that come first take rows that later ones then
// leave alone until the next step.
func (d *Decider) change(now time.Time) {
	d.retire(now)
	d.upgrade(now)
	waiting := d.replace(now)
	d.giveUp(waiting, now)
	d.place(now)
	d.markReady()
	d.markHosts(now)
}

// commit emits a transaction that gives a group new hosts, or none, under its next generation.
func (d *Decider) commit(g string, row GroupRow, now time.Time) {
	old := d.snap.Groups[g]
	row.Generation = old.Row.Generation + 1
	row.Fence = d.fence
	row.Ready = false
	c := Commit{
		ID:     d.nextID,
		Hosts:  make(map[string]Versioned[HostRow]),
		Groups: map[string]Versioned[GroupRow]{g: {Row: row, Revision: old.Revision}},
	}
	for _, name := range old.Row.Hosts {
		c.Hosts[name] = d.hostRow(name, "", 0, now)
	}
	for _, name := range row.Hosts {
		c.Hosts[name] = d.hostRow(name, g, row.Generation, now)
	}
	d.emit(c)
}

// hostRow returns the next row of a host with the revision of the present one.
func (d *Decider) hostRow(name, group string, generation uint64, now time.Time) Versioned[HostRow] {
	old := d.snap.Hosts[name]
	row := HostRow{Group: group, Generation: generation, State: d.state(name, now), Loaded: old.Row.Loaded, Fence: d.fence}
	if row.State == "" {
		row.State = old.Row.State
	}
	if h := d.hosts[name]; h != nil && h.seen {
		row.Loaded = h.obs.Loaded
	}
	return Versioned[HostRow]{Row: row, Revision: old.Revision}
}

func (d *Decider) emit(c Commit) {
	for name := range c.Hosts {
		d.touched.Add(HostPrefix + name)
	}
	for name := range c.Groups {
		d.touched.Add(GroupPrefix + name)
	}
	d.pending[c.ID] = c
	d.nextID++
	d.out.Commits = append(d.out.Commits, c)
}

// draining returns why a group whose members all report well must not be sent new work, or "".
func (d *Decider) draining(g string, row GroupRow, now time.Time) string {
	p, ok := d.plan.Groups[g]
	switch {
	case !ok:
		return "the document has no such group without pinned hosts"
	case !p.Wanted:
		return "the group is out of service or not needed now"
	case !p.allows(d.domain, d.plan.Domains[d.domain]) || len(row.Hosts) != p.Hosts:
		return "the document asks for another place or size"
	}
	for _, name := range row.Hosts {
		if s := d.state(name, now); s == Out || s == Leaving {
			return name + " is leaving or out of service"
		}
	}
	if p.Change && d.changed(row, p) && d.allLoaded(row.Hosts, p.Weights) {
		return "the next version is loaded on every member"
	}
	return ""
}

func (d *Decider) changed(row GroupRow, p GroupPlan) bool {
	return row.Weights != p.Weights || !slices.Equal(row.Adapters, p.Adapters)
}

func (d *Decider) allLoaded(names []string, w form.Weights) bool {
	for _, name := range names {
		if h := d.hosts[name]; h == nil || !h.up || !slices.Contains(h.obs.Loaded, w) {
			return false
		}
	}
	return true
}

// drained reports whether nothing runs on a closed group any longer, or the wait for it is over.
func (d *Decider) drained(g string, row GroupRow, now time.Time) bool {
	if _, open := d.routes[g]; open {
		return false
	}
	closed := maxTime(d.closedAt[g], d.since)
	if age := now.Sub(closed); age < d.set.DrainNotice || age >= d.set.DrainTimeout {
		return age >= d.set.DrainTimeout
	}
	for _, name := range row.Hosts {
		h := d.hosts[name]
		if h == nil || !h.up {
			// A lost member has ended every request of the group.
			return true
		}
		inGroup := h.obs.Group == g && h.obs.Generation == row.Generation
		if inGroup && (h.obs.Running > 0 || !h.obs.At.After(closed.Add(d.set.DrainNotice))) {
			return false
		}
	}
	return true
}

// retire releases the hosts of groups that are not wanted here, after they have drained.
func (d *Decider) retire(now time.Time) {
	for _, g := range d.ownGroups() {
		row := d.snap.Groups[g].Row
		p, ok := d.plan.Groups[g]
		keep := ok && p.Wanted && p.allows(d.domain, d.plan.Domains[d.domain]) && len(row.Hosts) == p.Hosts
		if keep && d.plan.Domains[d.domain] != "" {
			continue
		}
		if !d.drained(g, row, now) {
			d.note("group", g, "draining", "to hand its hosts back")
			continue
		}
		row.Hosts = nil
		d.commit(g, row, now)
		d.note("group", g, "released", "drained and not wanted here")
	}
}

// upgrade moves groups to the version and adapters of the document once every member has loaded them
// and the group has drained.
func (d *Decider) upgrade(now time.Time) {
	for _, g := range d.ownGroups() {
		row := d.snap.Groups[g].Row
		p := d.plan.Groups[g]
		if d.touched.Has(GroupPrefix+g) || !p.Change || !d.changed(row, p) {
			continue
		}
		if !d.allLoaded(row.Hosts, p.Weights) {
			d.note("group", g, "loading", "the present version serves until the next is loaded")
			continue
		}
		if d.drained(g, row, now) {
			row.Weights, row.Adapters = p.Weights, p.Adapters
			d.commit(g, row, now)
			d.note("group", g, "upgraded", "every member has loaded the next version")
		}
	}
}

// missing returns the members of a group that have to be replaced, and whether all of them still
// run, so that the group has to drain first.
func (d *Decider) missing(row GroupRow, now time.Time) ([]string, bool) {
	var out []string
	graceful := true
	for _, name := range row.Hosts {
		switch d.state(name, now) {
		case Lost, Gone, Held:
			out, graceful = append(out, name), false
		case Leaving, Out:
			out = append(out, name)
			graceful = graceful && d.hosts[name] != nil && d.hosts[name].up
		default:
		}
	}
	return out, graceful
}

// freeHosts returns the hosts of the own domain that can be given to a group now.
func (d *Decider) freeHosts(now time.Time) []form.Host {
	var out []form.Host
	for _, name := range d.hostNames {
		if d.snap.Hosts[name].Row.Group != "" || d.touched.Has(HostPrefix+name) || d.state(name, now) != Usable {
			continue
		}
		out = append(out, form.Host{Name: name, Domain: d.domain, Loaded: d.hosts[name].obs.Loaded})
	}
	return out
}

// replace gives spares of the domain to groups that have lost members, most lacking first, and
// returns the groups for which there is none. The members that are left keep their weights.
func (d *Decider) replace(now time.Time) []string {
	in := form.Input{Domains: []form.Domain{{Name: d.domain}}, Hosts: d.freeHosts(now)}
	gone := make(map[string][]string)
	for _, g := range d.ownGroups() {
		row := d.snap.Groups[g].Row
		names, graceful := d.missing(row, now)
		if len(names) == 0 || d.touched.Has(GroupPrefix+g) {
			delete(d.broken, g)
			continue
		}
		if graceful && !d.drained(g, row, now) {
			continue
		}
		if _, ok := d.broken[g]; !ok {
			d.broken[g] = now
		}
		gone[g] = names
		r := d.plan.Groups[g].request(row)
		r.Weights, r.Hosts, r.Domain, r.Home = row.Weights, len(names), d.domain, d.domain
		in.Requests = append(in.Requests, r)
	}
	var waiting []string
	for _, c := range d.placer(in) {
		if !c.Placed() {
			waiting = append(waiting, c.Group)
			d.note("group", c.Group, "waits_for_spare", string(c.Reason.Cause))
			continue
		}
		row := d.snap.Groups[c.Group].Row
		row.Hosts = slices.Clone(row.Hosts)
		for i, name := range gone[c.Group] {
			row.Hosts[slices.Index(row.Hosts, name)] = c.Hosts[i]
		}
		d.commit(c.Group, row, now)
		d.note("group", c.Group, "member_replaced", "a spare of the domain takes the place of a missing member")
	}
	return waiting
}

// giveUp releases broken groups, most lacking first, that have room in another domain. Where two
// wait for spares in this domain, the least lacking one gives its hosts to the others.
func (d *Decider) giveUp(waiting []string, now time.Time) {
	dark := d.dark(now)
	var ripe []string
	for _, g := range waiting {
		if dark || now.Sub(d.broken[g]) >= d.set.RebuildAfter {
			ripe = append(ripe, g)
		}
	}
	if len(ripe) == 0 {
		return
	}
	in := d.picture()
	in.Domains = slices.DeleteFunc(in.Domains, func(fd form.Domain) bool { return fd.Name == d.domain })
	for _, g := range ripe {
		in.Requests = append(in.Requests, d.plan.Groups[g].request(d.snap.Groups[g].Row))
	}
	moved := false
	for _, c := range d.placer(in) {
		if c.Placed() && slices.Contains(ripe, c.Group) {
			moved = true
			d.release(c.Group, now, "a domain with room is "+c.Domain)
		}
	}
	if !moved && !dark && len(ripe) > 1 {
		d.release(ripe[len(ripe)-1], now, "its hosts complete groups that callers lack more")
	}
}

func (d *Decider) release(g string, now time.Time, why string) {
	row := d.snap.Groups[g].Row
	row.Hosts = nil
	d.commit(g, row, now)
	d.note("group", g, "released", why)
}

// dark reports whether so many hosts of the domain are lost that waiting for spares is in vain.
func (d *Decider) dark(now time.Time) bool {
	lost, all := 0, 0
	for name := range d.hosts {
		switch d.state(name, now) {
		case Lost, Gone:
			lost++
			all++
		case Usable, Held:
			all++
		default:
		}
	}
	return all > 1 && float64(lost) > darkShare*float64(all)
}

// picture returns the placement problem of the whole fleet as the rows show it to every keeper.
func (d *Decider) picture() form.Input {
	var in form.Input
	returning := make(map[string]int)
	for _, name := range d.allHosts {
		p := d.plan.Hosts[name]
		row := d.snap.Hosts[name].Row
		if !p.InService || row.Group != "" {
			continue
		}
		switch row.State {
		case Usable:
			in.Hosts = append(in.Hosts, form.Host{Name: name, Domain: p.Domain, Accelerators: p.Accelerators, Loaded: row.Loaded})
		case Lost, Held:
			returning[p.Domain]++
		default:
		}
	}
	for _, name := range sortedKeys(d.plan.Domains) {
		in.Domains = append(in.Domains, form.Domain{Name: name, DataCentre: d.plan.Domains[name], Returning: returning[name]})
	}
	for _, g := range d.groupNames {
		p := d.plan.Groups[g]
		in.Sizes = append(in.Sizes, p.Hosts)
		row := d.snap.Groups[g].Row
		if p.Wanted && len(row.Hosts) == 0 {
			in.Requests = append(in.Requests, p.request(row))
		}
	}
	slices.Sort(in.Sizes)
	in.Sizes = slices.Compact(in.Sizes)
	return in
}

// place gives hosts to waiting groups that belong into this domain.
func (d *Decider) place(now time.Time) {
	if !d.anyWaits() || len(d.freeHosts(now)) == 0 {
		return
	}
	in := d.picture()
	for _, c := range d.placer(in) {
		if !c.Placed() {
			d.note("group", c.Group, "waits", string(c.Reason.Cause))
			continue
		}
		if c.Domain != d.domain || !d.stillFree(c.Hosts, now) || d.touched.Has(GroupPrefix+c.Group) {
			continue
		}
		p := d.plan.Groups[c.Group]
		old := d.snap.Groups[c.Group].Row
		d.commit(c.Group, GroupRow{
			Domain: d.domain, Home: cmp.Or(old.Home, old.Domain), Hosts: c.Hosts, Weights: p.Weights, Adapters: p.Adapters,
		}, now)
		d.note("group", c.Group, "placed", string(c.Reason.Cause))
	}
}

// anyWaits reports whether a wanted group has no hosts.
func (d *Decider) anyWaits() bool {
	for _, g := range d.groupNames {
		if d.plan.Groups[g].Wanted && len(d.snap.Groups[g].Row.Hosts) == 0 {
			return true
		}
	}
	return false
}

// stillFree reports whether hosts that the rows show as free are so in this step.
func (d *Decider) stillFree(names []string, now time.Time) bool {
	for _, name := range names {
		if d.touched.Has(HostPrefix+name) || d.state(name, now) != Usable {
			return false
		}
	}
	return true
}

// markReady notes in the rows that a generation has served, which lets the next group change its
// version.
func (d *Decider) markReady() {
	for _, g := range sortedKeys(d.routes) {
		v := d.snap.Groups[g]
		if v.Row.Ready || d.touched.Has(GroupPrefix+g) || v.Row.Generation != d.routes[g].Generation {
			continue
		}
		v.Row.Ready, v.Row.Fence = true, d.fence
		d.emit(Commit{ID: d.nextID, Groups: map[string]Versioned[GroupRow]{g: v}})
	}
}

// markHosts tells the other keepers which hosts are usable and what they have loaded.
func (d *Decider) markHosts(now time.Time) {
	rows := make(map[string]Versioned[HostRow])
	for _, name := range d.hostNames {
		state := d.state(name, now)
		if state == "" || d.touched.Has(HostPrefix+name) {
			continue
		}
		old := d.snap.Hosts[name]
		next := d.hostRow(name, old.Row.Group, old.Row.Generation, now)
		if next.Row.State == old.Row.State && slices.Equal(next.Row.Loaded, old.Row.Loaded) {
			continue
		}
		rows[name] = next
		if len(rows) == markBatch {
			d.emit(Commit{ID: d.nextID, Hosts: rows})
			rows = make(map[string]Versioned[HostRow])
		}
	}
	if len(rows) > 0 {
		d.emit(Commit{ID: d.nextID, Hosts: rows})
	}
}
