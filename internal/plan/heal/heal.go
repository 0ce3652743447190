// Package heal is a pure decider that keeps the groups of one fabric domain: it opens and closes their
// routes, replaces lost members by spares, releases groups that have to be rebuilt elsewhere, places
// waiting groups, and orders engines to load weights, join or drop. It compares what the rows say with
// what the engines report at each step, so that every action may be repeated.
//
// Each keeper plans placements for the whole fleet from the rows, which all keepers see alike, and
// carries out only those in its own domain.
package heal

import (
	"reflect"
	"slices"
	"time"

	"geraniumhollow/internal/conf/view"
	"geraniumhollow/internal/core/sets"
	"geraniumhollow/internal/plan/form"
	"geraniumhollow/internal/plan/loads"
)

// Settings are the times and bounds of a keeper.
type Settings struct {
	// ReportMaxAge is the age past which a member's report opens no route.
	ReportMaxAge time.Duration
	// LostAfter is how long a host gives no report before it is replaced. It is longer than
	// ReportMaxAge because a replacement costs a load of weights and a late report does not.
	LostAfter time.Duration
	// RebuildAfter is how long a group without a spare waits for its lost host before it may be
	// rebuilt elsewhere.
	RebuildAfter time.Duration
	// ReturnWindow is how long a lost host is expected back.
	ReturnWindow time.Duration
	// LeaseLifetime and MaxOrder are what a new keeper waits before it orders engines that ignore
	// fencing: the old lease and the longest time that an order takes to arrive.
	LeaseLifetime time.Duration
	MaxOrder      time.Duration
	// OrderRepeat is when an order that shows no effect is sent again.
	OrderRepeat time.Duration
	// FlapBase is how long a host is held back after its second loss. It doubles with each further
	// loss up to FlapMax; FlapForget without a loss clears the count.
	FlapBase   time.Duration
	FlapMax    time.Duration
	FlapForget time.Duration
	// DrainNotice is how long nodes may still send to a closed route; DrainTimeout bounds the wait
	// for its running requests.
	DrainNotice  time.Duration
	DrainTimeout time.Duration
	// LoadsAtOnce bounds the loads of the domain; groups from other domains get at most half of it.
	LoadsAtOnce int
}

// DefaultSettings returns the settings in use.
func DefaultSettings() Settings {
	return Settings{
		ReportMaxAge: 3 * time.Second, LostAfter: 6 * time.Second, RebuildAfter: 30 * time.Second,
		ReturnWindow: 10 * time.Minute, LeaseLifetime: 15 * time.Second, MaxOrder: 5 * time.Second,
		OrderRepeat: 5 * time.Second, FlapBase: 30 * time.Second, FlapMax: 10 * time.Minute,
		FlapForget: time.Hour, DrainNotice: 4 * time.Second, DrainTimeout: 2 * time.Minute, LoadsAtOnce: 8,
	}
}

// Observation is what the engine of one host reported of that host.
type Observation struct {
	// At is a time at which the report was true: when it was asked for, less its age.
	At         time.Time
	Instance   string
	Group      string
	Generation uint64
	Running    int
	Loaded     []form.Weights
}

// OrderKind is what an engine is told to do.
type OrderKind string

// Kinds of orders. Load takes weights into memory beside those in use; Join loads them if need be and
// makes the host a member; Drop ends membership and keeps the weights.
const (
	Load OrderKind = "load"
	Join OrderKind = "join"
	Drop OrderKind = "drop"
)

// Order is a declarative order to the engine of one host.
type Order struct {
	Kind       OrderKind
	Host       string
	Fence      uint64
	Group      string
	Generation uint64
	Hosts      []string
	Weights    form.Weights
	Adapters   []string
}

// Route is an open route. It counts as open until Until, the end of the oldest member report.
type Route struct {
	view.Placement
	Until time.Time
}

// Note is the reason of a decision.
type Note struct {
	Kind     string
	Subject  string
	Decision string
	Reason   string
}

// Actions are what the shell carries out, in the order of the fields.
type Actions struct {
	// Closed and Opened are routes that changed.
	Closed  []string
	Opened  []view.Placement
	Commits []Commit
	Orders  []Order
	Notes   []Note
}

// Result is how a commit ended.
type Result string

