package group

import (
	"cmp"
	"slices"
	"time"

	"geraniumhollow/internal/core/sets"
	"geraniumhollow/internal/fleet/duty"
	"geraniumhollow/internal/fleet/index"
	"geraniumhollow/internal/fleet/server"
)

// A store that comes back from an older copy forgets the formations of the time between. They are called lost here: servers
// still report them, and their heads may serve. A lost formation that all of its members report goes back into the plan as
// it is. Any other one is retired, so that its members join no other formation while its head may serve.

// lostSettleTime is how long the members of a lost formation have to report it. Servers whose registrations were lost
// with it register again within index.ReregistrationGrace.
const lostSettleTime = index.ReregistrationGrace + 500*time.Millisecond

// unknownHead is the prefix of the ID that stands for the head of a formation whose head has not been heard.
const unknownHead = "head-of-"

// TakenOver returns the plan as the keeper with a fencing number takes it over. Epochs that are assigned from then on are
// higher than all of earlier eras of the store.
func (p Plan) TakenOver(fence uint64) Plan {
	p.Restored = false
	if first := duty.EraStart(fence); p.Epoch < first {
		if p.LostUntil == 0 {
			p.LostAfter = p.Epoch
		}
		p.LostUntil, p.Epoch, p.Restored = first, first, true
	}
	p.Fence, p.InheritedEpoch = fence, p.Epoch
	return p
}

// isLost reports whether a membership is in a formation that the plan may have lost.
func (p Plan) isLost(m server.Member) bool {
	return m.InGroup() && !isStandby(m) && m.Epoch > p.LostAfter && m.Epoch <= p.LostUntil
}

// lostFormation is a lost formation as its members report it.
type lostFormation struct {
	Formation
	// complete is set if all members report it.
	complete bool
}

// lostFormations returns the lost formations that a plan does not have, by epoch.
func (d *Decider) lostFormations(p *Plan) []lostFormation {
	if p.LostUntil == 0 {
		return nil
	}
	planned := sets.New[index.Formation]()
	for _, f := range slices.Concat(p.Current, p.Retired) {
		planned.Add(f.key())
	}
	members := make(map[index.Formation][]*serverState)
	for _, id := range d.serverIDs() {
		s := d.servers[id]
		key := index.Formation{Group: s.Member.Group, Epoch: s.Member.Epoch}
		if s.memberKnown && !s.exited && p.isLost(s.Member) && !planned.Has(key) {
			members[key] = append(members[key], s)
		}
	}
	out := make([]lostFormation, 0, len(members))
	for key, list := range members {
		out = append(out, d.lostFormation(key, list))
	}
	slices.SortFunc(out, func(a, b lostFormation) int {
		return cmp.Or(cmp.Compare(a.Epoch, b.Epoch), cmp.Compare(a.Group, b.Group))
	})
	return out
}

// lostFormation returns a lost formation that the given servers report.
func (d *Decider) lostFormation(key index.Formation, list []*serverState) lostFormation {
	slices.SortStableFunc(list, func(a, b *serverState) int { return a.Member.Rank - b.Member.Rank })
	f := lostFormation{Formation: Formation{Group: key.Group, Epoch: key.Epoch, Service: d.cfg.Service, Domain: list[0].Domain}, complete: true}
	if list[0].Member.Rank > 0 {
		f.Members, f.complete = append(f.Members, unknownHead+key.Group), false
	}
	members := f.Members
	for i, s := range list {
		members = append(members, s.ID)
		f.complete = f.complete && s.Member.Rank == i && s.Domain == f.Domain
		if s.Member.State == server.Joining {
			continue // The server reports its last model until it has joined.
		}
		f.complete = f.complete && (f.Model == "" || f.Model == s.Model)
		f.Model = s.Model
	}
	m, ok := d.cfg.Engine.Model(f.Model)
	f.complete = f.complete && ok && m.Hosts == len(list)
	f.Formation = d.withMembers(f.Formation, members)
	f.NoReopen = false // The orders of the time that was lost are unknown.
	return f
}

// adoptLost puts lost formations back into the plan, and reports whether it changed the plan.
func (d *Decider) adoptLost(now time.Time, p *Plan) bool {
	changed := false
	for _, f := range d.lostFormations(p) {
		replaced := slices.ContainsFunc(p.Current, func(o Formation) bool { return o.conflicts(f.Formation) && o.Epoch > f.Epoch })
		switch {
		case f.complete && !replaced:
			p.Current = slices.DeleteFunc(p.Current, func(o Formation) bool {
				if o.conflicts(f.Formation) {
					p.Retired = append(p.Retired, o)
					return true
				}
				return false
			})
			p.Current = append(p.Current, f.Formation)
			d.addNote("adopt", f.Formation, "lost_by_store")
		case replaced || now.Sub(d.startedAt) >= lostSettleTime:
			p.Retired = append(p.Retired, f.Formation)
			d.addNote("retire", f.Formation, "lost_by_store")
		default:
			continue
		}
		d.restoreMembers(f.Formation)
		changed = true
	}
	return changed
}

// conflicts reports whether two formations cannot both be current.
func (f Formation) conflicts(o Formation) bool {
	return f.Group == o.Group || slices.ContainsFunc(f.Members, o.HasMember)
}

// recordRejected records that a server refuses to join a formation of an earlier era: it has seen the epoch of one that the
// plan has lost.
func (d *Decider) recordRejected(o Order, outcome Outcome) {
	if outcome == Rejected && o.Kind == Join && o.Epoch <= d.plan.LostUntil {
		d.rejected.Add(index.Formation{Group: o.Group, Epoch: o.Epoch})
	}
}

// updateHeld determines the domains whose groups may not be changed yet: a server there may be in a formation that the plan
// does not have. After a restoration that holds for all of them until the keeper of the era before has stopped.
func (d *Decider) updateHeld(now time.Time) {
	d.allHeld = d.plan.Restored && now.Sub(d.startedAt) < duty.HoldTime
	d.held = sets.New[string]()
	for _, s := range d.servers {
		if s.entry != nil && s.entry.Unconfirmed && !s.memberKnown && !s.lost() {
			d.held.Add(s.Domain)
		}
	}
	for _, f := range d.lostFormations(&d.plan) {
		d.held.Add(f.Domain)
	}
}

// isHeld reports whether the groups of a domain may not be changed yet.
func (d *Decider) isHeld(domain string) bool { return d.allHeld || d.held.Has(domain) }

// observeUnconfirmed applies an entry of a restored registry, which may be older than what is known of the server. Such a
// server is probed.
func (d *Decider) observeUnconfirmed(now time.Time, e *index.Entry) {
	if s, ok := d.servers[e.ID]; ok && s.memberKnown && s.SameProcess(e.Info) {
		s.entry, s.listed = e, true
		return
	}
	s := d.stateOf(now, e)
	s.entry, s.Info, s.listed = e, e.Info, true
	s.memberKnown, s.needsProbe = false, true
}

// confirms reports whether an entry only confirms the one before it.
func (s *serverState) confirms(e *index.Entry) bool {
	return s.memberKnown && s.entry != nil && s.entry.Unconfirmed && s.entry.SameState(e.Info) && s.entry.RenewalSeq == e.RenewalSeq
}
