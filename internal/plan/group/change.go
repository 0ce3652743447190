package group

import (
	"slices"
	"time"

	"geraniumhollow/internal/fleet/server"
)

// Times of changes.
const (
	// checkTime bounds the wait for the answers of a domain's servers before a group is changed.
	checkTime = 600 * time.Millisecond
	// windDown is how long a group with a leaving or slow member may finish its requests.
	windDown = 1500 * time.Millisecond
	// leavingStay is how long a leaving member without a successor that holds the weights keeps its place. The platform
	// lets a member stay for 10 s while its head has work; the rest is for the registry's delay and the wind-down.
	leavingStay = 6 * time.Second
)

// replan changes the plan to what the servers allow and reports whether it did.
func (d *Decider) replan(now time.Time, p *Plan) bool {
	dropped := d.drop(now, p)
	repaired := d.repair(now, p)
	swapped := d.swap(now, p)
	return d.place(now, p) || dropped || repaired || swapped
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

// repair forms groups anew that have lost a member, or are to lose one.
func (d *Decider) repair(now time.Time, p *Plan) bool {
	changed := false
	for i := 0; i < len(p.Current); i++ {
		f := p.Current[i]
		kept, why := d.keepers(now, p, f)
		if why == "" {
			delete(d.trouble, f.key())
			continue
		}
		if !d.checked(now, f) {
			continue
		}
		changed = true
		p.Retired = append(p.Retired, f)
		delete(d.trouble, f.key())
		delete(d.winding, f.key())
		members := d.complete(now, p, f, kept)
		if members == nil {
			d.note("dissolve", f, why)
			p.Current = slices.Delete(p.Current, i, i+1)
			i--
			continue
		}
		p.Epoch++
		f.Epoch, f.Members, f.Addresses = p.Epoch, members, d.addresses(members)
		p.Current[i] = f
		d.note("form_anew", f, why)
	}
	return changed
}

// keepers returns the members that can stay and why the formation has to change, "" if it need not.
func (d *Decider) keepers(now time.Time, p *Plan, f Formation) ([]string, string) {
	var kept []string
	why, closes := "", false
	for _, id := range f.Members {
		switch reason := d.unfit(f, id); reason {
		case "":
			kept = append(kept, id)
			if d.fellOut(d.hosts[id], f) {
				why = "member_left"
			}
		case memberDraining, memberSlow:
			if reason == memberDraining && d.mayStay(now, p, f, id) {
				kept = append(kept, id)
				continue
			}
			closes = true
			if d.wound(now, f, reason) {
				why = reason
			} else {
				kept = append(kept, id)
			}
		default:
			why = reason
		}
	}
	if !closes {
		// The member has recovered, or no server is left to take its place: the group opens again.
		delete(d.winding, f.key())
	}
	if head := d.hosts[f.Head()]; why == "" && head != nil && head.in(f) && head.Member.State == server.Broken {
		why = "head_broken"
	}
	return kept, why
}

// Reasons to replace a member that still serves, so that its group is closed first.
const (
	memberDraining = "member_draining"
	memberSlow     = "member_slow"
)

// unfit returns why a member has to be replaced, "" if it can stay.
func (d *Decider) unfit(f Formation, id string) string {
	h := d.hosts[id]
	switch {
	case h == nil || h.lost():
		return "member_lost"
	case id == f.Head() && !h.listed:
		return "head_not_listed"
	case h.Draining:
		return memberDraining
	case h.slow() && d.replaceable(f):
		return memberSlow
	default:
		return ""
	}
}

// mayStay reports whether a leaving member is better kept for now, because whoever takes its place first has to load
// the weights. The head takes no new requests once it leaves.
func (d *Decider) mayStay(now time.Time, p *Plan, f Formation, id string) bool {
	return id != f.Head() && now.Sub(d.hosts[id].leaves) < leavingStay && len(d.holders(now, p, f.Domain, f.Model)) == 0
}

// replaceable reports whether a spare is ready to take the place of a member.
func (d *Decider) replaceable(f Formation) bool {
	return slices.ContainsFunc(d.free(&d.plan, f.Domain), func(h *host) bool { return h.Model == f.Model })
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

// wound begins to close a group that is to lose a member, and reports whether it may be changed now.
func (d *Decider) wound(now time.Time, f Formation, why string) bool {
	since, ok := d.winding[f.key()]
	if !ok {
		d.winding[f.key()] = now
		d.note("close", f, why)
		return false
	}
	head := d.hosts[f.Head()]
	idle := head == nil || !head.in(f) || (head.Member.State != server.Open && head.Member.State != server.Closing)
	return idle || now.Sub(since) >= windDown
}

// checked asks all servers of a domain for a sign of life when one of its groups needs a change, and reports
// whether they have answered. What took one member may have taken others, and a group that is formed
// anew with a dead member is lost time.
func (d *Decider) checked(now time.Time, f Formation) bool {
	since, ok := d.trouble[f.key()]
	if !ok {
		d.trouble[f.key()] = now
		for _, h := range d.in(f.Domain) {
			if !h.lost() {
				h.suspect = true
			}
		}
		return false
	}
	if now.Sub(since) >= checkTime {
		return true
	}
	for _, h := range d.in(f.Domain) {
		if !h.lost() && h.confirmed.Before(since) {
			return false
		}
	}
	return true
}

// addresses returns the addresses of servers.
func (d *Decider) addresses(ids []string) []string {
	out := make([]string, len(ids))
	for i, id := range ids {
		if h := d.hosts[id]; h != nil {
			out[i] = h.Address
		}
	}
	return out
}

// complete returns the members of a formation that keeps some servers, or nil if there are too few.
func (d *Decider) complete(now time.Time, p *Plan, f Formation, kept []string) []string {
	m, ok := d.cfg.Engine.Model(f.Model)
	if !ok {
		return nil
	}
	free := slices.DeleteFunc(d.free(p, f.Domain), func(h *host) bool { return slices.Contains(kept, h.ID) })
	if len(kept)+len(free) < m.Hosts {
		return nil
	}
	d.sortFor(now, free, f.Model)
	members := slices.Clone(kept)
	for _, h := range free {
		members = append(members, h.ID)
	}
	return members[:m.Hosts]
}
