package group

import (
	"slices"
	"time"

	"geraniumhollow/internal/fleet/duty"
	"geraniumhollow/internal/fleet/server"
)

// Timeouts of plan changes.
const (
	// domainProbeTimeout limits the wait for probe answers from a domain before one of its groups
	// is changed.
	domainProbeTimeout = 600 * time.Millisecond
	// closeTimeout is how long a group with a draining or slow member may take to finish its
	// requests.
	closeTimeout = 1500 * time.Millisecond
	// maxDrainingStay is how long a draining member keeps its place if no free server has the
	// weights. The platform lets a draining member stay for 10 s while its head has requests. The
	// difference covers the registry delay and closing the group.
	maxDrainingStay = 6 * time.Second
)

// updatePlan adapts the plan to the state of the servers and reports whether it changed.
func (d *Decider) updatePlan(now time.Time, p *Plan) bool {
	if d.adoptLost(now, p) {
		return true
	}
	if d.allHeld {
		return false
	}
	d.raiseEpoch(p)
	recorded := d.recordStarts(p)
	recorded = d.reopeningOutdated(now) || recorded
	dropped := d.dropRetired(now, p)
	d.makeRoom(now, p)
	repaired := d.repairGroups(now, p)
	swapped := d.replaceUnloaded(now, p)
	return d.placeGroups(now, p) || recorded || dropped || repaired || swapped
}

// raiseEpoch raises the epoch of a plan to the highest one that servers have seen. An older plan, written late, may have
// replaced the one that assigned it.
func (d *Decider) raiseEpoch(p *Plan) {
	for _, s := range d.servers {
		if s.highestEpoch < duty.EraStart(p.Fence)+duty.EraSize {
			p.Epoch = max(p.Epoch, s.highestEpoch)
		}
	}
}

// dropRetired removes retired formations whose head has stopped and which no live server is in.
func (d *Decider) dropRetired(now time.Time, p *Plan) bool {
	n := len(p.Retired)
	p.Retired = slices.DeleteFunc(p.Retired, func(f Formation) bool {
		if d.isHeld(f.Domain) || !d.headStopped(now, f) {
			return false
		}
		for _, id := range f.Members {
			if s := d.servers[id]; s != nil && !d.confirmedDead(now, s) && s.isMemberOf(f) {
				return false
			}
		}
		delete(d.incompleteSince, f.key())
		return true
	})
	return len(p.Retired) != n
}

// repairGroups forms groups again that have lost a member or are about to lose one.
func (d *Decider) repairGroups(now time.Time, p *Plan) bool {
	for _, s := range d.servers {
		s.inDoubt = false
	}
	changed := false
	for i := 0; i < len(p.Current); i++ {
		f := p.Current[i]
		if d.isHeld(f.Domain) {
			continue
		}
		kept, reason := d.remainingMembers(now, p, f)
		if reason == "" {
			delete(d.changeNeededSince, f.key())
			continue
		}
		if !d.domainProbed(now, f) {
			continue
		}
		changed = true
		p.Retired = append(p.Retired, f)
		delete(d.changeNeededSince, f.key())
		delete(d.closingSince, f.key())
		d.rejected.Remove(f.key())
		members := d.fillMembers(now, p, f, kept)
		if d.dissolving.Has(f.key()) || d.isSurplus(p, f) {
			members = nil
		}
		if members == nil {
			d.addLossNote(now, "dissolve", f, f.Members, reason)
			p.Current = slices.Delete(p.Current, i, i+1)
			i--
			continue
		}
		p.Epoch++
		had := f.Members
		f = d.withMembers(f, members)
		f.Epoch = p.Epoch
		p.Current[i] = f
		d.addLossNote(now, "form_anew", f, had, reason)
	}
	return changed
}

// remainingMembers returns the members that can stay and the reason to change the formation, or ""
// if no change is needed.
func (d *Decider) remainingMembers(now time.Time, p *Plan, f Formation) ([]string, string) {
	var kept []string
	reason, closing := d.closeForRoom(now, f)
	for rank, id := range f.Members {
		switch memberReason := d.replaceReason(now, f, id); memberReason {
		case "":
			kept = append(kept, id)
			if d.leftFormation(f, rank) {
				reason = "member_left"
			}
		case memberDraining, memberSlow:
			if memberReason == memberDraining && d.keepDraining(now, p, f, id) {
				kept = append(kept, id)
				continue
			}
			closing = true
			if d.closeForChange(now, f, memberReason) {
				reason = memberReason
			} else {
				kept = append(kept, id)
			}
		default:
			reason = memberReason
		}
	}
	if !closing {
		// The member has recovered or has no replacement, so the group opens again.
		delete(d.closingSince, f.key())
	}
	if reason == "" {
		reason = d.groupReason(now, p, f)
	}
	return kept, reason
}

// groupReason returns the reason to change a formation whose members can all stay, or "".
func (d *Decider) groupReason(now time.Time, p *Plan, f Formation) string {
	head := d.servers[f.Head()]
	switch {
	case head != nil && head.isMemberOf(f) && head.Member.State == server.Broken:
		return "head_broken"
	case d.rejected.Has(f.key()):
		return "epoch_outdated"
	case d.canReplaceBound(now, p, f):
		return memberBound
	default:
		return ""
	}
}

// Reasons to replace a member that still serves. Its group is closed first.
const (
	memberDraining = "member_draining"
	memberSlow     = "member_slow"
)

