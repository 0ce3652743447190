package heal_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"geraniumhollow/internal/core/sets"
	"geraniumhollow/internal/plan/form"
	"geraniumhollow/internal/plan/heal"
)

var (
	v1 = form.Weights{Model: "m", Version: "v1"}
	v2 = form.Weights{Model: "m", Version: "v2"}
)

// rig runs one decider for each of the domains a and b, with engines and a table that act at once.
type rig struct {
	now     time.Time
	plan    heal.Plan
	keepers map[string]*heal.Decider
	engines map[string]*heal.Observation
	down    sets.Set[string]
	rows    heal.Snapshot
	rev     uint64
	lose    bool
	orders  []heal.Order
	closed  []string
}

// newRig has domain a with four hosts and domain b with five, and the group g of two hosts.
func newRig(checksFencing bool) *rig {
	r := &rig{
		now: time.Unix(1_000_000, 0), keepers: make(map[string]*heal.Decider),
		engines: make(map[string]*heal.Observation), down: sets.New[string](),
		plan: heal.Plan{
			Domains: map[string]string{"a": "x", "b": "y"}, Hosts: make(map[string]heal.HostPlan),
			Groups: map[string]heal.GroupPlan{"g": {
				Name: "g", Weights: v1, Hosts: 2, Wanted: true, Lack: 1, ChecksFencing: checksFencing,
			}},
		},
		rows: heal.Snapshot{
			Hosts: make(map[string]heal.Versioned[heal.HostRow]), Groups: make(map[string]heal.Versioned[heal.GroupRow]),
		},
	}
	for d, n := range map[string]int{"a": 4, "b": 5} {
		for i := range n {
			name := fmt.Sprintf("%s%d", d, i)
			r.plan.Hosts[name] = heal.HostPlan{Domain: d, InService: true, Address: name}
			r.engines[name] = &heal.Observation{Instance: "1"}
		}
		r.keepers[d] = heal.New(heal.DefaultSettings(), d, heal.DefaultPolicies())
		r.keepers[d].Duty(1, true, r.now)
	}
	r.configure()
	return r
}

// run lets seconds pass, with a report of each host and a step of each keeper a second.
func (r *rig) run(seconds int) {
	for range seconds {
		r.now = r.now.Add(time.Second)
		for name, e := range r.engines {
			if e.At = r.now; !r.down.Has(name) {
				r.keepers[name[:1]].Report(name, *e, r.now)
			}
		}
		for _, d := range []string{"a", "b"} {
			r.keepers[d].Rows(r.copyRows(), r.now)
			r.carryOut(r.keepers[d], r.keepers[d].Step(r.now))
		}
	}
}

func (r *rig) copyRows() heal.Snapshot {
	s := heal.Snapshot{
		Hosts: make(map[string]heal.Versioned[heal.HostRow]), Groups: make(map[string]heal.Versioned[heal.GroupRow]),
	}
	for k, v := range r.rows.Hosts {
		s.Hosts[k] = v
	}
	for k, v := range r.rows.Groups {
		s.Groups[k] = v
	}
	return s
}

func (r *rig) carryOut(k *heal.Decider, acts heal.Actions) {
	for _, c := range acts.Commits {
		r.rev++
		for name, v := range c.Hosts {
			r.rows.Hosts[name] = heal.Versioned[heal.HostRow]{Row: v.Row, Revision: r.rev}
		}
		for name, v := range c.Groups {
			r.rows.Groups[name] = heal.Versioned[heal.GroupRow]{Row: v.Row, Revision: r.rev}
		}
		result := heal.Applied
		if r.lose {
			result = heal.Unknown
		}
		k.Committed(c.ID, result, r.rev, r.now)
	}
	r.orders = append(r.orders, acts.Orders...)
	r.closed = append(r.closed, acts.Closed...)
	for _, o := range acts.Orders {
		e := r.engines[o.Host]
		if o.Kind != heal.Drop && !slices.Contains(e.Loaded, o.Weights) {
			e.Loaded = append(slices.Clone(e.Loaded), o.Weights)
		}
		if o.Kind != heal.Load {
			e.Group, e.Generation = o.Group, o.Generation
		}
	}
}

// restart gives a host empty memory.
func (r *rig) restart(name string) {
	r.engines[name] = &heal.Observation{Instance: r.engines[name].Instance + "+"}
}

func (r *rig) configure() {
	for _, k := range r.keepers {
		k.Configure(r.plan)
	}
}

func (r *rig) setGroup(change func(g *heal.GroupPlan)) {
	g := r.plan.Groups["g"]
	change(&g)
	r.plan.Groups = map[string]heal.GroupPlan{"g": g}
	r.configure()
}

func (r *rig) setHost(name string, inService bool) {
	h := r.plan.Hosts[name]
	h.InService = inService
	r.plan.Hosts = maps.Clone(r.plan.Hosts)
	r.plan.Hosts[name] = h
	r.configure()
}

// open returns the hosts of the open route, or "".
func (r *rig) open() string {
	for _, d := range []string{"a", "b"} {
		for _, route := range r.keepers[d].Routes() {
			return fmt.Sprint(route.Hosts)
		}
	}
	return ""
}

// placedSeconds is enough to place, load and open the group, with the wait for old orders.
const placedSeconds = 40

