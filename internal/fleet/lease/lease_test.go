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

// fleet runs deciders against one store with a clock that the test moves.
type fleet struct {
	t     *testing.T
	now   time.Time
	st    *store.Store
	procs map[string]*lease.Decider
}

var duties = []string{"a", "b", "c", "d", "e", "f", "g", "h"}

func newFleet(t *testing.T, names ...string) *fleet {
	t.Helper()
	f := &fleet{t: t, now: time.Unix(1000, 0), st: store.New(), procs: make(map[string]*lease.Decider)}
	for _, n := range names {
		f.start(n, n+"-1")
	}
	return f
}

func (f *fleet) start(name, incarnation string) {
	f.procs[name] = lease.New(lease.DefaultConfig(name, incarnation, duties))
}

// step runs the due operations of the named processes.
func (f *fleet) step(names ...string) {
	f.t.Helper()
	for _, n := range names {
		d := f.procs[n]
		for range 100 {
			op, ok := d.Next(f.now)
			if !ok {
				break
			}
			d.Done(f.now, op, f.call(op))
		}
	}
}

func (f *fleet) call(op lease.Op) lease.Result {
	ctx := context.Background()
	if op.Kind != lease.ReadAll {
		rev, err := f.st.Commit(ctx, op.Txn)
		return lease.Result{Revision: rev, Err: err}
	}
	l, err := f.st.Scan(ctx, lease.NodePrefix, "", 100)
	if err != nil {
		return lease.Result{Err: err}
	}
	r, err := f.st.Scan(ctx, lease.DutyPrefix, "", 100)
	return lease.Result{Leases: l, Duties: r, Err: err}
}

// run moves the clock in half seconds.
func (f *fleet) run(d time.Duration, names ...string) {
	f.t.Helper()
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(500 * time.Millisecond) {
		f.step(names...)
	}
}

// held returns how many duties a process holds, and its tenure of the named one.
func (f *fleet) held(name, duty string) (int, lease.Tenure) {
	n := 0
	var t lease.Tenure
	for _, h := range f.procs[name].Tenures() {
		if !h.Lost {
			n++
		}
		if h.Duty == duty {
			t = h
		}
	}
	return n, t
}

func (f *fleet) check(what string, ok bool) {
	f.t.Helper()
	if !ok {
		f.t.Errorf("%s does not hold", what)
	}
}

