package plans

import (
	"fmt"
	"io"
	"math/rand/v2"
	"runtime"
	"time"

	"geraniumhollow/internal/bench/order"
	"geraniumhollow/internal/plan/form"
	"geraniumhollow/internal/plan/heal"
)

// passRuns is how often a pass is timed.
const passRuns = 200

// Passes prints the time and allocations of planning passes at the target size.
func Passes(w io.Writer) {
	f := fleets[len(fleets)-1]
	_, _ = fmt.Fprintf(w, "%-24s %10s %12s %12s\n", "pass", "time_us", "allocations", "bytes")
	in := placement(f)
	timePass(w, "place_all_groups", func() { form.Place(in) })
	rng := rand.New(rand.NewPCG(1, uint64(f.Groups)))
	s := newSite(f, f.plan(rng), heal.DefaultSettings(), heal.DefaultPolicies)
	s.settle(f, heal.DefaultPolicies)
	k := s.keepers[s.domains[0]]
	timePass(w, "step_nothing_to_do", func() { k.Step(s.now) })
	lost := s.lostHosts(order.DataCentre, rng)
	for _, name := range lost {
		s.kill(name)
	}
	for range darkSeconds {
		s.second()
	}
	dark := s.hosts[lost[0]].domain
	timePass(w, "step_dark_domain", func() { s.keepers[dark].Step(s.now) })
	for _, domain := range s.domains {
		if s.plan.Domains[domain] != s.plan.Domains[dark] {
			k = s.keepers[domain]
		}
	}
	timePass(w, "step_groups_waiting", func() { k.Step(s.now) })
}

// darkSeconds is past the time after which hosts are lost, with waiting groups in every domain.
const darkSeconds = 60

// placement is the problem of placing every group of a fleet at once.
func placement(f Fleet) form.Input {
	p := f.plan(rand.New(rand.NewPCG(1, uint64(f.Groups))))
	var in form.Input
	for name, h := range p.Hosts {
		in.Hosts = append(in.Hosts, form.Host{Name: name, Domain: h.Domain, Accelerators: h.Accelerators})
	}
	for name, dc := range p.Domains {
		in.Domains = append(in.Domains, form.Domain{Name: name, DataCentre: dc})
	}
	for _, g := range p.Groups {
		in.Requests = append(in.Requests, form.Request{Group: g.Name, Weights: g.Weights, Hosts: g.Hosts, Lack: g.Lack})
	}
	return in
}

// timePass prints the average over passRuns runs of f.
func timePass(w io.Writer, name string, f func()) {
	var before, after runtime.MemStats
	f()
	runtime.ReadMemStats(&before)
	start := time.Now()
	for range passRuns {
		f()
	}
	spent := time.Since(start)
	runtime.ReadMemStats(&after)
	_, _ = fmt.Fprintf(w, "%-24s %10.0f %12d %12d\n", name, float64(spent.Microseconds())/passRuns,
		(after.Mallocs-before.Mallocs)/passRuns, (after.TotalAlloc-before.TotalAlloc)/passRuns)
}
