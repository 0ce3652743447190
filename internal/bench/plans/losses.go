package plans

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"geraniumhollow/internal/bench/order"
	"geraniumhollow/internal/core/sets"
	"geraniumhollow/internal/plan/form"
	"geraniumhollow/internal/plan/heal"
)

// Fleet is a size whose losses are measured.
type Fleet struct {
	Name         string
	Domains      int
	DataCentres  int
	Accelerators int
	// HostsPerDomain includes the spares.
	HostsPerDomain int
	// Large is how many groups of 32 hosts there are; Mix is the sizes of the others.
	Large  int
	Groups int
	Mix    []int
}

// The two deployments of today, which differ in the mix of their groups, and the target size.
var fleets = []Fleet{
	{Name: "strygekurv", Domains: 6, DataCentres: 3, Accelerators: 4, HostsPerDomain: 26, Groups: 65, Mix: []int{1, 2, 2, 4}},
	{Name: "sutradhar", Domains: 6, DataCentres: 3, Accelerators: 4, HostsPerDomain: 33, Groups: 65, Mix: []int{1, 2, 4, 4}},
	{Name: "target", Domains: 24, DataCentres: 6, Accelerators: 1, HostsPerDomain: 100, Large: 12, Groups: 600, Mix: []int{1, 1, 2, 2, 4, 4, 8}},
}

// Rates and sizes of loads, as in the measurement of load orderings.
const (
	storeRate  = 40e9
	uplinkRate = 12.5e9
	hostRate   = 2.5e9
	minWeights = 20e9
	maxWeights = 160e9
)

// largeSize is the size of the largest groups.
const largeSize = 32

// plan returns the seeded groups and hosts of a fleet.
func (f Fleet) plan(rng *rand.Rand) heal.Plan {
	p := heal.Plan{Domains: make(map[string]string), Hosts: make(map[string]heal.HostPlan), Groups: make(map[string]heal.GroupPlan)}
	for i := range f.Domains {
		domain := fmt.Sprintf("domain-%02d", i)
		p.Domains[domain] = fmt.Sprintf("dc-%d", i%f.DataCentres)
		for j := range f.HostsPerDomain {
			name := fmt.Sprintf("host-%02d-%03d", i, j)
			p.Hosts[name] = heal.HostPlan{Domain: domain, Address: name, Accelerators: f.Accelerators, InService: true}
		}
	}
	for i := range f.Groups {
		size := largeSize
		if i >= f.Large {
			size = f.Mix[i%len(f.Mix)]
		}
		g := heal.GroupPlan{
			Name: fmt.Sprintf("group-%03d", i), Hosts: size, Wanted: true, ChecksFencing: true,
			Weights: form.Weights{Model: fmt.Sprintf("model-%d", size), Version: "v1"},
			Lack:    float64(1 + rng.IntN(3)), WeightBytes: minWeights + rng.Float64()*(maxWeights-minWeights),
		}
		p.Groups[g.Name] = g
	}
	return p
}

// site is a fleet with one keeper per domain and a table that answers.
type site struct {
	*world
	keepers map[string]*heal.Decider
	domains []string
	open    sets.Set[string]
	set     heal.Settings
	// read is the revision at which each keeper last read the rows.
	read map[string]uint64
}

func newSite(f Fleet, plan heal.Plan, set heal.Settings, start func() heal.Policies) *site {
	s := &site{world: newWorld(plan), keepers: make(map[string]*heal.Decider), open: sets.New[string](), set: set, read: make(map[string]uint64)}
	for i := range f.Domains {
		domain := fmt.Sprintf("domain-%02d", i)
		s.keepers[domain] = nil
		s.domains = append(s.domains, domain)
	}
	s.hire(start)
	return s
}

// second lets a second pass: each keeper hears its hosts, reads the rows and acts.
func (s *site) second() {
	s.advance(time.Second)
	for _, name := range s.names {
		if h := s.hosts[name]; h.reachable() {
			s.keepers[h.domain].Report(name, s.observe(h), s.now)
		}
	}
	for _, domain := range s.domains {
		k := s.keepers[domain]
		// Rows that have not changed are not read again, which spares most of the time of a run.
		if read, ok := s.read[domain]; !ok || read != s.revision {
			s.read[domain] = s.revision
			k.Rows(s.snapshot(), s.now)
		}
		acts := k.Step(s.now)
		for _, c := range acts.Commits {
			result, revision := s.apply(c)
			k.Committed(c.ID, result, revision, s.now)
			delete(s.read, domain)
		}
		for _, o := range acts.Orders {
			s.receive(o)
		}
	}
	clear(s.open)
	for _, k := range s.keepers {
		for _, r := range k.Routes() {
			s.open.Add(r.Group)
		}
	}
}

