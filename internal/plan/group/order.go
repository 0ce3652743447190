package group

import (
	"maps"
	"time"

	"geraniumhollow/internal/core/sets"
	"geraniumhollow/internal/fleet/index"
	"geraniumhollow/internal/fleet/server"
)

// Kind is the kind of an order.
type Kind string

// Kinds of orders.
const (
	// Join makes a server a member of a formation.
	Join Kind = "join"
	// Open makes a ready head serve.
	Open Kind = "open"
	// Close makes a head finish its requests and accept no new ones.
	Close Kind = "close"
	// Leave ends a membership at once.
	Leave Kind = "leave"
	// Stage loads the weights of a model onto the host.
	Stage Kind = "stage"
)

// Order is an order to a backend server. The same order may be sent again.
type Order struct {
	Kind    Kind
	Server  string
	Address string
	Group   string
	Epoch   uint64
	Model   string
	Members []string
	// StartedAt is when the process that the order is meant for started, or zero if that is unknown.
	StartedAt time.Time
}

// Outcome is the outcome of an order.
type Outcome string

// Outcomes of orders.
const (
	// Accepted means that the order has started or is done.
	Accepted Outcome = "accepted"
	// Rejected means that the state of the server does not allow the order.
	Rejected Outcome = "rejected"
	// Misdirected means that the process at the address has another ID, so that the one that the order was meant for has ended.
	Misdirected Outcome = "misdirected"
	// Unknown means that there was no answer: the order may still be executed, possibly late.
	Unknown Outcome = "unknown"
)

// sentOrder is an order that has been sent.
type sentOrder struct {
	order   Order
	at      time.Time
	outcome Outcome
}

// Timing of orders.
const (
	// orderRetryInterval is the time after which an order without visible effect is sent again.
	orderRetryInterval = 700 * time.Millisecond
	// maxOrderDelay is how long after it was sent an unanswered order may still be executed.
	maxOrderDelay = 13 * time.Second
	// stallMargin is added to the stall time of a head before the head counts as broken.
	stallMargin = 500 * time.Millisecond
)

// orders returns the orders that bring the servers to the plan in force.
func (d *Decider) orders(now time.Time) []Order {
	if d.allHeld {
		return nil
	}
	var out []Order
	for _, f := range d.plan.Retired {
		out = append(out, d.retireOrders(now, f)...)
	}
	for _, f := range d.plan.Current {
		out = append(out, d.formOrders(now, f)...)
	}
	out = append(out, d.strayOrders(now)...)
	return append(out, d.spareOrders(now)...)
}

// issue returns an order and records it, unless the same order was sent less than
// orderRetryInterval ago.
func (d *Decider) issue(now time.Time, s *serverState, o Order) []Order {
	o.Server, o.Address, o.StartedAt = s.ID, s.Address, s.StartedAt
	last, ok := s.lastOrders[o.Kind]
	same := ok && last.order.Group == o.Group && last.order.Epoch == o.Epoch && last.order.Model == o.Model
	if same && now.Sub(last.at) < orderRetryInterval {
		return nil
	}
	s.lastOrders[o.Kind] = sentOrder{order: o, at: now}
	return []Order{o}
}

// OrderDone records the outcome of an order.
func (d *Decider) OrderDone(now time.Time, o Order, outcome Outcome) {
	s, ok := d.servers[o.Server]
	if !ok {
		return
	}
	if last, ok := s.lastOrders[o.Kind]; ok && last.order.Epoch == o.Epoch && last.order.Group == o.Group {
		last.outcome = outcome
		s.lastOrders[o.Kind] = last
	}
	d.recordRejected(o, outcome)
	s.recordJoin(now, o, outcome)
	if outcome == Unknown {
		if o.Kind == Join || o.Kind == Open {
			s.unconfirmed[unansweredOrder{o.Kind, o.Epoch}] = now
		}
		return
	}
	if o.StartedAt.IsZero() || o.StartedAt.Equal(s.StartedAt) { // Else the server has started again since.
		s.apply(o, outcome)
	}
}

// apply applies the known outcome of an order.
func (s *serverState) apply(o Order, outcome Outcome) {
	switch {
	case outcome == Misdirected && o.StartedAt.Equal(s.StartedAt):
		s.exited = true
	case outcome == Accepted && o.Kind == Join:
		s.highestEpoch = max(s.highestEpoch, o.Epoch)
	case outcome == Accepted && o.Kind == Leave && s.Member.InFormation(o.Group, o.Epoch):
		// The registry shows this later.
		s.Member = server.Member{}
		s.tell(s.lastOrders[Leave].at, s.Member)
	}
}

// retireOrders returns the orders that end a retired formation.
func (d *Decider) retireOrders(now time.Time, f Formation) []Order {
	leave := Order{Kind: Leave, Group: f.Group, Epoch: f.Epoch}
	head := d.servers[f.Head()]
	if head != nil && !head.lost() {
		if head.isMemberOf(f) {
			return d.issue(now, head, leave)
		}
		return d.releaseOrders(now, f, head)
	}
	// The head cannot be reached. Removing a member stalls it, and some time later it is broken.
	for _, id := range f.Members[1:] {
		s := d.servers[id]
		if s != nil && !s.lost() && s.isMemberOf(f) {
			return d.issue(now, s, leave)
		}
	}
	return nil
}

// headStopped reports whether the head of a retired formation is known not to serve now or later.
func (d *Decider) headStopped(now time.Time, f Formation) bool {
	head := d.servers[f.Head()]
	switch {
	case head == nil || d.confirmedDead(now, head):
		return true
	case head.lost():
		return d.headBroken(now, f)
	case head.isMemberOf(f) || !head.memberKnown:
		return false
	default:
		return !d.mayReopen(now, head, f)
	}
}

