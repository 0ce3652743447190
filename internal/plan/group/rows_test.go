package group_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"geraniumhollow/internal/fleet/index"
	"geraniumhollow/internal/fleet/server"
	"geraniumhollow/internal/plan/group"
	"geraniumhollow/internal/route/batch"
)

// maxRow is the longest value that the platform's store keeps.
const maxRow = 65536

// rowsOf returns the stored form of a plan.
func rowsOf(t *testing.T, p group.Plan) group.Rows {
	t.Helper()
	r, err := p.Rows()
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// wide returns a decider with the servers of a number of domains of 35, and a function that steps it.
func wide(domains int) (*group.Decider, *play) {
	e := engine()
	e.Models = []batch.Model{
		{Name: "m", Hosts: 16, Pace: 1, Share: 0.5, Load: 16 * time.Second, Warm: time.Second},
		{Name: "n", Hosts: 4, Pace: 1, Share: 0.5, Load: 12 * time.Second, Warm: time.Second},
	}
	p := &play{
		now: time.Unix(1000, 0), view: index.New(), servers: make(map[string]server.Info),
		silent: make(map[string]bool), unlisted: make(map[string]bool), still: make(map[string]bool),
		loaded: make(map[string]time.Time), pace: make(map[string]float64),
	}
	p.d = decide(e, group.Plan{})
	for i := range domains * 35 {
		id := fmt.Sprintf("i-%012x", i)
		p.servers[id] = server.Info{
			ID: id, Service: "llm", Address: fmt.Sprintf("10.200.%d.%d:10000", i/250, i%250), Domain: fmt.Sprintf("d%02d", i/35),
			DataCentre: fmt.Sprintf("dc%d", i/35%5), Born: p.now,
		}
	}
	return p.d, p
}

// Guards against a plan of a large fleet that the store does not take because a row is too long (875 servers in 25 domains:
// no group was repaired from then on), and against one change that rewrites the rows of all domains.
func TestRowsOfLargeFleet(t *testing.T) {
	t.Parallel()
	for _, domains := range []int{25, 69} {
		d, p := wide(domains)
		p.t = t
		p.run(5 * time.Second)
		plan := d.Plan()
		if len(plan.Current) < 4*domains {
			t.Fatalf("%d groups in %d domains", len(plan.Current), domains)
		}
		stored := rowsOf(t, plan)
		for name, b := range stored {
			// Each formation may be followed by some that are retired.
			if most := maxRow / 4; len(b) > most {
				t.Errorf("%d domains: row %q has %d bytes, want at most %d", domains, name, len(b), most)
			}
		}
		for _, step := range stored.Steps(nil, group.MaxStepRows) {
			if len(step) > group.MaxStepRows || step[group.HeadRow] == nil {
				t.Errorf("a step has %d rows, head %q", len(step), step[group.HeadRow])
			}
		}
		lost := plan.Current[0]
		p.silent[lost.Members[3]], p.unlisted[lost.Members[3]] = true, true
		p.run(5 * time.Second)
		steps := rowsOf(t, d.Plan()).Steps(stored, group.MaxStepRows)
		if len(steps) != 1 || len(steps[0]) != 2 || steps[0][lost.Domain] == nil {
			t.Errorf("the loss of one server changes %d steps with rows %v", len(steps), slices.Sorted(maps.Keys(steps[0])))
		}
	}
}

// Guards against a stored plan that cannot be read back, and against a change whose steps give another plan.
func TestPlanRows(t *testing.T) {
	t.Parallel()
	p := newPlay(t, 5)
	p.run(3 * time.Second)
	stored := rowsOf(t, p.d.Plan())
	got, err := stored.Plan()
	if err != nil || len(got.Current) != 2 || got.Epoch != p.d.Plan().Epoch || len(got.Current[0].Addresses) != 2 {
		t.Errorf("got %+v, %v", got, err)
	}
	next := got.Clone()
	next.Current, next.Epoch = next.Current[:1], next.Epoch+1
	next.Current[0].Domain = "elsewhere"
	for _, most := range []int{2, group.MaxStepRows} {
		rows := maps.Clone(stored)
		for _, step := range rowsOf(t, next).Steps(stored, most) {
			rows.Apply(step)
			if _, err := rows.Plan(); err != nil {
				t.Errorf("steps of %d: after one of them: %v", most, err)
			}
		}
		if !maps.EqualFunc(rows, rowsOf(t, next), slices.Equal) {
			t.Errorf("steps of %d give %q", most, rows)
		}
	}
	for _, bad := range []string{"", "[]", `{"current":[{"group":"g"}]}`} {
		if p, err := (group.Rows{"d": []byte(bad)}).Plan(); err == nil {
			t.Errorf("%q gave %+v", bad, p)
		}
	}
	if p, err := (group.Rows{group.HeadRow: []byte("[]")}).Plan(); err == nil {
		t.Errorf("a head that is none gave %+v", p)
	}
}

// BenchmarkStep measures a look at all servers when nothing has happened, at today's and at the target size.
func BenchmarkStep(b *testing.B) {
	for _, domains := range []int{25, 69} {
		b.Run(fmt.Sprintf("servers=%d", domains*35), func(b *testing.B) {
			d, p := wide(domains)
			p.run(5 * time.Second)
			v := p.view.View()
			for b.Loop() {
				d.View(p.now, v)
				d.Step(p.now)
			}
		})
	}
}
