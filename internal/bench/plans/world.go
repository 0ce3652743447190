// Package plans proves and measures the keeping of groups: random interleavings of several keepers
// against engines, a table and operators that fail, the downtime of groups after losses, the time of
// a planning pass, and capacity against the calendar.
package plans

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"geraniumhollow/internal/core/sets"
	"geraniumhollow/internal/plan/form"
	"geraniumhollow/internal/plan/heal"
)

// membership is a group at one generation.
type membership struct {
	group      string
	generation uint64
}

// engineHost is a modelled host with its engine.
type engineHost struct {
	name          string
	domain        string
	accelerators  int
	checksFencing bool

	alive    bool
	dark     bool
	instance int
	fence    uint64
	// newest is the highest fence of any order that has arrived, restarts included.
	newest  uint64
	member  membership
	loaded  []form.Weights
	order   heal.Order
	loading bool
	left    float64
	// lastTrue is until when the host was a member of what it has left or lost.
	lastTrue map[membership]time.Time
}

func (h *engineHost) reachable() bool { return h.alive && !h.dark }

// event is something that happens at a time.
type event struct {
	at  time.Time
	seq int
	run func()
}

// world is the modelled fleet with its table and clock.
type world struct {
	now    time.Time
	events []event
	seq    int

	hosts map[string]*engineHost
	names []string
	plan  heal.Plan

	rows     heal.Snapshot
	revision uint64
	// history is which hosts each membership had when it was committed.
	history map[membership][]string
	down    bool

	// Rates are bytes a second; loads share the store and the uplinks of the data centres.
	hostRate   float64
	storeRate  float64
	uplinkRate float64
	// instant is the time of a load when the rates are zero.
	instant time.Duration
	loads   sets.Set[string]

	// stale counts orders that an engine which ignores fencing took after a newer one.
	stale int
}

// epoch is the start of every run.
var epoch = time.Date(2026, 1, 5, 0, 0, 0, 0, time.UTC)

func newWorld(plan heal.Plan) *world {
	w := &world{
		now: epoch, hosts: make(map[string]*engineHost), plan: plan, loads: sets.New[string](),
		history: make(map[membership][]string),
		rows: heal.Snapshot{
			Hosts: make(map[string]heal.Versioned[heal.HostRow]), Groups: make(map[string]heal.Versioned[heal.GroupRow]),
		},
	}
	w.names = slices.Sorted(maps.Keys(plan.Hosts))
	for _, name := range w.names {
		p := plan.Hosts[name]
		w.hosts[name] = &engineHost{
			name: name, domain: p.Domain, accelerators: p.Accelerators, alive: true, instance: 1,
			checksFencing: p.Domain == checkingDomain, lastTrue: make(map[membership]time.Time),
		}
	}
	return w
}

// after schedules f.
func (w *world) after(d time.Duration, f func()) {
	e := event{at: w.now.Add(d), seq: w.seq, run: f}
	w.seq++
	i, _ := slices.BinarySearchFunc(w.events, e, func(a, b event) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.seq, b.seq))
	})
	w.events = slices.Insert(w.events, i, e)
}

// advance lets time pass and runs what is due.
func (w *world) advance(d time.Duration) {
	end := w.now.Add(d)
	for len(w.events) > 0 && !w.events[0].at.After(end) {
		e := w.events[0]
		w.events = w.events[1:]
		w.progress(e.at.Sub(w.now))
		w.now = e.at
		e.run()
	}
	w.progress(end.Sub(w.now))
	w.now = end
}

// progress moves the loads forward. Each gets an equal part of the store and of the uplink of its
// data centre, at most what a host can take.
func (w *world) progress(d time.Duration) {
	if w.hostRate == 0 || w.loads.Len() == 0 || d <= 0 {
		return
	}
	names := sets.Sorted(w.loads)
	perCentre := make(map[string]int)
	for _, name := range names {
		perCentre[w.plan.Domains[w.hosts[name].domain]]++
	}
	for _, name := range names {
		h := w.hosts[name]
		uplink := w.uplinkRate / float64(perCentre[w.plan.Domains[h.domain]])
		rate := min(w.hostRate, w.storeRate/float64(len(names)), uplink)
		if h.left -= rate * d.Seconds(); h.left <= 0 {
			w.loads.Remove(name)
			w.loadDone(h)
		}
	}
}

