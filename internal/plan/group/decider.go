package group

import (
	"maps"
	"slices"
	"time"

	"geraniumhollow/internal/fleet/index"
	"geraniumhollow/internal/fleet/server"
	"geraniumhollow/internal/route/batch"
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

// Order is an order to a backend server.
type Order struct {
	Kind    Kind
	Server  string
	Address string
	Group   string
	Epoch   uint64
	Model   string
	Members []string
}

// Probe asks a backend server for its state.
type Probe struct {
	Server  string
	Address string
}

// Note is a decision for the log.
type Note struct {
	Decision string
	Group    string
	Epoch    uint64
	Server   string
	Reason   string
}

// Actions are what the shell carries out.
type Actions struct {
	// Commit is a plan to store, or nil. No other is given before Committed or CommitFailed.
	Commit *Plan
	Orders []Order
	Probes []Probe
	// Witness are servers to ask other nodes about.
	Witness []Probe
	Notes   []Note
}

// Config shapes a decider.
type Config struct {
	// Service is the service whose servers form groups.
	Service string
	Engine  *batch.Engine
	// StallTime is how long a head stands after it has lost a member before it is broken.
	StallTime time.Duration
	// BeatInterval is the time between renewals of a server's registration.
	BeatInterval time.Duration
}

// Times of orders.
const (
	// orderRepeat is when an order that shows no effect is sent again.
	orderRepeat = 700 * time.Millisecond
	// stallMargin is added to the stall time of an engine before its head counts as broken.
	stallMargin = 500 * time.Millisecond
)

// Decider keeps the groups of one service.
type Decider struct {
	cfg   Config
	plan  Plan
	next  *Plan
	view  *index.View
	hosts map[string]*host
	// short is when a retired formation was first known to lack a member, so that its head stands.
	short map[index.Formation]time.Time
	notes []Note
	loads rate
	// traffic says that callers have been served, from when on loads are rationed.
	traffic bool
	closing map[index.Formation]time.Time
	// trouble is when a formation was first seen to need a change.
	trouble map[index.Formation]time.Time
	// beatsAt is when the registrations were read last.
	beatsAt time.Time
}

// New returns a decider that goes on from a stored plan.
func New(cfg Config, plan Plan) *Decider {
	return &Decider{
		cfg: cfg, plan: plan, hosts: make(map[string]*host),
		short: make(map[index.Formation]time.Time), closing: make(map[index.Formation]time.Time),
		trouble: make(map[index.Formation]time.Time),
	}
}

// Configure takes another description of the engine.
func (d *Decider) Configure(e *batch.Engine) { d.cfg.Engine = e }

// Plan returns the plan that is in force.
func (d *Decider) Plan() Plan { return d.plan }

// Committed puts the plan of the last commit in force.
func (d *Decider) Committed() {
	if d.next != nil {
		d.plan, d.next = *d.next, nil
	}
}

// CommitFailed forgets the plan of the last commit, which has not been stored.
func (d *Decider) CommitFailed() { d.next = nil }

// Step returns what is to be done now.
func (d *Decider) Step(now time.Time) Actions {
	var a Actions
	d.forget(now)
	if d.next == nil {
		next := d.plan.Clone()
		if d.replan(now, &next) {
			d.next = &next
			a.Commit = &next
		}
	}
	a.Orders = d.orders(now)
	a.Probes = d.probes(now)
	a.Witness = d.witness(now)
	a.Notes, d.notes = d.notes, nil
	return a
}

// Census counts the groups of the plan.
type Census struct {
	// Open and Planned count groups by model.
	Open    map[string]int
	Planned map[string]int
	Retired int
	// Free counts usable servers without a group, Lost those that do not answer.
	Free int
	Lost int
}

// Census returns what stands now.
func (d *Decider) Census() Census {
	c := Census{Open: make(map[string]int), Planned: make(map[string]int), Retired: len(d.plan.Retired)}
	for _, f := range d.plan.Current {
		c.Planned[f.Model]++
		if h := d.hosts[f.Head()]; h != nil && h.in(f) && h.Member.State == server.Open {
			c.Open[f.Model]++
		}
	}
	for id, h := range d.hosts {
		if _, used := d.plan.Of(id); !used && h.usable() && h.Domain != "" {
			c.Free++
		}
		if h.lost() {
			c.Lost++
		}
	}
	return c
}

func (d *Decider) note(decision string, f Formation, server, reason string) {
	d.notes = append(d.notes, Note{Decision: decision, Group: f.Group, Epoch: f.Epoch, Server: server, Reason: reason})
}

func (d *Decider) sorted() []string { return slices.Sorted(maps.Keys(d.hosts)) }

func (f Formation) key() index.Formation { return index.Formation{Group: f.Group, Epoch: f.Epoch} }

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
	return append(out, d.stage(now)...)
}

// give returns an order unless the same one was sent a short time ago.
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

