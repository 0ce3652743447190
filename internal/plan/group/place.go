package group

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"time"

	"geraniumhollow/internal/core/sets"
	"geraniumhollow/internal/fleet/server"
	"geraniumhollow/internal/route/batch"
)

// replan changes the plan to what the servers allow and reports whether it did.
func (d *Decider) replan(now time.Time, p *Plan) bool {
	changed := d.drop(now, p)
	if d.repair(now, p) {
		changed = true
	}
	if d.place(now, p) {
		changed = true
	}
	return changed
}

// drop removes retired formations that no longer hold anything back.
func (d *Decider) drop(now time.Time, p *Plan) bool {
	n := len(p.Retired)
	p.Retired = slices.DeleteFunc(p.Retired, func(f Formation) bool {
		if !d.released(now, f) {
			return false
		}
		for _, id := range f.Members {
			if h := d.hosts[id]; h != nil && !d.dead(now, h) && h.in(f) {
				return false
			}
		}
		delete(d.short, f.key())
		return true
	})
	return len(p.Retired) != n
}

// repair replaces lost members.
func (d *Decider) repair(now time.Time, p *Plan) bool {
	changed := false
	for i := 0; i < len(p.Current); i++ {
		f := p.Current[i]
		kept, why := d.keepers(now, f)
		if why == "" {
			delete(d.trouble, f.key())
			continue
		}
		if !d.checked(now, f) {
			continue
		}
		changed = true
		p.Retired = append(p.Retired, f)
		members := d.complete(p, f, kept)
		if members == nil {
			d.note("dissolve", f, "", why)
			p.Current = slices.Delete(p.Current, i, i+1)
			i--
			continue
		}
		p.Epoch++
		g := f
		g.Epoch, g.Members = p.Epoch, members
		p.Current[i] = g
		d.note("reform", g, "", why)
	}
	return changed
}

// checkTime bounds the wait for the answers of a domain's servers before a group is changed.
const checkTime = 600 * time.Millisecond

// checked asks all servers of a domain for a sign of life when one of its groups needs a change, and reports
// whether they have answered. What took one member may have taken others, and a group that is formed
// anew with a dead member is lost time.
func (d *Decider) checked(now time.Time, f Formation) bool {
	since, ok := d.trouble[f.key()]
	if !ok {
		d.trouble[f.key()] = now
		for _, h := range d.hosts {
			if h.Domain == f.Domain && !h.lost() {
				h.suspect = true
			}
		}
		return false
	}
	if now.Sub(since) >= checkTime {
		return true
	}
	for _, h := range d.hosts {
		if h.Domain == f.Domain && !h.lost() && h.confirmed.Before(since) {
			return false
		}
	}
	return true
}

// windDown is how long a group with a leaving member may finish its requests.
const windDown = 1500 * time.Millisecond

// keepers returns the members that can stay and why the formation has to change, "" if it need not.
func (d *Decider) keepers(now time.Time, f Formation) ([]string, string) {
	var kept []string
	why := ""
	for i, id := range f.Members {
		h := d.hosts[id]
		switch {
		case h == nil || h.lost():
			why = "member_lost"
		case i == 0 && !h.listed:
			why = "head_not_listed"
		case h.Draining:
			if d.wound(now, f) {
				why = "member_draining"
			} else {
				kept = append(kept, id)
			}
		default:
			kept = append(kept, id)
			if d.fellOut(h, f) {
				why = "member_left"
			}
		}
	}
	if head := d.hosts[f.Head()]; why == "" && head != nil && head.in(f) && head.Member.State == server.Broken {
		why = "head_broken"
	}
	return kept, why
}

// fellOut reports whether a member that had joined is a member no more.
func (d *Decider) fellOut(h *host, f Formation) bool {
	head := d.hosts[f.Head()]
	if head == nil || !head.in(f) || h.in(f) {
		return false
	}
	// The head serves, so every member had joined.
	return head.Member.State == server.Open || head.Member.State == server.Closing
}

// wound begins to close a group with a leaving member and reports whether it may be replaced now.
func (d *Decider) wound(now time.Time, f Formation) bool {
	since, ok := d.closing[f.key()]
	if !ok {
		d.closing[f.key()] = now
		d.note("close", f, "", "member_draining")
		return false
	}
	head := d.hosts[f.Head()]
	idle := head == nil || !head.in(f) || (head.Member.State != server.Open && head.Member.State != server.Closing)
	return idle || now.Sub(since) >= windDown
}