// replaceReason returns why a member has to be replaced, or "" if it can stay.
func (d *Decider) replaceReason(now time.Time, f Formation, id string) string {
	s := d.servers[id]
	switch {
	case s == nil || s.lost() && !d.mayRun(now, f, s):
		return "member_lost"
	case id == f.Head() && !s.listed:
		return "head_not_listed"
	case s.Draining:
		return memberDraining
	case s.isConfirmedSlow() && d.hasReadySpare(now, f):
		return memberSlow
	default:
		return ""
	}
}

// keepDraining reports whether to keep a draining member for now because every replacement would
// have to load the weights first, or because enough other groups of its model are being formed anew.
// A draining head is never kept, because it takes no new requests.
func (d *Decider) keepDraining(now time.Time, p *Plan, f Formation, id string) bool {
	return id != f.Head() && (d.lacksReplacement(now, p, f, id) || d.mayWait(now, p, f, id))
}

// lacksReplacement reports whether every replacement of a draining member would have to load the weights first.
func (d *Decider) lacksReplacement(now time.Time, p *Plan, f Formation, id string) bool {
	return now.Sub(d.servers[id].drainingSince) < maxDrainingStay && len(d.freeWithWeights(now, p, f.Domain, f.Model)) == 0
}

// hasReadySpare reports whether a free server of the domain has the model loaded.
func (d *Decider) hasReadySpare(now time.Time, f Formation) bool {
	bound := d.boundServers(now, d.plan.Retired)
	return slices.ContainsFunc(d.freeServers(&d.plan, f.Domain), func(s *serverState) bool { return s.Model == f.Model && !bound.Has(s.ID) })
}

// leftFormation reports whether a member that had joined is no longer a member.
func (d *Decider) leftFormation(f Formation, rank int) bool {
	// A head serves only after every member has joined.
	return d.serves(f) && !d.servers[f.Members[rank]].hasJoined(f, rank)
}

// serves reports whether the head of a formation serves, by its last state.
func (d *Decider) serves(f Formation) bool {
	head := d.servers[f.Head()]
	return head != nil && head.hasJoined(f, 0) && (head.Member.State == server.Open || head.Member.State == server.Closing)
}

// closeForChange starts closing a group that is about to lose a member. It reports whether the
// group may be changed now: its head is idle or closeTimeout has passed.
func (d *Decider) closeForChange(now time.Time, f Formation, reason string) bool {
	since, ok := d.closingSince[f.key()]
	if !ok {
		d.closingSince[f.key()] = now
		d.addNote("close", f, reason)
		return false
	}
	head := d.servers[f.Head()]
	idle := head == nil || !head.isMemberOf(f) || (head.Member.State != server.Open && head.Member.State != server.Closing)
	limit := closeTimeout
	if d.follows && reason == memberDraining {
		limit = scaledCloseTimeout
	}
	return idle || now.Sub(since) >= limit
}

// domainProbed requests probes of all servers of a domain when one of its groups needs a change,
// and reports whether all have answered or the timeout has passed. A fault that took one member may
// have taken others, and forming a group with a dead member wastes time.
func (d *Decider) domainProbed(now time.Time, f Formation) bool {
	since, ok := d.changeNeededSince[f.key()]
	if !ok {
		d.changeNeededSince[f.key()] = now
		for _, s := range d.inDomain(f.Domain) {
			if !s.lost() {
				s.needsProbe = true
			}
		}
		return false
	}
	if now.Sub(since) >= domainProbeTimeout {
		return true
	}
	for _, s := range d.inDomain(f.Domain) {
		if !s.lost() && s.answeredAt.Before(since) {
			return false
		}
	}
	return true
}

// withMembers returns a formation that has other members and has not been used in orders.
func (d *Decider) withMembers(f Formation, ids []string) Formation {
	f.Members, f.Addresses, f.Started, f.NoReopen = ids, make([]string, len(ids)), make([]int64, len(ids)), true
	for i, id := range ids {
		s := d.servers[id]
		if s == nil {
			continue
		}
		f.Addresses[i] = s.Address
		if !s.StartedAt.IsZero() {
			f.Started[i] = s.StartedAt.UnixMilli()
		}
	}
	return f
}

// recordStarts updates the start times of members in the plan, and reports whether it changed any: a member has started again
// under its ID, or the plan is of an earlier version.
func (d *Decider) recordStarts(p *Plan) bool {
	changed := false
	for i, f := range p.Current {
		for rank, id := range f.Members {
			s := d.servers[id]
			if s == nil || s.exited || s.StartedAt.IsZero() || s.StartedAt.Equal(f.startedAt(rank)) {
				continue
			}
			if len(f.Started) != len(f.Members) {
				f.Started = make([]int64, len(f.Members))
			}
			f.Started = slices.Clone(f.Started)
			f.Started[rank] = s.StartedAt.UnixMilli()
			p.Current[i], changed = f, true
		}
	}
	return changed
}

// fillMembers adds free servers to the remaining members of a formation. It returns nil if there
// are too few.
func (d *Decider) fillMembers(now time.Time, p *Plan, f Formation, kept []string) []string {
	m, ok := d.cfg.Engine.Model(f.Model)
	if !ok {
		return nil
	}
	kept = d.withoutBound(now, p, f, kept)
	free := slices.DeleteFunc(d.freeServers(p, f.Domain), func(s *serverState) bool { return slices.Contains(kept, s.ID) })
	if len(kept)+len(free) < m.Hosts {
		return nil
	}
	d.sortByReadiness(now, free, f.Model)
	bound := d.boundServers(now, p.Retired)
	slices.SortStableFunc(free, func(a, b *serverState) int { return compareBool(bound.Has(a.ID), bound.Has(b.ID)) })
	members := slices.Clone(kept)
	for _, s := range free {
		members = append(members, s.ID)
	}
	return members[:m.Hosts]
}