// Ordered takes the answer to an order; accepted says that it has begun or is done.
func (d *Decider) Ordered(now time.Time, o Order, accepted bool) {
	h, ok := d.hosts[o.Server]
	if !ok {
		return
	}
	last, ok := h.orders[o.Kind]
	if !ok || last.order.Epoch != o.Epoch || last.order.Group != o.Group {
		return
	}
	last.done, last.accepted = true, accepted
	h.orders[o.Kind] = last
	if o.Kind == Leave && h.Member.Of(o.Group, o.Epoch) {
		// It has left, or says that it is not a member; the registry follows.
		h.Member = server.Member{}
	}
}

// release gives the orders that end a retired formation.
func (d *Decider) release(now time.Time, f Formation) []Order {
	head := d.hosts[f.Head()]
	if head != nil && !head.lost() {
		if head.in(f) {
			return d.give(now, head, Order{Kind: Leave, Group: f.Group, Epoch: f.Epoch})
		}
		return nil
	}
	// The head cannot be reached. It stands once it lacks a member, and is broken some time after that.
	for _, id := range f.Members[1:] {
		h := d.hosts[id]
		if h != nil && !h.lost() && h.in(f) {
			return d.give(now, h, Order{Kind: Leave, Group: f.Group, Epoch: f.Epoch})
		}
	}
	return nil
}

// released reports whether the head of a retired formation is known not to serve.
func (d *Decider) released(now time.Time, f Formation) bool {
	head := d.hosts[f.Head()]
	if head == nil || d.dead(now, head) {
		return true
	}
	if !head.lost() {
		return !head.in(f)
	}
	for _, id := range f.Members[1:] {
		h := d.hosts[id]
		if h == nil || h.gone || !h.in(f) {
			since, ok := d.short[f.key()]
			if !ok {
				d.short[f.key()] = now
				return false
			}
			return now.Sub(since) >= d.cfg.StallTime+stallMargin
		}
	}
	return false
}

// assemble gives the orders that form a group.
func (d *Decider) assemble(now time.Time, f Formation) []Order {
	var out []Order
	ready := 0
	blocked := false
	for i, id := range f.Members {
		h := d.hosts[id]
		if h == nil || h.lost() {
			continue
		}
		if h.in(f) {
			if h.Member.State != server.Joining {
				ready++
			}
			continue
		}
		if !d.mayJoin(now, h, f) {
			blocked = blocked || i == 0
			continue
		}
		if i > 0 && blocked {
			continue
		}
		if !h.HasStaged(f.Model) && !d.mayLoad(now, h) {
			continue
		}
		out = append(out, d.give(now, h, Order{Kind: Join, Group: f.Group, Epoch: f.Epoch, Model: f.Model, Members: f.Members})...)
		if i == 0 && h.Member.Some() {
			// An earlier head takes the new epoch before its members go elsewhere.
			blocked = true
		}
	}
	head := d.hosts[f.Head()]
	if head == nil || ready < len(f.Members) {
		return out
	}
	if _, winding := d.closing[f.key()]; winding {
		if head.Member.State == server.Open {
			out = append(out, d.give(now, head, Order{Kind: Close, Group: f.Group, Epoch: f.Epoch})...)
		}
		return out
	}
	if head.Member.State == server.Ready {
		out = append(out, d.give(now, head, Order{Kind: Open, Group: f.Group, Epoch: f.Epoch})...)
	}
	return out
}

// mayJoin reports whether a server may be told to join a formation: no earlier head that counts on it
// may serve.
func (d *Decider) mayJoin(now time.Time, h *host, f Formation) bool {
	if d.heldBack(now, h.ID) {
		return false
	}
	if !h.Member.Some() || h.in(f) {
		return true
	}
	return !d.headServes(h.Member)
}

// heldBack reports whether a server was a member of a formation whose head may still serve.
func (d *Decider) heldBack(now time.Time, id string) bool {
	for _, r := range d.plan.Retired {
		if r.Has(id) && !d.released(now, r) {
			return true
		}
	}
	return false
}

// headServes reports whether the head of a formation that the plan does not know may serve.
func (d *Decider) headServes(m server.Member) bool {
	for _, h := range d.hosts {
		if h.Member.Of(m.Group, m.Epoch) && h.Member.Rank == 0 && !h.gone {
			return h.Member.State == server.Open || h.Member.State == server.Closing
		}
	}
	return false
}

// strays makes servers leave formations that are not in the plan.
func (d *Decider) strays(now time.Time) []Order {
	var out []Order
	for _, id := range d.sorted() {
		h := d.hosts[id]
		if !h.Member.Some() || h.lost() || d.planned(h.Member) || standsBy(h.Member) {
			continue
		}
		if f, ok := d.plan.Of(id); ok && h.Member.Rank > 0 && f.Epoch > h.Member.Epoch {
			continue // The join of its formation replaces the membership.
		}
		out = append(out, d.give(now, h, Order{Kind: Leave, Group: h.Member.Group, Epoch: h.Member.Epoch})...)
	}
	return out
}

func (d *Decider) planned(m server.Member) bool {
	for _, f := range d.plan.Current {
		if m.Of(f.Group, f.Epoch) {
			return true
		}
	}
	for _, f := range d.plan.Retired {
		if m.Of(f.Group, f.Epoch) {
			return true
		}
	}
	return false
}
