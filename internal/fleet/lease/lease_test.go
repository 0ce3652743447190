package lease_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"geraniumhollow/internal/fake/store"
	"geraniumhollow/internal/fleet/lease"
	"geraniumhollow/internal/plat/table"
)

// testFleet runs several Deciders against one store with a manually advanced clock.
type testFleet struct {
	t        *testing.T
	now      time.Time
	store    *store.Store
	deciders map[string]*lease.Decider
}

var duties = []string{"a", "b", "c", "d", "e", "f", "g", "h"}

func newFleet(t *testing.T, names ...string) *testFleet {
	t.Helper()
	f := &testFleet{t: t, now: time.Unix(1000, 0), store: store.New(), deciders: make(map[string]*lease.Decider)}
	for _, n := range names {
		f.start(n, n+"-1")
	}
	return f
}

func (f *testFleet) start(name, incarnation string) {
	f.deciders[name] = lease.New(lease.DefaultConfig(name, incarnation, duties))
}

// step runs the due operations of the named nodes.
func (f *testFleet) step(names ...string) {
	f.t.Helper()
	for _, n := range names {
		d := f.deciders[n]
		for range 100 {
			op, ok := d.Next(f.now)
			if !ok {
				break
			}
			d.Done(f.now, op, f.execute(op))
		}
	}
}

func (f *testFleet) execute(op lease.Op) lease.Result {
	ctx := context.Background()
	if op.Kind != lease.ReadAll {
		rev, err := f.store.Commit(ctx, op.Txn)
		return lease.Result{Revision: rev, Err: err}
	}
	l, err := f.store.Scan(ctx, lease.NodePrefix, "", 100)
	if err != nil {
		return lease.Result{Err: err}
	}
	r, err := f.store.Scan(ctx, lease.DutyPrefix, "", 100)
	return lease.Result{Leases: l, Duties: r, Err: err}
}

// run steps the named nodes and advances the clock in steps of 500 ms.
func (f *testFleet) run(d time.Duration, names ...string) {
	f.t.Helper()
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(500 * time.Millisecond) {
		f.step(names...)
	}
}

// held returns the number of duties that a node holds, and its tenure of the given one.
func (f *testFleet) held(name, duty string) (int, lease.Tenure) {
	n := 0
	var t lease.Tenure
	for _, h := range f.deciders[name].Tenures() {
		if !h.Lost {
			n++
		}
		if h.Duty == duty {
			t = h
		}
	}
	return n, t
}

func (f *testFleet) expect(what string, ok bool) {
	f.t.Helper()
	if !ok {
		f.t.Errorf("condition not met: %s", what)
	}
}

// Guards against duties without a holder or with two when processes die or pause, commit results are lost, or
// the table is unavailable.
func TestDutyFailover(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name string
		run  func(f *testFleet)
	}{
		{"held duties add up to all duties", func(f *testFleet) {
			f.run(40*time.Second, "x", "y", "z")
			x, _ := f.held("x", "")
			y, _ := f.held("y", "")
			z, _ := f.held("z", "")
			f.expect("number of held duties", x+y+z == len(duties))
		}},
		{"duties of a dead holder are claimed within 23 s with a higher fence", func(f *testFleet) {
			f.run(10*time.Second, "x")
			_, before := f.held("x", "a")
			f.run(10*time.Second, "x", "y")
			f.run(23*time.Second, "y")
			n, after := f.held("y", "a")
			f.expect("all duties claimed", n == len(duties))
			f.expect("fence increased", after.Fence > before.Fence && after.Depth == 1 && len(after.Earlier) == 1)
		}},
		{"a holder that resumes after a pause has lost its claimed duties", func(f *testFleet) {
			f.run(10*time.Second, "x")
			f.run(30*time.Second, "y")
			f.expect("expired by its own clock", !f.deciders["x"].Valid(f.now))
			f.step("x")
			_, tenure := f.held("x", "a")
			f.expect("tenure lost", tenure.Lost)
			f.deciders["x"].ConfirmUnused("a")
			f.run(10*time.Second, "x", "y")
			_, tenure = f.held("y", "a")
			f.expect("consent removes the earlier holder", tenure.Duty == "a" && len(tenure.Earlier) == 0)
		}},
		{"a newer incarnation confirms that the older one has terminated", func(f *testFleet) {
			f.run(10*time.Second, "x")
			f.run(30*time.Second, "y")
			f.start("x", "x-2")
			f.run(10*time.Second, "x", "y")
			_, tenure := f.held("y", "a")
			f.expect("termination confirmed", tenure.Duty == "a" && len(tenure.Earlier) == 0)
		}},
		{"removal from the host list confirms termination only after 30 s", func(f *testFleet) {
			f.run(10*time.Second, "x")
			f.deciders["y"].SetHosts(f.now, []string{"x", "y"})
			f.run(30*time.Second, "y")
			f.deciders["y"].SetHosts(f.now, []string{"y"})
			f.run(time.Second, "y")
			_, tenure := f.held("y", "a")
			f.expect("not confirmed at 30 s", len(tenure.Earlier) == 1)
			f.deciders["y"].SetHosts(f.now, []string{"y"})
			f.run(10*time.Second, "y")
			_, tenure = f.held("y", "a")
			f.expect("confirmed past 30 s", len(tenure.Earlier) == 0)
		}},
		{"writes with a lost result are read back", func(f *testFleet) {
			f.store.LoseResponses(4)
			f.run(10*time.Second, "x")
			n, _ := f.held("x", "a")
			f.expect("all duties held", n == len(duties) && f.deciders["x"].Valid(f.now))
		}},
		{"a table outage expires leases without moving duties", func(f *testFleet) {
			f.run(10*time.Second, "x", "y")
			x, _ := f.held("x", "")
			f.store.SetDown(true)
			f.run(40*time.Second, "x", "y")
			f.expect("leases expired", !f.deciders["x"].Valid(f.now) && !f.deciders["y"].Valid(f.now))
			f.store.SetDown(false)
			f.run(3*time.Second, "x", "y")
			after, _ := f.held("x", "")
			f.expect("duties unchanged", f.deciders["x"].Valid(f.now) && x == after)
		}},
		{"a replaced process never registers again", func(f *testFleet) {
			f.run(10*time.Second, "x")
			old := f.deciders["x"]
			f.start("x", "x-2")
			f.run(10*time.Second, "x")
			f.deciders["x"] = old
			f.run(10*time.Second, "x")
			f.expect("old process replaced", old.Replaced() && !old.Valid(f.now))
		}},
		{"a live holder's duty moves for balance only after Yield", func(f *testFleet) {
			f.run(10*time.Second, "x")
			f.run(60*time.Second, "x", "y")
			y, _ := f.held("y", "")
			f.expect("no move before Yield", y == 0)
			d, ok := f.deciders["x"].DueToMove(f.now, "")
			f.deciders["x"].ReleaseDuty(d, true)
			f.run(10*time.Second, "x", "y")
			_, tenure := f.held("y", d)
			f.expect("moved with Clean set", ok && tenure.Duty == d && tenure.Clean && len(tenure.Earlier) == 0)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			tt.run(newFleet(t, "x", "y", "z"))
		})
	}
}

