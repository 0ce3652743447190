package group

import (
	"maps"
	"time"

	"geraniumhollow/internal/fleet/duty"
	"geraniumhollow/internal/fleet/index"
	"geraniumhollow/internal/fleet/server"
)

// Kind is what an order asks for.
type Kind string

// Kinds of orders.
const (
	// Join makes a server a member of a formation.
	Join Kind = "join"
	// Open makes a head that is ready serve.
	Open Kind = "open"
	// Close makes a head finish its requests and take no more.
	Close Kind = "close"
	// Leave ends a membership at once.
	Leave Kind = "leave"
	// Stage loads a model's weights onto the host.
	Stage Kind = "stage"
)

// Order is an order to a backend server. It may be given again.
type Order struct {
	Kind    Kind
	Server  string
	Address string
	Group   string
	Epoch   uint64
	Model   string
	Members []string
}

// Outcome is what became of an order.
type Outcome string

// Outcomes of orders.
const (
	// Accepted means that the order has begun or is done.
	Accepted Outcome = "accepted"
	// Rejected means that the order does not fit the state of the server.
	Rejected Outcome = "rejected"
	// Unknown means that there was no answer: the order may be carried out, also late.
	Unknown Outcome = "unknown"
)

// sent is an order that has been given.
type sent struct {
	order   Order
	at      time.Time
	outcome Outcome
}

// Times of orders.
const (
	// orderRepeat is when an order that shows no effect is given again.
	orderRepeat = 700 * time.Millisecond
	// lateOrder is how long after it was sent an order without an answer may still be carried out.
	lateOrder = 13 * time.Second
	// inheritedOrder is the same for orders of an earlier keeper, which may have given them for the rest of its
	// tenure after this one took over.
	inheritedOrder = lateOrder + duty.Tenure
	// stallMargin is added to the stall time of an engine before its head counts as broken.
	stallMargin = 500 * time.Millisecond
)

// orders returns the orders that bring the servers to the plan in force.
func (d *Decider) orders(now time.Time) []Order {
	var out []Order
	for _, f := range d.plan.Retired {
		out = append(out, d.release(now, f)...)
	}
	for _, f := range d.plan.Current {
		out = append(out, d.assemble(now, f)...)
	}
	out = append(out, d.strays(now)...)
	return append(out, d.prepare(now)...)
}

// give returns an order unless the same one was given a short time ago.
func (d *Decider) give(now time.Time, h *host, o Order) []Order {
	o.Server, o.Address = h.ID, h.Address
	last, ok := h.orders[o.Kind]
	same := ok && last.order.Group == o.Group && last.order.Epoch == o.Epoch && last.order.Model == o.Model
	if same && now.Sub(last.at) < orderRepeat {
		return nil
	}
	h.orders[o.Kind] = sent{order: o, at: now}
	return []Order{o}
}

// Ordered takes what became of an order.
func (d *Decider) Ordered(now time.Time, o Order, outcome Outcome) {
	h, ok := d.hosts[o.Server]
	if !ok {
		return
	}
	if last, ok := h.orders[o.Kind]; ok && last.order.Epoch == o.Epoch && last.order.Group == o.Group {
		last.outcome = outcome
		h.orders[o.Kind] = last
	}
	switch {
	case outcome == Unknown && (o.Kind == Join || o.Kind == Open):
		h.doubtful[o.Epoch] = now
	case outcome == Accepted && o.Kind == Join:
		h.epoch = max(h.epoch, o.Epoch)
	case outcome == Accepted && o.Kind == Leave && h.Member.Of(o.Group, o.Epoch):
		// The registry follows.
		h.Member = server.Member{}
	}
}

// release gives the orders that end a retired formation.
func (d *Decider) release(now time.Time, f Formation) []Order {
	leave := Order{Kind: Leave, Group: f.Group, Epoch: f.Epoch}
	head := d.hosts[f.Head()]
	if head != nil && !head.lost() {
		if head.in(f) {
			return d.give(now, head, leave)
		}
		return nil
	}
	// The head cannot be reached. It stands once it lacks a member, and is broken some time after that.
	for _, id := range f.Members[1:] {
		h := d.hosts[id]
		if h != nil && !h.lost() && h.in(f) {
			return d.give(now, h, leave)
		}
	}
	return nil
}

// released reports whether the head of a retired formation is known not to serve, now or later.
func (d *Decider) released(now time.Time, f Formation) bool {
	head := d.hosts[f.Head()]
	switch {
	case head == nil || d.dead(now, head):
		return true
	case head.lost():
		return d.broken(now, f)
	case head.in(f) || !head.known:
		return false
	default:
		return !d.mayComeBack(now, head, f)
	}
}