// complete returns the members of a formation that keeps some servers, or nil if there are too few.
func (d *Decider) complete(p *Plan, f Formation, kept []string) []string {
	m, ok := d.cfg.Engine.Model(f.Model)
	if !ok {
		return nil
	}
	free := d.free(p, f.Domain)
	free = slices.DeleteFunc(free, func(h *host) bool { return slices.Contains(kept, h.ID) })
	if len(kept)+len(free) < m.Hosts {
		return nil
	}
	sortFor(free, f.Model)
	members := slices.Clone(kept)
	for _, h := range free {
		if len(members) < m.Hosts {
			members = append(members, h.ID)
		}
	}
	return members[:m.Hosts]
}

// free returns the usable servers of a domain that have no place in the plan.
func (d *Decider) free(p *Plan, domain string) []*host {
	taken := make(map[string]bool)
	for _, f := range p.Current {
		for _, id := range f.Members {
			taken[id] = true
		}
	}
	var out []*host
	for _, id := range d.sorted() {
		if h := d.hosts[id]; h.Domain == domain && h.usable() && !taken[id] {
			out = append(out, h)
		}
	}
	return out
}

// sortFor puts servers first that can join a group of the model soonest.
func sortFor(list []*host, model string) {
	rank := func(h *host) int {
		switch {
		case h.Model == model:
			return 0
		case h.HasStaged(model):
			return 1
		case len(h.Staged) == 0:
			return 2
		default:
			return 3
		}
	}
	slices.SortStableFunc(list, func(a, b *host) int { return cmp.Compare(rank(a), rank(b)) })
}

// Spares of a domain. Two cover the loss of a member of either of two models while another load runs.
const (
	minSpares  = 2
	spareShare = 0.1
)

// spares returns how many servers of a domain are kept without a group.
func spares(size int) int { return max(minSpares, int(spareShare*float64(size))) }

// groupShare is the part of all servers that is expected to be in groups: the rest are spares, and what
// groups leave over in their domains.
const groupShare = 0.82

// wanted returns how many groups a model should have of so many servers.
func wanted(m batch.Model, total int) int {
	return int(math.Round(m.Share * float64(total) * groupShare / float64(m.Hosts)))
}

// place forms new groups of free servers, of the model that lacks most first.
func (d *Decider) place(now time.Time, p *Plan) bool {
	changed := false
	for {
		m, domain := d.choose(now, p)
		if domain == "" {
			return changed
		}
		free := d.free(p, domain)
		sortFor(free, m.Name)
		p.Epoch++
		p.Names++
		f := Formation{
			Group: "g" + strconv.Itoa(p.Names), Epoch: p.Epoch, Service: d.cfg.Service, Model: m.Name, Domain: domain,
		}
		for _, h := range free[:m.Hosts] {
			f.Members = append(f.Members, h.ID)
		}
		p.Current = append(p.Current, f)
		d.note("form", f, "", "room")
		changed = true
	}
}

// choose returns the model and the domain of the next group, or "" if there is no room.
func (d *Decider) choose(now time.Time, p *Plan) (batch.Model, string) {
	sizes := make(map[string]int)
	arriving := sets.New[string]()
	for _, h := range d.hosts {
		if h.Domain == "" || !h.listed || h.lost() {
			continue
		}
		sizes[h.Domain]++
		if now.Sub(h.since) < settle {
			arriving.Add(h.Domain)
		}
	}
	total := 0
	for _, n := range sizes {
		total += n
	}
	used, groups := make(map[string]int), make(map[string]int)
	for _, f := range p.Current {
		used[f.Model] += len(f.Members)
		groups[f.Model]++
	}
	models := slices.Clone(d.cfg.Engine.Models)
	slices.SortStableFunc(models, func(a, b batch.Model) int {
		return cmp.Compare(lack(b, used[b.Name], total), lack(a, used[a.Name], total))
	})
	for _, m := range models {
		best, room := "", -1
		short := groups[m.Name] < wanted(m, total)
		for domain, n := range sizes {
			if arriving.Has(domain) {
				continue
			}
			left := len(d.free(p, domain)) - m.Hosts
			if !short {
				// A model with its share of groups takes no spares.
				left -= spares(n)
			}
			if left > room || (left == room && left >= 0 && domain < best) {
				best, room = domain, left
			}
		}
		if room >= 0 {
			return m, best
		}
	}
	return batch.Model{}, ""
}

// settle is how long no server of a domain must have been new before groups are formed there. Servers that
// start together register over some seconds, and small groups would take the room of larger ones.
const settle = 700 * time.Millisecond

// lack is how many servers a model has less than its share of the work asks for.
func lack(m batch.Model, used, total int) float64 { return m.Share*float64(total) - float64(used) }