// Guards against a late renewal: one sent by an old holder before it lost its duties must conflict if it
// reaches the table afterwards.
func TestLateRenewalConflicts(t *testing.T) {
	t.Parallel()
	f := newFleet(t, "x", "y")
	f.run(9*time.Second, "x")
	f.now = f.now.Add(time.Second)
	renewal, ok := f.deciders["x"].Next(f.now)
	for ok && renewal.Kind != lease.RenewLease {
		f.deciders["x"].Done(f.now, renewal, f.execute(renewal))
		renewal, ok = f.deciders["x"].Next(f.now)
	}
	f.run(30*time.Second, "y")
	_, err := f.store.Commit(context.Background(), renewal.Txn)
	f.expect("late renewal conflicts", ok && renewal.Kind == lease.RenewLease && fmt.Sprint(err) == table.ErrConflict.Error())
}

// Guards against a duty that counts as held after its holder lost its lease and registered again: another
// process may be claiming it at that time.
func TestReregistrationDropsDuties(t *testing.T) {
	t.Parallel()
	f := newFleet(t, "x", "y")
	f.run(10*time.Second, "x")
	stepUntil := func(name string, k lease.OpKind) {
		d := f.deciders[name]
		for range 1000 {
			op, ok := d.Next(f.now)
			if !ok {
				f.now = f.now.Add(500 * time.Millisecond)
				continue
			}
			d.Done(f.now, op, f.execute(op))
			if op.Kind == k {
				return
			}
		}
		t.Fatalf("%s ran no operation of kind %d", name, k)
	}
	stepUntil("y", lease.WriteDuty)
	stepUntil("x", lease.RegisterLease)
	f.expect("x is registered", f.deciders["x"].Valid(f.now))
	for _, tenure := range f.deciders["x"].Tenures() {
		f.expect("not holding "+tenure.Duty, !f.deciders["x"].Holds(f.now, tenure.Duty, tenure.Fence))
	}
	f.run(2*time.Second, "x")
	n, tenure := f.held("x", "b")
	f.expect("unclaimed duties are held again", n == len(duties)-1 && tenure.Continued && f.deciders["x"].Holds(f.now, "b", tenure.Fence))
}

// Guards against an uneven distribution of duties over nodes.
func TestPreferredSpreads(t *testing.T) {
	t.Parallel()
	nodes := make([]string, 0, 6)
	for i := range 6 {
		nodes = append(nodes, fmt.Sprintf("node-%d", i))
	}
	count := make(map[string]int)
	for i := range 6000 {
		count[lease.Preferred(fmt.Sprint(i), nodes)]++
	}
	for n, c := range count {
		if c < 900 || c > 1100 {
			t.Errorf("%s is preferred for %d of 6000 duties, want 900 to 1100", n, c)
		}
	}
}