// Results of a commit.
const (
	Applied  Result = "applied"
	Conflict Result = "conflict"
	Unknown  Result = "unknown"
)

// host is what the decider knows of a host of its own domain.
type host struct {
	obs  Observation
	seen bool
	// first is the earliest observation of the present group and generation without a gap.
	first     time.Time
	up        bool
	losses    int
	lastLoss  time.Time
	heldUntil time.Time
	leaving   bool
	orderedAt time.Time
	ordered   Order
}

// load is a load that has been ordered.
type load struct {
	weights   form.Weights
	displaced bool
	started   time.Time
}

// Decider keeps the groups of one domain. It is not safe for concurrent use.
type Decider struct {
	set    Settings
	domain string
	plan   Plan
	hosts  map[string]*host
	// hostNames are the own hosts, allHosts those of every domain, both sorted like groupNames.
	hostNames  []string
	allHosts   []string
	groupNames []string

	snap Snapshot
	// dirty is set while the rows may differ from the snapshot; a read that begins after needRead
	// clears it.
	dirty    bool
	needRead time.Time
	pending  map[uint64]Commit
	nextID   uint64

	fence uint64
	held  bool
	since time.Time

	routes   map[string]Route
	closedAt map[string]time.Time
	broken   map[string]time.Time
	loading  map[string]load
	starter  *loads.Starter
	placer   func(form.Input) []form.Choice
	notes    map[[2]string]Note
	// arrival orders the groups that need loads by when they first did.
	arrival  map[string]int
	arrivals int

	own     []string
	touched sets.Set[string]
	out     Actions
}

// Policies are the choices that a measurement can exchange for others.
type Policies struct {
	Place func(form.Input) []form.Choice
	Loads loads.Policy
}

// DefaultPolicies returns the policies in use.
func DefaultPolicies() Policies { return Policies{Place: form.Place, Loads: loads.SmallestFirst} }

// New returns a decider for a domain. It acts after it has a plan, rows and the duty.
func New(set Settings, domain string, policies Policies) *Decider {
	return &Decider{
		set: set, domain: domain, hosts: make(map[string]*host), dirty: true,
		pending: make(map[uint64]Commit), routes: make(map[string]Route),
		closedAt: make(map[string]time.Time), broken: make(map[string]time.Time),
		loading: make(map[string]load), notes: make(map[[2]string]Note), arrival: make(map[string]int),
		starter: loads.NewStarter(policies.Loads, set.LoadsAtOnce),
		placer:  policies.Place,
	}
}

// Configure puts a plan in force. The maps of the plan must not be changed afterwards.
func (d *Decider) Configure(p Plan) {
	if len(p.Hosts) > 0 && sameMap(p.Hosts, d.plan.Hosts) && sameMap(p.Domains, d.plan.Domains) {
		// Only the groups have changed; sorting the hosts of a large fleet again would cost more than
		// the rest of a pass.
		d.plan = p
		d.groupNames = sortedKeys(p.Groups)
		return
	}
	d.plan = p
	for name, h := range p.Hosts {
		if _, ok := d.hosts[name]; !ok && h.Domain == d.domain {
			d.hosts[name] = &host{}
		}
	}
	for name := range d.hosts {
		if h, ok := p.Hosts[name]; !ok || h.Domain != d.domain {
			delete(d.hosts, name)
		}
	}
	d.hostNames = sortedKeys(d.hosts)
	d.allHosts = sortedKeys(p.Hosts)
	d.groupNames = sortedKeys(p.Groups)
}

// sameMap reports whether two maps are one.
func sameMap[V any](a, b map[string]V) bool {
	return reflect.ValueOf(a).UnsafePointer() == reflect.ValueOf(b).UnsafePointer()
}

// Duty says whether the keeper holds the duty now, and with which fencing number.
func (d *Decider) Duty(fence uint64, held bool, now time.Time) {
	d.held = held
	if !held || fence == d.fence {
		return
	}
	d.fence = fence
	d.since = now
	// Rows that were read under an earlier duty may have been changed by a keeper in between.
	d.needRead, d.dirty = now, true
}

// Listed says which hosts the live list shows as leaving.
func (d *Decider) Listed(leaving sets.Set[string]) {
	for name, h := range d.hosts {
		h.leaving = leaving.Has(name)
	}
}