// settle forms all groups with loads that take no time. It then binds every third group to the data
// centre where it runs, sets the real rates and gives the domains to keepers with the policies that are
// measured.
func (s *site) settle(f Fleet, policies func() heal.Policies) {
	s.instant = time.Second
	for range settleSeconds {
		if s.second(); s.open.Len() == len(s.plan.Groups) {
			break
		}
	}
	for i, name := range slices.Sorted(maps.Keys(s.plan.Groups)) {
		g := s.plan.Groups[name]
		if i >= f.Large && i%3 == 0 {
			g.DataCentre = s.plan.Domains[s.rows.Groups[name].Row.Domain]
		}
		s.plan.Groups[name] = g
	}
	s.hostRate, s.storeRate, s.uplinkRate = hostRate, storeRate, uplinkRate
	s.hire(policies)
	for range handoverSeconds {
		s.second()
	}
}

// handoverSeconds is enough for new keepers to open the routes of the groups that they find.
const handoverSeconds = 10

// hire gives each domain a new keeper.
func (s *site) hire(policies func() heal.Policies) {
	for domain := range s.keepers {
		k := heal.New(s.set, domain, policies())
		k.Configure(s.plan)
		k.Duty(2, true, s.now)
		s.keepers[domain] = k
	}
	clear(s.read)
}

// settleSeconds bounds the forming of all groups at the start.
const settleSeconds = 300

// Loss is what a loss costs.
type Loss struct {
	// Down is group-seconds without a route; Weighted counts each by what callers lack.
	Down, Weighted float64
	// Stranded is accelerator-seconds of live hosts outside of whole groups while a group is not whole.
	Stranded float64
	// Unplaced is how many groups had no route before the loss.
	Unplaced int
	// Worst is the longest time that one group was down, in seconds.
	Worst float64
}

func (l *Loss) add(o Loss) {
	l.Down += o.Down
	l.Weighted += o.Weighted
	l.Stranded += o.Stranded
	l.Unplaced += o.Unplaced
	l.Worst = max(l.Worst, o.Worst)
}

// measure adds one second to the costs.
func (s *site) measure(l *Loss, down map[string]float64) {
	for name, g := range s.plan.Groups {
		if s.open.Has(name) {
			continue
		}
		l.Down++
		l.Weighted += g.Lack
		down[name]++
		l.Worst = max(l.Worst, down[name])
	}
	whole := sets.New[string]()
	complete := 0
	for _, v := range s.rows.Groups {
		if len(v.Row.Hosts) == 0 || slices.ContainsFunc(v.Row.Hosts, func(n string) bool { return !s.hosts[n].reachable() }) {
			continue
		}
		complete++
		for _, n := range v.Row.Hosts {
			whole.Add(n)
		}
	}
	if complete == len(s.plan.Groups) {
		return
	}
	for _, name := range s.names {
		if h := s.hosts[name]; h.reachable() && !whole.Has(name) {
			l.Stranded += float64(h.accelerators)
		}
	}
}

// Times of a measured loss.
const (
	lossSeconds  = 1800
	returnsAfter = 600
)

// run measures the loss of some hosts and their return with empty memory.
func (s *site) run(lost []string) Loss {
	l := Loss{Unplaced: len(s.plan.Groups) - s.open.Len()}
	down := make(map[string]float64)
	for t := range lossSeconds {
		for _, name := range lost {
			switch t {
			case 0:
				s.kill(name)
			case returnsAfter:
				s.revive(name)
			}
		}
		s.second()
		s.measure(&l, down)
	}
	return l
}

// lostHosts picks what is lost: one host, a domain or a data centre.
func (s *site) lostHosts(extent order.Extent, rng *rand.Rand) []string {
	hit := s.hosts[s.names[rng.IntN(len(s.names))]]
	var out []string
	for _, name := range s.names {
		h := s.hosts[name]
		switch extent {
		case order.Host:
			if h == hit {
				out = append(out, name)
			}
		case order.Domain:
			if h.domain == hit.domain {
				out = append(out, name)
			}
		default:
			if s.plan.Domains[h.domain] == s.plan.Domains[hit.domain] {
				out = append(out, name)
			}
		}
	}
	return out
}

