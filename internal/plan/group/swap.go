package group

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"geraniumhollow/internal/fleet/server"
)

// A weight load takes ten times as long as forming a group. Groups that wait for a load can open
// sooner with servers that have the weights: free servers that have returned, free servers of
// another domain if they suffice for the whole group, and members of other waiting groups. Two
// groups that lack one member each become one that serves and one that lacks two.

// minLoadProgress is the part of a load after which its group waits for it instead of replacing the
// member.
const minLoadProgress = 0.5

// replaceUnloaded replaces members that have to load weights if their group can then open, and
// reports whether it did.
func (d *Decider) replaceUnloaded(now time.Time, p *Plan) bool {
	if !d.trafficStarted {
		return false // Loads are short before callers are served.
	}
	waiting := d.waitingForLoad(now, p)
	changed := false
	for len(waiting) > 0 {
		f := &p.Current[waiting[0]]
		waiting = waiting[1:]
		if !d.swapUnloaded(now, p, f, waiting) && !d.moveDomain(now, p, f) {
			continue
		}
		renewed := d.renewEpochs(p)
		waiting = slices.DeleteFunc(waiting, func(i int) bool { return slices.Contains(renewed, i) })
		changed = true
	}
	return changed
}

// swapUnloaded replaces the members of a formation that lack its weights, and reports whether it
// did.
func (d *Decider) swapUnloaded(now time.Time, p *Plan, f *Formation, waiting []int) bool {
	unloaded := d.unloadedMembers(*f)
	donors := d.donors(now, p, *f, waiting, len(unloaded))
	if donors == nil {
		return false
	}
	for i, repl := range donors {
		if repl.from >= 0 {
			d.replaceMember(&p.Current[repl.from], repl.id, unloaded[i])
		}
		d.replaceMember(f, unloaded[i], repl.id)
	}
	return true
}

// moveDomain moves a group to another domain that has enough free servers with its weights, and
// reports whether it did. A domain that becomes reachable again has such servers.
func (d *Decider) moveDomain(now time.Time, p *Plan, f *Formation) bool {
	var best []*serverState
	for _, domain := range slices.Sorted(maps.Keys(d.lookup().domains)) {
		if domain == f.Domain || d.isHeld(domain) || d.isOutDomain(domain) || d.isRoomForOther(p, domain, f) {
			continue
		}
		free := d.freeWithWeights(now, p, domain, f.Model)
		if domain != "" && len(free) >= len(f.Members) && len(free) > len(best) {
			best = free
		}
	}
	if best == nil {
		return false
	}
	members := make([]string, len(f.Members))
	for i := range members {
		members[i] = best[i].ID
	}
	f.Domain = best[0].Domain
	*f = d.withMembers(*f, members)
	return true
}

// waitingForLoad returns the indices of formations that wait for a weight load, sorted by the
// number of members without weights.
func (d *Decider) waitingForLoad(now time.Time, p *Plan) []int {
	var out []int
	for i, f := range p.Current {
		head := d.servers[f.Head()]
		serving := head != nil && head.isMemberOf(f) && head.Member.State != server.Joining && head.Member.State != server.Ready
		_, closing := d.closingSince[f.key()]
		if !serving && !closing && !d.isHeld(f.Domain) && len(d.unloadedMembers(f)) > 0 && !d.loadsAdvanced(now, f) {
			out = append(out, i)
		}
	}
	slices.SortStableFunc(out, func(a, b int) int {
		return cmp.Compare(len(d.unloadedMembers(p.Current[a])), len(d.unloadedMembers(p.Current[b])))
	})
	return out
}

// unloadedMembers returns the members without weights.
func (d *Decider) unloadedMembers(f Formation) []string {
	var out []string
	for _, id := range f.Members {
		if s := d.servers[id]; s == nil || !s.hasWeights(f.Model) {
			out = append(out, id)
		}
	}
	return out
}

// loadsAdvanced reports whether all loads that a formation waits for have reached minLoadProgress.
func (d *Decider) loadsAdvanced(now time.Time, f Formation) bool {
	m, _ := d.cfg.Engine.Model(f.Model)
	for _, id := range d.unloadedMembers(f) {
		s := d.servers[id]
		if s == nil {
			return false
		}
		// A spare may have started the load before it was ordered to join.
		o, ok := s.lastOrders[Join]
		if stage, staged := s.lastOrders[Stage]; staged && stage.order.Model == f.Model && (!ok || stage.at.Before(o.at)) {
			o, ok = stage, true
		}
		if !ok || o.order.Model != f.Model || float64(now.Sub(o.at)) < minLoadProgress*float64(m.ColdLoadTime) {
			return false
		}
	}
	return true
}

// donor is a server that replaces one without weights. from is the index of its formation, or -1 if
// it has none.
type donor struct {
	id   string
	from int
}

// donors returns n servers that have the weights for a formation, or nil if there are fewer. Free
// servers come first, then members of the waiting formations that lack the most.
func (d *Decider) donors(now time.Time, p *Plan, f Formation, waiting []int, n int) []donor {
	out := make([]donor, 0, n)
	for _, s := range d.freeWithWeights(now, p, f.Domain, f.Model) {
		out = append(out, donor{id: s.ID, from: -1})
	}
	for _, i := range slices.Backward(waiting) {
		o := p.Current[i]
		if o.Model != f.Model || o.Domain != f.Domain {
			continue
		}
		for _, id := range o.Members {
			if s := d.servers[id]; s != nil && s.usable() && s.hasWeights(f.Model) {
				out = append(out, donor{id: id, from: i})
			}
		}
	}
	if len(out) < n {
		return nil
	}
	return out[:n]
}

// replaceMember replaces a server in a formation. It copies the members because the plan in force
// shares the list.
func (d *Decider) replaceMember(f *Formation, old, id string) {
	members := slices.Clone(f.Members)
	members[slices.Index(members, old)] = id
	*f = d.withMembers(*f, members)
}

// renewEpochs gives formations with replaced members a new epoch and retires their previous
// versions. It returns their indices.
func (d *Decider) renewEpochs(p *Plan) []int {
	var out []int
	for i := range p.Current {
		f := &p.Current[i]
		before := slices.IndexFunc(d.plan.Current, func(o Formation) bool { return o.key() == f.key() })
		if before < 0 || slices.Equal(d.plan.Current[before].Members, f.Members) {
			continue // Epochs that are not stored yet have not been sent in orders.
		}
		p.Retired = append(p.Retired, d.plan.Current[before])
		delete(d.changeNeededSince, f.key())
		p.Epoch++
		f.Epoch = p.Epoch
		d.addNote("form_anew", *f, "holds_weights")
		out = append(out, i)
	}
	return out
}