// mayComeBack reports whether orders that were not answered can still make a server a member of a formation
// that it has left: it has not seen a later epoch.
func (d *Decider) mayComeBack(now time.Time, h *host, f Formation) bool {
	if h.epoch > f.Epoch {
		return false
	}
	at, ok := h.doubtful[f.Epoch]
	if !ok && now.Sub(d.began) < inheritedOrder && f.Epoch <= d.plan.Inherited {
		// Orders of an earlier keeper are not known.
		return true
	}
	return ok && now.Sub(at) < lateOrder
}

// broken reports whether a head that cannot be reached has been without a member for so long that it serves
// no more.
func (d *Decider) broken(now time.Time, f Formation) bool {
	for _, id := range f.Members[1:] {
		h := d.hosts[id]
		if h != nil && !h.gone && h.in(f) {
			continue
		}
		since, ok := d.short[f.key()]
		if !ok {
			d.short[f.key()] = now
			return false
		}
		return now.Sub(since) >= d.cfg.StallTime+stallMargin
	}
	// An order of an earlier keeper that is carried out late may bring a member back, and the head goes on.
	delete(d.short, f.key())
	return false
}

// heldBack reports whether a server was a member of a formation whose head may still serve. The head itself is
// free once it has left: joining another formation is what keeps it from coming back.
func (d *Decider) heldBack(now time.Time, id string) bool {
	for _, r := range d.plan.Retired {
		switch {
		case r.Head() == id:
			if h := d.hosts[id]; h != nil && (h.in(r) || !h.known) {
				return true
			}
		case r.Has(id) && !d.released(now, r):
			return true
		}
	}
	return false
}

// mayJoin reports whether a server may be told to join another formation.
func (d *Decider) mayJoin(now time.Time, h *host, f Formation) bool {
	if !h.known || d.heldBack(now, h.ID) {
		return false
	}
	return !h.Member.Some() || h.in(f) || !d.headServes(h)
}

// headServes reports whether the head of the formation in which a server says that it is may serve.
func (d *Decider) headServes(h *host) bool {
	for _, o := range d.hosts {
		if o.Member.Of(h.Member.Group, h.Member.Epoch) && o.Member.Rank == 0 && !o.gone {
			return o.Member.State == server.Open || o.Member.State == server.Closing
		}
	}
	return false
}

// assemble gives the orders that form a group.
func (d *Decider) assemble(now time.Time, f Formation) []Order {
	var out []Order
	ready := 0
	for _, id := range f.Members {
		h := d.hosts[id]
		switch {
		case h == nil || h.lost():
		case h.in(f) && h.Member.State != server.Joining:
			ready++
		case h.in(f):
		case d.mayJoin(now, h, f) && (h.HasStaged(f.Model) || d.mayLoad(now, h, groupLoads)):
			out = append(out, d.give(now, h, Order{Kind: Join, Group: f.Group, Epoch: f.Epoch, Model: f.Model, Members: f.Members})...)
		}
	}
	if head := d.hosts[f.Head()]; head != nil && ready == len(f.Members) {
		out = append(out, d.operate(now, f, head)...)
	}
	return out
}

// operate opens a head all of whose members are ready, or closes one that is to wind down.
func (d *Decider) operate(now time.Time, f Formation, head *host) []Order {
	_, winds := d.winding[f.key()]
	switch {
	case winds && head.Member.State == server.Open:
		return d.give(now, head, Order{Kind: Close, Group: f.Group, Epoch: f.Epoch})
	case !winds && head.Member.State == server.Ready:
		return d.give(now, head, Order{Kind: Open, Group: f.Group, Epoch: f.Epoch})
	default:
		return nil
	}
}

// strays makes servers leave formations that are not in the plan.
func (d *Decider) strays(now time.Time) []Order {
	var out []Order
	for _, id := range d.sorted() {
		h := d.hosts[id]
		if !h.Member.Some() || h.lost() || d.planned(h.Member) || standsBy(h.Member) {
			continue
		}
		if f, ok := d.placeOf(id); ok && h.Member.Rank > 0 && f.Epoch > h.Member.Epoch {
			continue // The join of its formation replaces the membership.
		}
		out = append(out, d.give(now, h, Order{Kind: Leave, Group: h.Member.Group, Epoch: h.Member.Epoch})...)
	}
	return out
}

// planned reports whether a membership is of a formation that the plan holds.
func (d *Decider) planned(m server.Member) bool {
	return d.find().planned.Has(index.Formation{Group: m.Group, Epoch: m.Epoch})
}

// settleDoubts forgets unanswered orders that cannot be carried out any more.
func (h *host) settleDoubts(now time.Time) {
	maps.DeleteFunc(h.doubtful, func(_ uint64, at time.Time) bool { return now.Sub(at) >= lateOrder })
}