// Rows takes a snapshot whose read began at began. One that began before the latest commit was
// answered, or before the duty was taken, is dropped.
func (d *Decider) Rows(s Snapshot, began time.Time) {
	if len(d.pending) > 0 || !began.After(d.needRead) {
		return
	}
	d.snap = s
	d.dirty = false
}

// Committed takes the result of a commit. revision is that of an applied one. After any other result
// the rows are read back before they are acted upon.
func (d *Decider) Committed(id uint64, r Result, revision uint64, now time.Time) {
	c, ok := d.pending[id]
	if !ok {
		return
	}
	delete(d.pending, id)
	// A snapshot that is still on its way would undo what was just written.
	d.needRead = maxTime(d.needRead, now)
	if r != Applied {
		d.dirty = true
		return
	}
	for name, v := range c.Hosts {
		d.snap.Hosts[name] = Versioned[HostRow]{Row: v.Row, Revision: revision}
	}
	for name, v := range c.Groups {
		d.snap.Groups[name] = Versioned[GroupRow]{Row: v.Row, Revision: revision}
	}
}

// Report takes what a host reported, heard at now. Reports that are older than the last are dropped.
func (d *Decider) Report(name string, o Observation, now time.Time) {
	h, ok := d.hosts[name]
	if !ok || (h.seen && !o.At.After(h.obs.At)) {
		return
	}
	restarted := h.seen && h.obs.Instance != o.Instance
	if restarted {
		delete(d.loading, name)
		h.ordered = Order{}
		if h.up {
			d.lose(h, now)
		}
	}
	if restarted || h.breaks(o, d.set.ReportMaxAge) {
		h.first = o.At
	}
	h.obs, h.seen = o, true
	if !h.up && now.Sub(o.At) <= d.set.LostAfter {
		h.up = true
		if h.losses > 1 {
			h.heldUntil = now.Add(d.hold(h.losses))
		}
	}
}

// breaks reports whether o does not continue the membership of the last observation without a gap.
func (h *host) breaks(o Observation, maxGap time.Duration) bool {
	return !h.seen || o.At.Sub(h.obs.At) > maxGap || o.Group != h.obs.Group || o.Generation != h.obs.Generation
}

// lose counts a loss of a host.
func (d *Decider) lose(h *host, now time.Time) {
	if now.Sub(h.lastLoss) > d.set.FlapForget {
		h.losses = 0
	}
	h.up = false
	h.losses++
	h.lastLoss = now
}

// hold returns how long a host that has returned is held back.
func (d *Decider) hold(losses int) time.Duration {
	t := d.set.FlapBase
	for range losses - 2 {
		if t *= 2; t >= d.set.FlapMax {
			return d.set.FlapMax
		}
	}
	return t
}

// Routes returns the open routes, ordered by group.
func (d *Decider) Routes() []Route {
	out := make([]Route, 0, len(d.routes))
	for _, g := range sortedKeys(d.routes) {
		out = append(out, d.routes[g])
	}
	return out
}

// Rowset returns the rows that the decider acts upon. They must not be changed.
func (d *Decider) Rowset() Snapshot { return d.snap }

// Step returns what is to be done now.
func (d *Decider) Step(now time.Time) Actions {
	d.out = Actions{}
	d.touched = sets.New[string]()
	d.findOwn()
	d.observe(now)
	d.checkRoutes(now)
	if d.mayAct() {
		d.change(now)
		d.order(now)
	}
	return d.out
}

// mayAct reports whether the duty is held and the rows are known.
func (d *Decider) mayAct() bool {
	return d.held && !d.dirty && len(d.pending) == 0
}

// observe notes hosts whose reports have ceased.
func (d *Decider) observe(now time.Time) {
	for _, name := range d.hostNames {
		h := d.hosts[name]
		if h.up && now.Sub(h.obs.At) > d.set.LostAfter {
			d.lose(h, now)
			delete(d.loading, name)
			h.ordered = Order{}
			d.note("host", name, "lost", "no report within the time limit")
		}
	}
}

