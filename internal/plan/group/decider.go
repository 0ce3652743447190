package group

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"geraniumhollow/internal/core/sets"
	"geraniumhollow/internal/core/window"
	"geraniumhollow/internal/fleet/index"
	"geraniumhollow/internal/fleet/server"
	"geraniumhollow/internal/route/batch"
)

// Config holds the settings of a decider.
type Config struct {
	// Service is the service whose servers form groups.
	Service string
	Engine  *batch.Engine
	// StallTime is how long a head that has lost a member stalls before it enters the broken state.
	StallTime time.Duration
	// HeartbeatInterval is the time between heartbeats that renew a server's registration.
	HeartbeatInterval time.Duration
	// Overlap is how long after the first step an earlier keeper may still give orders.
	Overlap time.Duration
}

// Actions are the side effects that the caller carries out.
type Actions struct {
	// Commit is a plan to store, or nil. The next one is returned only after a call of Committed or
	// CommitFailed.
	Commit *Plan
	Orders []Order
	Probes []Probe
	// PeerProbes lists servers that other nodes are asked to probe.
	PeerProbes []Probe
	Decisions  []Decision
}

// Probe asks for the state of a backend server.
type Probe struct {
	Server  string
	Address string
}

// Decision is a decision to log.
type Decision struct {
	Decision string
	Group    string
	Epoch    uint64
	Reason   string
	// Evidence describes what is known of the servers that the decision is about, or is "".
	Evidence string
}

// Decider manages the groups of one service.
type Decider struct {
	cfg  Config
	plan Plan
	// pending is the plan that is being stored, or nil.
	pending *Plan
	view    *index.View
	servers map[string]*serverState
	// startedAt is the time of the first step.
	startedAt time.Time
	// heartbeatsReadAt is when the registrations were last read.
	heartbeatsReadAt time.Time
	// observerLateUntil is until when this process may miss answers of servers, because it was not scheduled.
	observerLateUntil time.Time
	// incompleteSince is when a retired formation was first seen to lack a member, which stalls its
	// head.
	incompleteSince map[index.Formation]time.Time
	// changeNeededSince is when a formation was first seen to need a change. closingSince is when
	// it began to close because a member is draining or slow.
	changeNeededSince map[index.Formation]time.Time
	closingSince      map[index.Formation]time.Time
	// recentLoads counts recently ordered weight loads. It is used once callers are served.
	recentLoads    *window.Counter
	trafficStarted bool
	notes          []Decision
	// held has the domains whose groups may not be changed yet, and allHeld is set if it has all. See updateHeld.
	held    sets.Set[string]
	allHeld bool
	// reopenUntil is until when an order that contradicts NoReopen may be executed, as stored by this keeper, and reopening is the
	// time that has to be stored before the next one. plannedAt is when the plan that is being stored, or the last one, was made.
	reopenUntil map[index.Formation]time.Time
	reopening   map[index.Formation]time.Time
	plannedAt   time.Time
	// headWaits has the retired formations whose heads have left and may reopen, with the time at which that was first seen.
	headWaits map[index.Formation]time.Time
	// rejected has the formations of an earlier era of the store that a server has refused to join.
	rejected sets.Set[index.Formation]
	// index is nil if it has to be rebuilt.
	index *planIndex
	// follows is set if the number of groups follows demand. See target.go.
	follows bool
	targets *Targets
	// inherited counts the groups of the plan that this decider began with, by model.
	inherited map[string]int
	// lackingSince is since when a model has lacked groups for which there is no room. dissolving has the formations that make room.
	lackingSince map[string]time.Time
	dissolving   sets.Set[index.Formation]
}

// New returns a decider that continues from a stored plan.
func New(cfg Config, plan Plan) *Decider {
	d := &Decider{
		cfg: cfg, plan: plan, servers: make(map[string]*serverState), recentLoads: window.New(loadWindow),
		incompleteSince: make(map[index.Formation]time.Time), changeNeededSince: make(map[index.Formation]time.Time),
		closingSince: make(map[index.Formation]time.Time), rejected: sets.New[index.Formation](), reopenUntil: make(map[index.Formation]time.Time),
		reopening: make(map[index.Formation]time.Time), headWaits: make(map[index.Formation]time.Time),
		inherited: make(map[string]int), lackingSince: make(map[string]time.Time), dissolving: sets.New[index.Formation](),
	}
	for _, f := range plan.Current {
		d.inherited[f.Model]++
	}
	// The latest formation of a server has its last known start.
	formations := slices.Concat(plan.Current, plan.Retired)
	slices.SortStableFunc(formations, func(a, b Formation) int { return cmp.Compare(b.Epoch, a.Epoch) })
	for _, f := range formations {
		d.restoreMembers(f)
	}
	return d
}

