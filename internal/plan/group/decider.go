package group

import (
	"slices"
	"time"

	"geraniumhollow/internal/core/window"
	"geraniumhollow/internal/fleet/index"
	"geraniumhollow/internal/fleet/server"
	"geraniumhollow/internal/route/batch"
)

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

// Probe asks for the state of a backend server.
type Probe struct {
	Server  string
	Address string
}

// Note is a decision for the log.
type Note struct {
	Decision string
	Group    string
	Epoch    uint64
	Reason   string
}

// Decider keeps the groups of one service.
type Decider struct {
	cfg  Config
	plan Plan
	// next is the plan of a commit that is under way.
	next  *Plan
	view  *index.View
	hosts map[string]*host
	// began is when the decider made its first step.
	began time.Time
	// beatsAt is when the registrations were read last.
	beatsAt time.Time
	// short is when a retired formation was first known to lack a member, so that its head stands.
	short map[index.Formation]time.Time
	// trouble is when a formation was first seen to need a change, and winding when it began to close
	// because a member leaves or is slow.
	trouble map[index.Formation]time.Time
	winding map[index.Formation]time.Time
	// loads are the weight loads that were ordered of late. They are counted once callers are served.
	loads   *window.Counter
	traffic bool
	notes   []Note
	// found is nil when it has to be made anew.
	found *lookup
}

// New returns a decider that goes on from a stored plan.
func New(cfg Config, plan Plan) *Decider {
	d := &Decider{
		cfg: cfg, plan: plan, hosts: make(map[string]*host), loads: window.New(loadWindow),
		short: make(map[index.Formation]time.Time), trouble: make(map[index.Formation]time.Time),
		winding: make(map[index.Formation]time.Time),
	}
	for _, f := range slices.Concat(plan.Current, plan.Retired) {
		d.recall(f)
	}
	return d
}

// recall makes the members of a stored formation known, so that those that the registry lacks are asked.
func (d *Decider) recall(f Formation) {
	for i, id := range f.Members {
		if d.hosts[id] != nil || i >= len(f.Addresses) {
			continue
		}
		h := newHost(time.Time{})
		h.Info = server.Info{ID: id, Service: f.Service, Address: f.Addresses[i], Domain: f.Domain}
		h.suspect = true
		d.hosts[id] = h
		d.moved()
	}
}

// Configure takes another description of the engine.
func (d *Decider) Configure(e *batch.Engine) { d.cfg.Engine = e }

// Traffic says that callers have been served: from now on loads are slow and count.
func (d *Decider) Traffic() { d.traffic = true }

// Plan returns the plan that is in force.
func (d *Decider) Plan() Plan { return d.plan }

// Committed puts the plan of the last commit in force.
func (d *Decider) Committed() {
	if d.next != nil {
		d.plan, d.next = *d.next, nil
		d.moved()
	}
}

// CommitFailed forgets the plan of the last commit, which has not been stored.
func (d *Decider) CommitFailed() { d.next = nil }

// Step returns what is to be done now.
func (d *Decider) Step(now time.Time) Actions {
	if d.began.IsZero() {
		d.began = now
	}
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

// Census counts what stands.
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
		if _, used := d.placeOf(id); !used && h.usable() && h.Domain != "" {
			c.Free++
		}
		if h.lost() {
			c.Lost++
		}
	}
	return c
}

func (d *Decider) note(decision string, f Formation, reason string) {
	d.notes = append(d.notes, Note{Decision: decision, Group: f.Group, Epoch: f.Epoch, Reason: reason})
}

func (f Formation) key() index.Formation { return index.Formation{Group: f.Group, Epoch: f.Epoch} }
