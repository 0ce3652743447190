package group

import (
	"slices"
	"time"

	"geraniumhollow/internal/core/sets"
	"geraniumhollow/internal/fleet/index"
	"geraniumhollow/internal/fleet/server"
)

// A head that has left its formation, and may still reopen it because of late orders, binds the servers of the formation for up to
// maxOrderDelay. A group need not wait for that: a spare takes the place of the head. The other members are ordered to leave, and join
// another formation once they have certainly left: a server that is in no formation takes a join whatever its former head does.

// maxBoundTime is how long a group waits for a server that late orders bind before a spare takes its place. A spare needs about as long
// to join, if it has the weights.
const maxBoundTime = 2 * time.Second

// memberBound is the reason to replace servers that late orders bind in a group that waits for them.
const memberBound = "late_orders"

// tell records a membership that the server itself reported in answer to a probe or an order that was sent at a time.
func (s *serverState) tell(sentAt time.Time, m server.Member) {
	if !sentAt.Before(s.toldAt) {
		s.told, s.toldAt = m, sentAt
	}
}

// recordJoin records by when a join has been executed, if it is at all.
func (s *serverState) recordJoin(now time.Time, o Order, outcome Outcome) {
	if o.Kind != Join {
		return
	}
	if outcome == Unknown {
		now = now.Add(maxOrderDelay)
	}
	f := index.Formation{Group: o.Group, Epoch: o.Epoch}
	s.joinedBy[f] = later(s.joinedBy[f], now)
}

// mayRejoinUntil returns until when a member of a formation may execute an order to join it.
func (d *Decider) mayRejoinUntil(s *serverState, f Formation) time.Time {
	until := s.joinedBy[f.key()]
	if d.isInherited(f) {
		until = later(until, d.startedAt.Add(d.cfg.Overlap+maxOrderDelay))
	}
	if o, ok := s.lastOrders[Join]; ok && o.outcome == "" && o.order.Group == f.Group && o.order.Epoch == f.Epoch {
		until = later(until, o.at.Add(orderRetryInterval+maxOrderDelay))
	}
	return until
}

// hasLeft reports whether a member of a retired formation has certainly left it for good, after its head has left. Its own word is
// needed, as the registry may be older: it has joined a later formation, or was outside of this one when no join could come any more.
func (d *Decider) hasLeft(f Formation, s *serverState) bool {
	head := d.servers[f.Head()]
	switch {
	case head == nil || !head.memberKnown || head.isMemberOf(f):
		return false
	case s == nil || !s.memberKnown || s.isMemberOf(f):
		return false
	case s.highestEpoch > f.Epoch:
		return true
	default:
		return !s.toldAt.IsZero() && !s.told.InFormation(f.Group, f.Epoch) && !s.toldAt.Before(d.mayRejoinUntil(s, f))
	}
}

// releaseOrders returns the orders that make the members of a retired formation leave whose head has left and may reopen it. Members
// that seem to have left are probed.
func (d *Decider) releaseOrders(now time.Time, f Formation, head *serverState) []Order {
	if !head.memberKnown || !d.mayReopen(now, head, f) {
		return nil
	}
	var out []Order
	for _, id := range f.Members[1:] {
		s := d.servers[id]
		switch {
		case s == nil || s.lost():
		case s.isMemberOf(f):
			out = append(out, d.issue(now, s, Order{Kind: Leave, Group: f.Group, Epoch: f.Epoch})...)
		case !d.hasLeft(f, s) && !now.Before(d.mayRejoinUntil(s, f)) && now.Sub(s.probedAt) >= doubtProbeInterval:
			s.needsProbe = true
		}
	}
	return out
}

// boundServers returns the servers that retired formations bind for longer than maxBoundTime because of late orders.
func (d *Decider) boundServers(now time.Time, retired []Formation) sets.Set[string] {
	out := sets.New[string]()
	end := now.Add(maxBoundTime)
	for _, f := range retired {
		head := d.servers[f.Head()]
		if head == nil || head.lost() || !end.Before(d.mayReopenUntil(head, f)) {
			continue
		}
		out.Add(head.ID)
		for _, id := range f.Members[1:] {
			if s := d.servers[id]; s != nil && s.highestEpoch <= f.Epoch && end.Before(d.mayRejoinUntil(s, f)) {
				out.Add(id)
			}
		}
	}
	return out
}

// withoutBound leaves out of the remaining members of a formation those that late orders bind, if there are enough spares with the
// weights for their places.
func (d *Decider) withoutBound(now time.Time, p *Plan, f Formation, kept []string) []string {
	bound := d.boundServers(now, p.Retired)
	if !slices.ContainsFunc(kept, bound.Has) {
		return kept
	}
	others := slices.DeleteFunc(slices.Clone(kept), bound.Has)
	spares := slices.DeleteFunc(d.freeWithWeights(now, p, f.Domain, f.Model), func(s *serverState) bool { return slices.Contains(kept, s.ID) })
	if len(others)+len(spares) < len(f.Members) {
		return kept
	}
	return others
}

// canReplaceBound reports whether a formation that does not serve waits for members that late orders bind, and there are enough spares
// with the weights for their places.
func (d *Decider) canReplaceBound(now time.Time, p *Plan, f Formation) bool {
	return len(p.Retired) > 0 && !d.serves(f) && len(d.withoutBound(now, p, f, f.Members)) < len(f.Members)
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}
