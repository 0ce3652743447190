package group_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"geraniumhollow/internal/core/sets"
	"geraniumhollow/internal/fleet/index"
	"geraniumhollow/internal/fleet/server"
	"geraniumhollow/internal/plan/group"
	"geraniumhollow/internal/route/batch"
)

// maxRowBytes is the longest value that the platform's store accepts.
const maxRowBytes = 65536

// rowsOf returns the stored form of a plan.
func rowsOf(t *testing.T, p group.Plan) group.Rows {
	t.Helper()
	r, err := p.Rows()
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// wideSimulation returns a decider and its simulation, with 35 servers in each of a number of
// domains.
func wideSimulation(domains int) (*group.Decider, *simulation) {
	e := newEngine()
	e.Models = []batch.Model{
		{Name: "m", Hosts: 16, TimeFactor: 1, WorkFraction: 0.5, ColdLoadTime: 16 * time.Second, WarmLoadTime: time.Second},
		{Name: "n", Hosts: 4, TimeFactor: 1, WorkFraction: 0.5, ColdLoadTime: 12 * time.Second, WarmLoadTime: time.Second},
	}
	sim := &simulation{
		now: time.Unix(1000, 0), view: index.New(), servers: make(map[string]server.Info),
		silent: make(map[string]bool), unlisted: make(map[string]bool), noHeartbeat: make(map[string]bool),
		loadsEnd: make(map[string]time.Time), pace: make(map[string]float64), seen: make(map[string]uint64),
		ready: make(map[index.Formation]sets.Set[string]),
	}
	sim.d = newDecider(e, group.Plan{})
	for i := range domains * 35 {
		id := fmt.Sprintf("i-%012x", i)
		sim.servers[id] = server.Info{
			ID: id, Service: "llm", Address: fmt.Sprintf("10.200.%d.%d:10000", i/250, i%250), Domain: fmt.Sprintf("d%02d", i/35),
			DataCentre: fmt.Sprintf("dc%d", i/35%5), StartedAt: sim.now,
		}
	}
	return sim.d, sim
}

// Guards against a row that is too long for the store in a large fleet (875 servers in 25 domains:
// no group was repaired from then on), and against a change of one domain that rewrites the rows of
// all domains.
func TestRowsOfLargeFleet(t *testing.T) {
	t.Parallel()
	for _, domains := range []int{25, 69} {
		d, sim := wideSimulation(domains)
		sim.t = t
		sim.run(5 * time.Second)
		plan := d.Plan()
		if len(plan.Current) < 4*domains {
			t.Fatalf("%d groups in %d domains, want at least 4 per domain", len(plan.Current), domains)
		}
		stored := rowsOf(t, plan)
		for name, b := range stored {
			// Leaves room for retired formations.
			if limit := maxRowBytes / 4; len(b) > limit {
				t.Errorf("%d domains: row %q has %d bytes, want at most %d", domains, name, len(b), limit)
			}
		}
		for _, step := range stored.Steps(nil, group.MaxStepRows) {
			if len(step) > group.MaxStepRows || step[group.HeaderRow] == nil {
				t.Errorf("a step has %d rows, header row %q", len(step), step[group.HeaderRow])
			}
		}
		lost := plan.Current[0]
		sim.silent[lost.Members[3]], sim.unlisted[lost.Members[3]] = true, true
		sim.run(5 * time.Second)
		steps := rowsOf(t, d.Plan()).Steps(stored, group.MaxStepRows)
		if len(steps) != 1 || len(steps[0]) != 2 || steps[0][lost.Domain] == nil {
			t.Errorf("the loss of one server takes %d steps, the first with rows %v; want one step with two rows", len(steps), slices.Sorted(maps.Keys(steps[0])))
		}
	}
}

// Guards against a stored plan that cannot be decoded, and against steps that add up to a different
// plan.
func TestPlanRows(t *testing.T) {
	t.Parallel()
	sim := newSimulation(t, 5)
	sim.run(3 * time.Second)
	stored := rowsOf(t, sim.d.Plan())
	got, err := stored.Plan()
	if err != nil || len(got.Current) != 2 || got.Epoch != sim.d.Plan().Epoch || len(got.Current[0].Addresses) != 2 {
		t.Errorf("decoded plan: %+v, %v", got, err)
	}
	next := got.Clone()
	next.Current, next.Epoch = next.Current[:1], next.Epoch+1
	next.Current[0].Domain = "elsewhere"
	for _, limit := range []int{2, group.MaxStepRows} {
		rows := maps.Clone(stored)
		for _, step := range rowsOf(t, next).Steps(stored, limit) {
			rows.Apply(step)
			if _, err := rows.Plan(); err != nil {
				t.Errorf("steps of %d rows: invalid plan after a step: %v", limit, err)
			}
		}
		if !maps.EqualFunc(rows, rowsOf(t, next), slices.Equal) {
			t.Errorf("steps of %d rows give %q", limit, rows)
		}
	}
	for _, bad := range []string{"", "[]", `{"current":[{"group":"g"}]}`} {
		if plan, err := (group.Rows{"d": []byte(bad)}).Plan(); err == nil {
			t.Errorf("decoding the row %q gave %+v, want an error", bad, plan)
		}
	}
	if plan, err := (group.Rows{group.HeaderRow: []byte("[]")}).Plan(); err == nil {
		t.Errorf("decoding an invalid header row gave %+v, want an error", plan)
	}
}

// BenchmarkStep measures a step over all servers without changes, at the current and the target
// fleet size.
func BenchmarkStep(b *testing.B) {
	for _, domains := range []int{25, 69} {
		b.Run(fmt.Sprintf("servers=%d", domains*35), func(b *testing.B) {
			d, sim := wideSimulation(domains)
			sim.run(5 * time.Second)
			v := sim.view.View()
			for b.Loop() {
				d.ApplyView(sim.now, v)
				d.Step(sim.now)
			}
		})
	}
}