// firstFit places requests in the order in which they came, in the first domain that has room.
type firstFit struct {
	arrival map[string]int
}

func (f *firstFit) place(in form.Input) []form.Choice {
	for _, r := range in.Requests {
		if _, ok := f.arrival[r.Group]; !ok {
			f.arrival[r.Group] = len(f.arrival)
		}
	}
	requests := slices.Clone(in.Requests)
	slices.SortFunc(requests, func(a, b form.Request) int { return cmp.Compare(f.arrival[a.Group], f.arrival[b.Group]) })
	free := make(map[string][]string)
	for _, h := range in.Hosts {
		free[h.Domain] = append(free[h.Domain], h.Name)
	}
	out := make([]form.Choice, 0, len(requests))
	for _, r := range requests {
		c := form.Choice{Group: r.Group, Reason: form.Reason{Cause: form.NoRoom, Need: r.Hosts}}
		for _, d := range in.Domains {
			allowed := r.Domain == d.Name || (r.Domain == "" && (r.DataCentre == "" || r.DataCentre == d.DataCentre))
			if allowed && len(free[d.Name]) >= r.Hosts {
				c.Domain, c.Hosts = d.Name, free[d.Name][:r.Hosts]
				free[d.Name] = free[d.Name][r.Hosts:]
				break
			}
		}
		out = append(out, c)
	}
	return out
}

// firstFitPolicies are the simplest policies: first fit and first come.
func firstFitPolicies() heal.Policies {
	f := &firstFit{arrival: make(map[string]int)}
	return heal.Policies{Place: f.place, Loads: order.FirstCome}
}

// LossOptions are what Losses measures; empty lists mean all.
type LossOptions struct {
	Fleets  []string
	Extents []string
	Seeds   int
	// Loads replaces the loads at once of a domain, unless it is 0.
	Loads int
	// OwnStart lets each policy place the groups before the loss, too. Otherwise all start from the
	// placement of the policies in use.
	OwnStart bool
}

// Losses prints what losses cost under the policies in use and under the simplest, over the same
// seeds.
func Losses(w io.Writer, o LossOptions) error {
	_, _ = fmt.Fprintf(w, "%-11s %-12s %-10s %12s %14s %16s %9s %9s\n",
		"fleet", "lost", "policy", "down_group_s", "weighted_down", "stranded_accel_s", "worst_s", "unplaced")
	for _, f := range fleets {
		if len(o.Fleets) > 0 && !slices.Contains(o.Fleets, f.Name) {
			continue
		}
		for _, extent := range []order.Extent{order.Host, order.Domain, order.DataCentre} {
			if len(o.Extents) > 0 && !slices.Contains(o.Extents, string(extent)) {
				continue
			}
			for _, p := range []struct {
				name     string
				policies func() heal.Policies
			}{{"first_fit", firstFitPolicies}, {"in_use", heal.DefaultPolicies}} {
				l, err := averageLoss(f, extent, p.policies, o)
				if err != nil {
					return err
				}
				_, _ = fmt.Fprintf(w, "%-11s %-12s %-10s %12.0f %14.0f %16.0f %9.0f %9d\n",
					f.Name, extent, p.name, l.Down, l.Weighted, l.Stranded, l.Worst, l.Unplaced)
			}
		}
	}
	return nil
}

// averageLoss averages over the seeds, which share the workers.
func averageLoss(f Fleet, extent order.Extent, policies func() heal.Policies, o LossOptions) (Loss, error) {
	set := heal.DefaultSettings()
	set.LoadsAtOnce = cmp.Or(o.Loads, set.LoadsAtOnce)
	start := heal.DefaultPolicies
	if o.OwnStart {
		start = policies
	}
	losses := make([]Loss, o.Seeds)
	err := share(context.Background(), o.Seeds, func(seed int) {
		rng := rand.New(rand.NewPCG(uint64(seed), uint64(f.Groups)))
		s := newSite(f, f.plan(rng), set, start)
		s.settle(f, policies)
		losses[seed] = s.run(s.lostHosts(extent, rng))
	})
	var sum Loss
	for _, l := range losses {
		sum.add(l)
	}
	n := float64(o.Seeds)
	sum.Down, sum.Weighted, sum.Stranded = sum.Down/n, sum.Weighted/n, sum.Stranded/n
	return sum, err
}