// Guards, case by case, against a route that stays open or closed, a replacement in the wrong place,
// and hosts that are taken while they are leaving, held back or draining.
func TestKeeper(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name   string
		script func(r *rig)
		open   string
	}{
		{"placed in the tightest domain", func(*rig) {}, "[a0 a1]"},
		{"route closes before a replacement", func(r *rig) { r.down.Add("a1"); r.run(4) }, ""},
		{"short silence keeps the host", func(r *rig) { r.down.Add("a1"); r.run(4); r.down.Remove("a1"); r.run(5) }, "[a0 a1]"},
		{"spare replaces the lost host", func(r *rig) { r.down.Add("a1"); r.run(15) }, "[a0 a2]"},
		{"leader is replaced", func(r *rig) { r.down.Add("a0"); r.run(15) }, "[a2 a1]"},
		{"restart with empty memory", func(r *rig) { r.restart("a1"); r.run(1) }, ""},
		{"restarted host joins again or is replaced", func(r *rig) { r.restart("a1"); r.run(15) }, "[a0 a1]"},
		{"returned host is not taken back", func(r *rig) { r.down.Add("a1"); r.run(15); r.down.Remove("a1"); r.run(15) }, "[a0 a2]"},
		{"dark domain is rebuilt elsewhere", func(r *rig) {
			for _, h := range []string{"a0", "a1", "a2", "a3"} {
				r.down.Add(h)
			}
			r.run(40)
		}, "[b0 b1]"},
		{"no spare waits before a rebuild", func(r *rig) { r.setHost("a2", false); r.setHost("a3", false); r.down.Add("a1"); r.run(25) }, ""},
		{"no spare is rebuilt elsewhere", func(r *rig) { r.setHost("a2", false); r.setHost("a3", false); r.down.Add("a1"); r.run(70) }, "[b0 b1]"},
		{"leaving host drains first", func(r *rig) {
			r.engines["a0"].Running = 1
			r.keepers["a"].Listed(sets.New("a1"))
			r.run(20)
		}, ""},
		{"leaving host is replaced after the drain", func(r *rig) {
			r.keepers["a"].Listed(sets.New("a1"))
			r.run(20)
		}, "[a0 a2]"},
		{"pinned or out of service host is replaced", func(r *rig) { r.setHost("a0", false); r.run(20) }, "[a2 a1]"},
		{"unwanted group closes", func(r *rig) { r.setGroup(func(g *heal.GroupPlan) { g.Wanted = false }); r.run(1) }, ""},
		{"moved to another domain", func(r *rig) { r.setGroup(func(g *heal.GroupPlan) { g.Domain = "b" }); r.run(40) }, "[b0 b1]"},
		{"other generation closes", func(r *rig) { r.engines["a1"].Generation++; r.run(1) }, ""},
		{"old membership is ordered back", func(r *rig) { r.engines["a1"].Group = "old"; r.run(15) }, "[a0 a1]"},
		{"lost answers are read back", func(r *rig) { r.lose = true; r.down.Add("a1"); r.run(15) }, "[a0 a2]"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			r := newRig(true)
			r.run(placedSeconds)
			tt.script(r)
			if got := r.open(); got != tt.open {
				t.Errorf("open route %q, want %q", got, tt.open)
			}
		})
	}
}

// Guards against a version change that interrupts the old version before the new one is loaded.
func TestUpgradeLoadsFirst(t *testing.T) {
	t.Parallel()
	r := newRig(true)
	r.run(placedSeconds)
	r.setGroup(func(g *heal.GroupPlan) { g.Weights, g.Change = v2, true })
	r.orders = nil
	r.run(1)
	if r.open() == "" || len(r.orders) != 2 || r.orders[0].Kind != heal.Load {
		t.Fatalf("open %q with orders %+v; the old version must serve while the new one loads", r.open(), r.orders)
	}
	r.run(20)
	if got := r.rows.Groups["g"].Row; r.open() == "" || got.Weights != v2 || !got.Ready {
		t.Errorf("open %q with row %+v after the change", r.open(), got)
	}
}

// Guards against a new keeper that orders engines which ignore fencing while orders of the old keeper
// can still arrive.
func TestWaitsForOldOrders(t *testing.T) {
	t.Parallel()
	tests := []struct {
		checksFencing bool
		orders        bool
	}{{true, true}, {false, false}}
	for _, tt := range tests {
		t.Run(fmt.Sprint(tt.checksFencing), func(t *testing.T) {
			t.Parallel()
			r := newRig(tt.checksFencing)
			r.run(18)
			if got := len(r.orders) > 0; got != tt.orders {
				t.Errorf("orders sent in the first 18 s: %v, want %v", got, tt.orders)
			}
		})
	}
}

// Guards against a flapping host that is used at once, and against one that is held back for ever.
func TestFlappingHostIsHeldBack(t *testing.T) {
	t.Parallel()
	r := newRig(true)
	r.run(placedSeconds)
	flap := func() {
		r.down.Add("a2")
		r.run(10)
		r.down.Remove("a2")
		r.run(3)
	}
	for n, want := range []heal.HostState{heal.Usable, heal.Held, heal.Held} {
		flap()
		if got := r.rows.Hosts["a2"].Row.State; got != want {
			t.Errorf("after loss %d the host is %s, want %s", n+1, got, want)
		}
	}
	r.run(61)
	if got := r.rows.Hosts["a2"].Row.State; got != heal.Usable {
		t.Errorf("a minute after its third loss the host is %s", got)
	}
}

// Guards against a new keeper that closes healthy routes before it has heard their members, and against
// one that leaves open what its predecessor had open and is broken now.
func TestTakeover(t *testing.T) {
	t.Parallel()
	for name, lost := range map[string]bool{"healthy": false, "broken": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newRig(true)
			r.run(placedSeconds)
			next := heal.New(heal.DefaultSettings(), "a", heal.DefaultPolicies())
			next.Configure(r.plan)
			next.Duty(2, true, r.now)
			if lost {
				r.down.Add("a1")
			}
			r.keepers["a"] = next
			r.closed = nil
			r.run(10)
			if got := len(r.closed) > 0; got != lost {
				t.Errorf("closed %v", r.closed)
			}
		})
	}
}
