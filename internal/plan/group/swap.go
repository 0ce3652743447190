package group

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"geraniumhollow/internal/fleet/server"
)

// A load of weights takes ten times as long as a forming. Groups that wait for one are opened sooner by servers
// that hold the weights: free ones that have come back, also those of another domain if they are enough for the whole
// group, and members of other groups that wait as well. Two groups that lack one member each become one that serves
// and one that lacks two.

// loadMostlyDone is the part of a load from which on its group rather waits for it.
const loadMostlyDone = 0.5

// swap replaces members that have to load weights, where their group can then open, and reports whether it did.
func (d *Decider) swap(now time.Time, p *Plan) bool {
	if !d.traffic {
		return false // Loads are short before the first callers.
	}
	waiting := d.waiting(now, p)
	changed := false
	for len(waiting) > 0 {
		f := &p.Current[waiting[0]]
		waiting = waiting[1:]
		if !d.exchangeLacking(now, p, f, waiting) && !d.move(now, p, f) {
			continue
		}
		renewed := d.renew(p)
		waiting = slices.DeleteFunc(waiting, func(i int) bool { return slices.Contains(renewed, i) })
		changed = true
	}
	return changed
}

// exchangeLacking replaces the members of a formation that lack its weights, and reports whether it did.
func (d *Decider) exchangeLacking(now time.Time, p *Plan, f *Formation, waiting []int) bool {
	lacks := d.lacks(*f)
	givers := d.givers(now, p, *f, waiting, len(lacks))
	if givers == nil {
		return false
	}
	for i, g := range givers {
		if g.from >= 0 {
			d.exchange(&p.Current[g.from], g.id, lacks[i])
		}
		d.exchange(f, lacks[i], g.id)
	}
	return true
}

// move forms a group in another domain that has enough free servers with its weights, and reports whether it did.
// A domain that was out of reach comes back with them.
func (d *Decider) move(now time.Time, p *Plan, f *Formation) bool {
	var best []*host
	for _, domain := range slices.Sorted(maps.Keys(d.find().domains)) {
		if domain == f.Domain {
			continue
		}
		free := d.holders(now, p, domain, f.Model)
		if domain != "" && len(free) >= len(f.Members) && len(free) > len(best) {
			best = free
		}
	}
	if best == nil {
		return false
	}
	f.Domain, f.Members = best[0].Domain, make([]string, len(f.Members))
	for i := range f.Members {
		f.Members[i] = best[i].ID
	}
	f.Addresses = d.addresses(f.Members)
	return true
}

// waiting returns the indices of formations that wait for a load of weights, those that lack fewest first.
func (d *Decider) waiting(now time.Time, p *Plan) []int {
	var out []int
	for i, f := range p.Current {
		head := d.hosts[f.Head()]
		serves := head != nil && head.in(f) && head.Member.State != server.Joining && head.Member.State != server.Ready
		_, winds := d.winding[f.key()]
		if !serves && !winds && len(d.lacks(f)) > 0 && !d.soonLoaded(now, f) {
			out = append(out, i)
		}
	}
	slices.SortStableFunc(out, func(a, b int) int {
		return cmp.Compare(len(d.lacks(p.Current[a])), len(d.lacks(p.Current[b])))
	})
	return out
}

// lacks returns the members without weights.
func (d *Decider) lacks(f Formation) []string {
	var out []string
	for _, id := range f.Members {
		if h := d.hosts[id]; h == nil || !h.holds(f.Model) {
			out = append(out, id)
		}
	}
	return out
}

// soonLoaded reports whether all loads that a formation waits for are mostly done.
func (d *Decider) soonLoaded(now time.Time, f Formation) bool {
	m, _ := d.cfg.Engine.Model(f.Model)
	for _, id := range d.lacks(f) {
		h := d.hosts[id]
		if h == nil {
			return false
		}
		o, ok := h.orders[Join]
		if s, staged := h.orders[Stage]; staged && s.order.Model == f.Model && (!ok || s.at.Before(o.at)) {
			o, ok = s, true
		}
		if !ok || o.order.Model != f.Model || float64(now.Sub(o.at)) < loadMostlyDone*float64(m.Load) {
			return false
		}
	}
	return true
}

// giver is a server that takes the place of one without weights, from a formation or from none (-1).
type giver struct {
	id   string
	from int
}

// givers returns n servers that hold the weights for a formation, or nil if there are fewer: free ones first,
// then members of the formations that wait longest.
func (d *Decider) givers(now time.Time, p *Plan, f Formation, waiting []int, n int) []giver {
	out := make([]giver, 0, n)
	for _, h := range d.holders(now, p, f.Domain, f.Model) {
		out = append(out, giver{id: h.ID, from: -1})
	}
	for _, i := range slices.Backward(waiting) {
		o := p.Current[i]
		if o.Model != f.Model || o.Domain != f.Domain {
			continue
		}
		for _, id := range o.Members {
			if h := d.hosts[id]; h != nil && h.usable() && h.holds(f.Model) {
				out = append(out, giver{id: id, from: i})
			}
		}
	}
	if len(out) < n {
		return nil
	}
	return out[:n]
}

// exchange puts a server in the place of another one. The members are copied: the plan in force has the list.
func (d *Decider) exchange(f *Formation, old, id string) {
	f.Members = slices.Clone(f.Members)
	f.Members[slices.Index(f.Members, old)] = id
	f.Addresses = d.addresses(f.Members)
}

// renew gives formations whose members were exchanged a new epoch and retires what they were. It returns their
// indices.
func (d *Decider) renew(p *Plan) []int {
	var out []int
	for i := range p.Current {
		f := &p.Current[i]
		was := slices.IndexFunc(d.plan.Current, func(o Formation) bool { return o.key() == f.key() })
		if was < 0 || slices.Equal(d.plan.Current[was].Members, f.Members) {
			continue // Epochs that are not stored yet have not been ordered either.
		}
		p.Retired = append(p.Retired, d.plan.Current[was])
		delete(d.trouble, f.key())
		p.Epoch++
		f.Epoch = p.Epoch
		d.note("form_anew", *f, "holds_weights")
		out = append(out, i)
	}
	return out
}