// headBroken reports whether an unreachable head has lacked a member for long enough to be broken.
func (d *Decider) headBroken(now time.Time, f Formation) bool {
	for _, id := range f.Members[1:] {
		s := d.servers[id]
		if s != nil && !s.exited && s.isMemberOf(f) {
			continue
		}
		since, ok := d.incompleteSince[f.key()]
		if !ok {
			d.incompleteSince[f.key()] = now
			return false
		}
		return now.Sub(since) >= d.cfg.StallTime+stallMargin
	}
	// A delayed order of an earlier keeper can bring a member back, and then the head continues.
	delete(d.incompleteSince, f.key())
	return false
}

// boundToRetired reports whether a server may not join another formation because it was in a
// retired one whose head may still serve. A member is free once it has certainly left. The head is not:
// joining another formation prevents it from rejoining, but that order may be executed later than those
// that make it serve.
func (d *Decider) boundToRetired(now time.Time, id string) bool {
	for _, r := range d.plan.Retired {
		switch {
		case r.Head() == id:
			if s := d.servers[id]; s != nil && (s.isMemberOf(r) || !s.memberKnown || d.mayReopen(now, s, r)) {
				return true
			}
		case r.HasMember(id) && !d.hasLeft(r, d.servers[id]) && !d.headStopped(now, r):
			return true
		}
	}
	return false
}

// mayJoin reports whether a server may be ordered to join a formation.
func (d *Decider) mayJoin(now time.Time, s *serverState, f Formation) bool {
	if !s.memberKnown || d.isHeld(s.Domain) || d.boundToRetired(now, s.ID) {
		return false
	}
	return !s.Member.InGroup() || s.isMemberOf(f) || !d.headMayServe(s)
}

// headMayServe reports whether the head of the formation that a server reported may be serving, by its last state and by an order
// to open that may have changed it since.
func (d *Decider) headMayServe(s *serverState) bool {
	for _, o := range d.servers {
		if !o.Member.InFormation(s.Member.Group, s.Member.Epoch) || o.Member.Rank != 0 || o.exited {
			continue
		}
		opened, ok := o.lastOrders[Open]
		ordered := ok && opened.order.Group == s.Member.Group && opened.order.Epoch == s.Member.Epoch && opened.outcome != Rejected
		return o.Member.State == server.Open || o.Member.State == server.Closing || o.Member.State == server.Ready && ordered
	}
	return false
}

// mayOrderJoin reports whether the member of a formation with a rank may be ordered to join it now.
func (d *Decider) mayOrderJoin(now time.Time, f Formation, rank int) bool {
	s := d.servers[f.Members[rank]]
	return d.mayJoin(now, s, f) && (rank > 0 || d.mayOrderHead(now, s, f, Join)) &&
		(s.HasStaged(f.Model) || d.reserveLoad(now, s, groupLoadShare))
}

// formOrders returns the orders that form a group.
func (d *Decider) formOrders(now time.Time, f Formation) []Order {
	var out []Order
	ready := 0
	for rank, id := range f.Members {
		s := d.servers[id]
		switch {
		case s == nil || s.lost():
		case s.hasJoined(f, rank) && s.Member.State != server.Joining && s.memberKnown:
			ready++
		case s.hasJoined(f, rank):
		case d.mayOrderJoin(now, f, rank):
			out = append(out, d.issue(now, s, Order{Kind: Join, Group: f.Group, Epoch: f.Epoch, Model: f.Model, Members: f.Members})...)
		}
	}
	if head := d.servers[f.Head()]; head != nil && ready == len(f.Members) {
		out = append(out, d.headOrders(now, f, head)...)
	}
	return out
}

// headOrders opens a head when all members are ready, or closes it when the group is closing.
func (d *Decider) headOrders(now time.Time, f Formation, head *serverState) []Order {
	_, closing := d.closingSince[f.key()]
	switch {
	case closing && head.Member.State == server.Open:
		return d.issue(now, head, Order{Kind: Close, Group: f.Group, Epoch: f.Epoch})
	case !closing && head.Member.State == server.Ready && d.mayOrderHead(now, head, f, Open):
		return d.issue(now, head, Order{Kind: Open, Group: f.Group, Epoch: f.Epoch})
	default:
		return nil
	}
}

// strayOrders makes servers leave formations that are not in the plan.
func (d *Decider) strayOrders(now time.Time) []Order {
	var out []Order
	for _, id := range d.serverIDs() {
		s := d.servers[id]
		if !s.Member.InGroup() || s.lost() || !s.memberKnown || d.inPlan(s.Member) || d.plan.isLost(s.Member) || isStandby(s.Member) {
			continue
		}
		if f, ok := d.formationOf(id); ok && s.Member.Rank > 0 && f.Epoch > s.Member.Epoch {
			continue // Joining its planned formation replaces this membership.
		}
		out = append(out, d.issue(now, s, Order{Kind: Leave, Group: s.Member.Group, Epoch: s.Member.Epoch})...)
	}
	return out
}

// inPlan reports whether the plan has the formation of a membership.
func (d *Decider) inPlan(m server.Member) bool {
	return d.lookup().planned.Has(index.Formation{Group: m.Group, Epoch: m.Epoch})
}

// expireUnconfirmed removes unanswered orders that can no longer be executed, and what is known of orders for formations that are
// no longer planned.
func (s *serverState) expireUnconfirmed(now time.Time, planned sets.Set[index.Formation]) {
	maps.DeleteFunc(s.unconfirmed, func(_ unansweredOrder, at time.Time) bool { return now.Sub(at) >= maxOrderDelay })
	maps.DeleteFunc(s.joinedBy, func(f index.Formation, _ time.Time) bool { return !planned.Has(f) })
}