// restoreMembers adds the members of a stored formation, so that those missing from the registry
// are probed.
func (d *Decider) restoreMembers(f Formation) {
	for i, id := range f.Members {
		if d.servers[id] != nil || i >= len(f.Addresses) {
			continue
		}
		s := newServerState(time.Time{})
		s.Info = server.Info{ID: id, Service: f.Service, Address: f.Addresses[i], Domain: f.Domain, StartedAt: f.startedAt(i)}
		s.needsProbe = true
		d.servers[id] = s
		d.invalidateIndex()
	}
}

// SetEngine replaces the description of the engine.
func (d *Decider) SetEngine(e *batch.Engine) { d.cfg.Engine = e }

// TrafficStarted reports that callers have been served. Weight loads are slow and limited from then on.
func (d *Decider) TrafficStarted() { d.trafficStarted = true }

// Plan returns the plan in force.
func (d *Decider) Plan() Plan { return d.plan }

// Committed puts the plan of the last commit in force.
func (d *Decider) Committed() {
	if d.pending != nil {
		d.plan, d.pending = *d.pending, nil
		d.invalidateIndex()
		d.applyReopening()
	}
}

// CommitFailed discards the plan of the last commit, which was not stored.
func (d *Decider) CommitFailed() { d.pending = nil }

// Step updates the plan and returns the actions to take now.
func (d *Decider) Step(now time.Time) Actions {
	if d.startedAt.IsZero() {
		d.startedAt = now
	}
	var a Actions
	d.removeLost(now)
	d.updateHeld(now)
	if d.pending == nil {
		next := d.plan.Clone()
		if d.view != nil && d.view.Read && d.updatePlan(now, &next) {
			a.Commit = d.store(now, next)
		}
	}
	d.noteHeadWaits(now)
	a.Orders = d.orders(now)
	if d.pending == nil && len(d.reopening) > 0 {
		a.Commit = d.store(now, d.plan.Clone())
	}
	a.Probes = d.probes(now)
	a.PeerProbes = d.peerProbes(now)
	a.Decisions, d.notes = d.notes, nil
	return a
}

// store returns a plan that is to be stored.
func (d *Decider) store(now time.Time, p Plan) *Plan {
	d.recordReopening(now, &p)
	d.pending, d.plannedAt = &p, now
	return &p
}

// Counts counts groups and servers by state.
type Counts struct {
	// Open and Planned count groups by model.
	Open    map[string]int
	Planned map[string]int
	Retired int
	// Free counts usable servers without a group, and Lost counts servers that do not answer.
	Free int
	Lost int
}

// Counts returns the current counts.
func (d *Decider) Counts() Counts {
	c := Counts{Open: make(map[string]int), Planned: make(map[string]int), Retired: len(d.plan.Retired)}
	for _, f := range d.plan.Current {
		c.Planned[f.Model]++
		if s := d.servers[f.Head()]; s != nil && s.isMemberOf(f) && s.Member.State == server.Open {
			c.Open[f.Model]++
		}
	}
	for id, s := range d.servers {
		if _, used := d.formationOf(id); !used && s.usable() && s.Domain != "" {
			c.Free++
		}
		if s.lost() {
			c.Lost++
		}
	}
	return c
}

func (d *Decider) addNote(decision string, f Formation, reason string) {
	d.notes = append(d.notes, Decision{Decision: decision, Group: f.Group, Epoch: f.Epoch, Reason: reason})
}

// addLossNote adds a decision about a formation, with what is known of the lost servers among those that it had.
func (d *Decider) addLossNote(now time.Time, decision string, f Formation, had []string, reason string) {
	d.addNote(decision, f, reason)
	var lost []string
	for _, id := range had {
		if s := d.servers[id]; s != nil && s.lost() {
			lost = append(lost, s.evidence(now))
		}
	}
	d.notes[len(d.notes)-1].Evidence = strings.Join(lost, "; ")
}

func (f Formation) key() index.Formation { return index.Formation{Group: f.Group, Epoch: f.Epoch} }
