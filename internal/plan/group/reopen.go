package group

import (
	"time"

	"geraniumhollow/internal/fleet/index"
)

// An order without an answer may be executed later, after newer ones. A head that has left its formation serves again if it
// executes a join and then an open of that formation. It must not be ordered to join another one before: that order may be
// executed late, too, while the head serves. Members of the formation wait as well.
//
// This can only happen while a join and an open are outstanding at the same time. A keeper knows its own orders, and the plan
// tells it whether, and for how long, that may be so for those of earlier keepers.

const (
	// reopenMargin is how much longer than needed the plan is made to say that a head may reopen, so that an order can be sent
	// again without another change of the plan.
	reopenMargin = 1500 * time.Millisecond
	// reopenStoreInterval is the time after which the rest of such a time is stored again, for the next keeper.
	reopenStoreInterval = 4 * time.Second
)

// unansweredOrder identifies the orders of one kind to a server for one formation.
type unansweredOrder struct {
	kind  Kind
	epoch uint64
}

// isInherited reports whether an earlier keeper, or an earlier decider of this one, may have given orders for a formation.
func (d *Decider) isInherited(f Formation) bool { return f.Epoch <= d.plan.InheritedEpoch }

// outstandingUntil returns until when an order of a kind for a formation may still be executed, as far as this keeper knows.
func (d *Decider) outstandingUntil(s *serverState, f Formation, k Kind) time.Time {
	var until time.Time
	if d.isInherited(f) && !s.startedAfter(f) {
		until = d.startedAt.Add(d.cfg.Overlap + maxOrderDelay)
	}
	if o, ok := s.lastOrders[k]; ok && o.outcome == "" && o.order.Group == f.Group && o.order.Epoch == f.Epoch {
		until = later(until, o.at.Add(orderRetryInterval+maxOrderDelay))
	}
	if at, ok := s.unconfirmed[unansweredOrder{k, f.Epoch}]; ok {
		until = later(until, at.Add(maxOrderDelay))
	}
	return until
}

// storedUntil returns until when the plan in force says that the head of a formation may reopen.
func (d *Decider) storedUntil(f Formation) time.Time {
	until, ok := d.reopenUntil[f.key()]
	switch {
	case f.NoReopen:
		return time.Time{}
	case ok:
		return until
	case f.ReopenMs > 0:
		return d.startedAt.Add(time.Duration(f.ReopenMs) * time.Millisecond)
	default:
		return d.startedAt.Add(d.cfg.Overlap + maxOrderDelay)
	}
}

// startedAfter reports whether the head of a formation has started again since the plan named its process. It is not ordered to
// open before the plan names the new one.
func (s *serverState) startedAfter(f Formation) bool {
	start := f.startedAt(0)
	return !start.IsZero() && !s.StartedAt.IsZero() && !start.Equal(s.StartedAt)
}

// mayReopen reports whether the head of a retired formation that has left it can still rejoin and open it.
func (d *Decider) mayReopen(now time.Time, head *serverState, f Formation) bool {
	return now.Before(d.mayReopenUntil(head, f))
}

// mayReopenUntil returns until when the head of a formation can rejoin and open it after it has left. It cannot once it has seen a
// later epoch.
func (d *Decider) mayReopenUntil(head *serverState, f Formation) time.Time {
	switch {
	case head.highestEpoch > f.Epoch || head.startedAfter(f):
		return time.Time{}
	case d.isInherited(f):
		return later(d.startedAt.Add(d.cfg.Overlap), d.storedUntil(f))
	default:
		return earlier(d.outstandingUntil(head, f, Join), d.outstandingUntil(head, f, Open))
	}
}

// mayOrderHead reports whether a join or an open may be sent to the head of a formation now. If the other one may still be
// executed, the plan has to say so first.
func (d *Decider) mayOrderHead(now time.Time, head *serverState, f Formation, k Kind) bool {
	other := Open
	if k == Open {
		other = Join
	}
	until := d.outstandingUntil(head, f, other)
	if needed := earlier(until, now.Add(maxOrderDelay)); !now.Before(needed) || !d.storedUntil(f).Before(needed) {
		return true
	}
	d.reopening[f.key()] = earlier(until, now.Add(maxOrderDelay+reopenMargin))
	return false
}

// reopeningOutdated reports whether the plan in force does not say for how long heads may reopen.
func (d *Decider) reopeningOutdated(now time.Time) bool {
	for _, list := range [][]Formation{d.plan.Current, d.plan.Retired} {
		for _, f := range list {
			if !f.NoReopen && (!now.Before(d.storedUntil(f)) || now.Sub(d.plannedAt) >= reopenStoreInterval) {
				return true
			}
		}
	}
	return false
}

// recordReopening updates in a plan for how long heads may reopen. Retired formations get no more such orders.
func (d *Decider) recordReopening(now time.Time, p *Plan) {
	for n, list := range [][]Formation{p.Current, p.Retired} {
		for i, f := range list {
			until := d.storedUntil(f)
			if n == 0 {
				until = later(until, d.reopening[f.key()])
			}
			list[i].NoReopen, list[i].ReopenMs = !now.Before(until), 0
			if now.Before(until) {
				list[i].ReopenMs = until.Sub(now).Milliseconds() + 1
			}
		}
	}
	clear(d.reopening)
}

// applyReopening applies what a plan that has been stored says of heads that may reopen.
func (d *Decider) applyReopening() {
	clear(d.reopenUntil)
	for _, list := range [][]Formation{d.plan.Current, d.plan.Retired} {
		for _, f := range list {
			if !f.NoReopen {
				d.reopenUntil[f.key()] = d.plannedAt.Add(time.Duration(f.ReopenMs) * time.Millisecond)
			}
		}
	}
}

func later(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// noteHeadWaits notes the beginning and the end of the time in which a retired formation binds its servers only because its head
// may reopen.
func (d *Decider) noteHeadWaits(now time.Time) {
	waits := make(map[index.Formation]time.Time)
	for _, f := range d.plan.Retired {
		head := d.servers[f.Head()]
		since, waited := d.headWaits[f.key()]
		switch {
		case head == nil || head.lost() || head.isMemberOf(f) || !head.memberKnown:
		case d.mayReopen(now, head, f):
			if !waited {
				since = now
				d.addNote("wait", f, "head_may_reopen")
			}
			waits[f.key()] = since
		case waited:
			d.addNote("end_wait", f, "waited_"+now.Sub(since).String())
		}
	}
	d.headWaits = waits
}