// Guards against lost or doubled duties when processes die, pause, lose answers or lose the table.
func TestDuties(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name string
		run  func(f *fleet)
	}{
		{"every duty has one holder", func(f *fleet) {
			f.run(40*time.Second, "x", "y", "z")
			x, _ := f.held("x", "")
			y, _ := f.held("y", "")
			z, _ := f.held("z", "")
			f.check("all held once", x+y+z == len(duties))
		}},
		{"a dead holder's duties move within 23 s and fences grow", func(f *fleet) {
			f.run(10*time.Second, "x")
			_, before := f.held("x", "a")
			f.run(10*time.Second, "x", "y")
			f.run(23*time.Second, "y")
			n, after := f.held("y", "a")
			f.check("all moved", n == len(duties))
			f.check("fence grew", after.Fence > before.Fence && after.Depth == 1 && len(after.Earlier) == 1)
		}},
		{"a holder that wakes does not hold what was taken", func(f *fleet) {
			f.run(10*time.Second, "x")
			f.run(30*time.Second, "y")
			f.check("lapsed by its own clock", !f.procs["x"].Valid(f.now))
			f.step("x")
			_, ten := f.held("x", "a")
			f.check("lost", ten.Lost)
			f.procs["x"].Consent("a")
			f.run(10*time.Second, "x", "y")
			_, ten = f.held("y", "a")
			f.check("consent shrinks the list", ten.Duty == "a" && len(ten.Earlier) == 0)
		}},
		{"a newer process confirms that the older is gone", func(f *fleet) {
			f.run(10*time.Second, "x")
			f.run(30*time.Second, "y")
			f.start("x", "x-2")
			f.run(10*time.Second, "x", "y")
			_, ten := f.held("y", "a")
			f.check("confirmed", ten.Duty == "a" && len(ten.Earlier) == 0)
		}},
		{"the platform's list confirms after 30 s and not before", func(f *fleet) {
			f.run(10*time.Second, "x")
			f.procs["y"].Hosts(f.now, []string{"x", "y"})
			f.run(30*time.Second, "y")
			f.procs["y"].Hosts(f.now, []string{"y"})
			f.run(time.Second, "y")
			_, ten := f.held("y", "a")
			f.check("not confirmed at 30 s", len(ten.Earlier) == 1)
			f.procs["y"].Hosts(f.now, []string{"y"})
			f.run(10*time.Second, "y")
			_, ten = f.held("y", "a")
			f.check("confirmed past 30 s", len(ten.Earlier) == 0)
		}},
		{"lost answers are read back", func(f *fleet) {
			f.st.LoseAnswers(4)
			f.run(10*time.Second, "x")
			n, _ := f.held("x", "a")
			f.check("held", n == len(duties) && f.procs["x"].Valid(f.now))
		}},
		{"an outage ends validity and moves nothing", func(f *fleet) {
			f.run(10*time.Second, "x", "y")
			x, _ := f.held("x", "")
			f.st.SetDown(true)
			f.run(40*time.Second, "x", "y")
			f.check("lapsed", !f.procs["x"].Valid(f.now) && !f.procs["y"].Valid(f.now))
			f.st.SetDown(false)
			f.run(3*time.Second, "x", "y")
			again, _ := f.held("x", "")
			f.check("unchanged", f.procs["x"].Valid(f.now) && x == again)
		}},
		{"a replaced process never registers again", func(f *fleet) {
			f.run(10*time.Second, "x")
			old := f.procs["x"]
			f.start("x", "x-2")
			f.run(10*time.Second, "x")
			f.procs["x"] = old
			f.run(10*time.Second, "x")
			f.check("replaced", old.Replaced() && !old.Valid(f.now))
		}},
		{"a duty moves for balance only when its holder yields it", func(f *fleet) {
			f.run(10*time.Second, "x")
			f.run(60*time.Second, "x", "y")
			y, _ := f.held("y", "")
			f.check("no move without consent", y == 0)
			d, ok := f.procs["x"].Wants(f.now, "")
			f.procs["x"].Yield(d, true)
			f.run(10*time.Second, "x", "y")
			_, ten := f.held("y", d)
			f.check("moved clean", ok && ten.Duty == d && ten.Clean && len(ten.Earlier) == 0)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			tt.run(newFleet(t, "x", "y", "z"))
		})
	}
}

// Guards against an old holder's renewal, sent before it lost its duties, that lands afterwards.
func TestLateRenewalConflicts(t *testing.T) {
	t.Parallel()
	f := newFleet(t, "x", "y")
	f.run(9*time.Second, "x")
	f.now = f.now.Add(time.Second)
	late, ok := f.procs["x"].Next(f.now)
	for ok && late.Kind != lease.Renew {
		f.procs["x"].Done(f.now, late, f.call(late))
		late, ok = f.procs["x"].Next(f.now)
	}
	f.run(30*time.Second, "y")
	_, err := f.st.Commit(context.Background(), late.Txn)
	f.check("renewal was due and conflicts", ok && late.Kind == lease.Renew && fmt.Sprint(err) == table.ErrConflict.Error())
}

// Guards against duties that count as held after their holder has lost its lease and registered again,
// while others may be taking them.
func TestRegisteredAgainHoldsNothing(t *testing.T) {
	t.Parallel()
	f := newFleet(t, "x", "y")
	f.run(10*time.Second, "x")
	until := func(name string, k lease.Kind) {
		d := f.procs[name]
		for range 1000 {
			op, ok := d.Next(f.now)
			if !ok {
				f.now = f.now.Add(500 * time.Millisecond)
				continue
			}
			d.Done(f.now, op, f.call(op))
			if op.Kind == k {
				return
			}
		}
		t.Fatalf("%s did nothing of kind %d", name, k)
	}
	until("y", lease.Change)
	until("x", lease.Register)
	f.check("x is registered", f.procs["x"].Valid(f.now))
	for _, ten := range f.procs["x"].Tenures() {
		f.check("no hold of "+ten.Duty, !f.procs["x"].Holds(f.now, ten.Duty, ten.Fence))
	}
	f.run(2*time.Second, "x")
	n, ten := f.held("x", "b")
	f.check("what nobody took is held again", n == len(duties)-1 && ten.Retaken && f.procs["x"].Holds(f.now, "b", ten.Fence))
}

// Guards against an uneven spread of duties.
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
			t.Errorf("%s has %d of 6000", n, c)
		}
	}
}