// state returns what a host of the own domain is now, or "" while that is not known.
func (d *Decider) state(name string, now time.Time) HostState {
	h, p := d.hosts[name], d.plan.Hosts[name]
	switch {
	case h == nil || !p.InService:
		return Out
	case h.leaving:
		return Leaving
	case h.up && now.Before(h.heldUntil):
		return Held
	case h.up:
		return Usable
	case now.Sub(maxTime(h.obs.At, d.since)) <= d.set.LostAfter:
		return ""
	case now.Sub(maxTime(h.lastLoss, d.since)) <= d.set.ReturnWindow:
		return Lost
	default:
		return Gone
	}
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// checkRoutes opens and closes routes. A route is open only while every member has reported the
// group and the generation of its row within ReportMaxAge. It opens only after they have done so for
// ReportMaxAge, so that no evidence of an earlier membership of a host is valid any longer.
func (d *Decider) checkRoutes(now time.Time) {
	for _, g := range sortedKeys(d.routes) {
		row := d.snap.Groups[g].Row
		if row.Generation != d.routes[g].Generation || row.Domain != d.domain {
			d.shut(g, now, "the group has another generation")
		}
	}
	for _, g := range d.ownGroups() {
		row := d.snap.Groups[g].Row
		_, open := d.routes[g]
		until, settled, why := d.evidence(g, row, now)
		if why == "" {
			why = d.draining(g, row, now)
		}
		switch {
		case open && why != "", why != "" && !d.judged(g, row, now):
			d.shut(g, now, why)
		case open:
			d.routes[g] = Route{Placement: d.routes[g].Placement, Until: until}
		case why == "" && settled:
			p := view.Placement{Group: g, Generation: row.Generation, FabricDomain: row.Domain, Hosts: slices.Clone(row.Hosts)}
			d.routes[g] = Route{Placement: p, Until: until}
			d.out.Opened = append(d.out.Opened, p)
			delete(d.broken, g)
			d.note("group", g, "route_open", "every member reports the group and its generation")
		}
	}
}

// judged reports whether a closed route needs no further word. A new keeper closes once what an earlier
// one may have left open, but not before it can have heard every member.
func (d *Decider) judged(g string, row GroupRow, now time.Time) bool {
	if !d.closedAt[g].IsZero() {
		return true
	}
	return slices.ContainsFunc(row.Hosts, func(name string) bool { return d.state(name, now) == "" })
}

// Resign forgets the routes and what is on its way, without closing anything, because another keeper
// may hold the duty. What the decider knows of its hosts stays.
func (d *Decider) Resign() {
	clear(d.routes)
	clear(d.closedAt)
	clear(d.loading)
}

func (d *Decider) shut(g string, now time.Time, why string) {
	delete(d.routes, g)
	d.closedAt[g] = now
	d.out.Closed = append(d.out.Closed, g)
	d.note("group", g, "route_closed", why)
}

// evidence returns until when the reports of the members keep the route open, whether they have
// lasted long enough to open it, and why not otherwise.
func (d *Decider) evidence(g string, row GroupRow, now time.Time) (time.Time, bool, string) {
	var until time.Time
	settled := true
	for _, name := range row.Hosts {
		h := d.hosts[name]
		switch {
		case h == nil || !h.seen || now.Sub(h.obs.At) >= d.set.ReportMaxAge:
			return until, false, "no recent report of " + name
		case h.obs.Group != g || h.obs.Generation != row.Generation:
			return until, false, name + " reports another group or generation"
		case !slices.Contains(h.obs.Loaded, row.Weights):
			return until, false, name + " has not loaded the weights"
		}
		settled = settled && now.Sub(h.first) >= d.set.ReportMaxAge
		if end := h.obs.At.Add(d.set.ReportMaxAge); until.IsZero() || end.Before(until) {
			until = end
		}
	}
	return until, settled, ""
}

// ownGroups returns the groups that the rows place in the domain, by name.
func (d *Decider) ownGroups() []string { return d.own }

// findOwn brings ownGroups up to date with the rows.
func (d *Decider) findOwn() {
	d.own = d.own[:0]
	for g, v := range d.snap.Groups {
		if v.Row.Domain == d.domain && len(v.Row.Hosts) > 0 {
			d.own = append(d.own, g)
		}
	}
	slices.Sort(d.own)
}

// note records a reason once until it changes.
func (d *Decider) note(kind, subject, decision, reason string) {
	n := Note{Kind: kind, Subject: subject, Decision: decision, Reason: reason}
	key := [2]string{kind, subject}
	if d.notes[key] == n {
		return
	}
	d.notes[key] = n
	d.out.Notes = append(d.out.Notes, n)
}