// leave notes until when a host was in its group.
func (w *world) leave(h *engineHost) {
	if h.member.group != "" && h.reachable() {
		h.lastTrue[h.member] = w.now
	}
}

// kill stops a host; its memory is lost.
func (w *world) kill(name string) {
	h := w.hosts[name]
	if !h.alive {
		return
	}
	w.leave(h)
	h.alive = false
	h.instance++
	h.member, h.loaded, h.order, h.fence = membership{}, nil, heal.Order{}, 0
	h.loading = false
	w.loads.Remove(name)
}

// revive starts a host with empty memory.
func (w *world) revive(name string) { w.hosts[name].alive = true }

// setDark cuts a host off or ends that; its memory stays.
func (w *world) setDark(name string, dark bool) {
	h := w.hosts[name]
	w.leave(h)
	h.dark = dark
}

// receive is the arrival of an order at an engine.
func (w *world) receive(o heal.Order) {
	h := w.hosts[o.Host]
	if !h.reachable() || (h.checksFencing && o.Fence < h.fence) {
		return
	}
	if !h.checksFencing && o.Fence < h.newest {
		w.stale++
	}
	h.fence = max(h.fence, o.Fence)
	h.newest = max(h.newest, o.Fence)
	same := h.loading && h.order.Weights == o.Weights
	h.order = o
	switch {
	case o.Kind == heal.Drop || slices.Contains(h.loaded, o.Weights):
		w.loads.Remove(h.name)
		h.loading = false
		w.obey(h)
	case !same:
		w.startLoad(h, o)
	}
}

func (w *world) startLoad(h *engineHost, o heal.Order) {
	h.loading = true
	if w.hostRate > 0 {
		h.left = w.plan.Groups[o.Group].WeightBytes
		w.loads.Add(h.name)
		return
	}
	instance, weights := h.instance, o.Weights
	w.after(w.instant, func() {
		if h.alive && h.instance == instance && h.loading && h.order.Weights == weights {
			w.loadDone(h)
		}
	})
}

func (w *world) loadDone(h *engineHost) {
	h.loading = false
	if !slices.Contains(h.loaded, h.order.Weights) {
		h.loaded = append(slices.Clone(h.loaded), h.order.Weights)
	}
	w.obey(h)
}

// obey carries out the order of an engine that has the weights.
func (w *world) obey(h *engineHost) {
	next := h.member
	switch h.order.Kind {
	case heal.Join:
		next = membership{group: h.order.Group, generation: h.order.Generation}
	case heal.Drop:
		next = membership{}
	default:
	}
	if next != h.member {
		w.leave(h)
		h.member = next
	}
}

// observe is what the engine reports now.
func (w *world) observe(h *engineHost) heal.Observation {
	return heal.Observation{
		At: w.now, Instance: strconv.Itoa(h.instance), Group: h.member.group, Generation: h.member.generation, Loaded: h.loaded,
	}
}

// snapshot copies the rows.
func (w *world) snapshot() heal.Snapshot {
	return heal.Snapshot{Hosts: maps.Clone(w.rows.Hosts), Groups: maps.Clone(w.rows.Groups)}
}

// apply runs a transaction: all conditions hold and all rows are written, or nothing is.
func (w *world) apply(c heal.Commit) (heal.Result, uint64) {
	for name, v := range c.Hosts {
		if w.rows.Hosts[name].Revision != v.Revision {
			return heal.Conflict, 0
		}
	}
	for name, v := range c.Groups {
		if w.rows.Groups[name].Revision != v.Revision {
			return heal.Conflict, 0
		}
	}
	w.revision++
	for name, v := range c.Hosts {
		w.rows.Hosts[name] = heal.Versioned[heal.HostRow]{Row: v.Row, Revision: w.revision}
	}
	for name, v := range c.Groups {
		w.rows.Groups[name] = heal.Versioned[heal.GroupRow]{Row: v.Row, Revision: w.revision}
		if len(v.Row.Hosts) > 0 {
			w.history[membership{name, v.Row.Generation}] = v.Row.Hosts
		}
	}
	return heal.Applied, w.revision
}
