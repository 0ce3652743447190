package scale_test

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"geraniumhollow/internal/plan/scale"
	"geraniumhollow/internal/route/batch"
)

func testEngine() *batch.Engine {
	return &batch.Engine{
		Models: []batch.Model{
			{Name: "large", Hosts: 12, TimeFactor: 1, WorkFraction: 0.5, ColdLoadTime: 16 * time.Second, WarmLoadTime: 1600 * time.Millisecond},
			{Name: "small", Hosts: 6, TimeFactor: 0.6, WorkFraction: 0.5, ColdLoadTime: 12 * time.Second, WarmLoadTime: 1100 * time.Millisecond},
		},
		MaxRequests: 48, TokenCapacity: 2_470_000, StepsPerPass: 5, StepBase: 6450 * time.Microsecond, StepPerRequest: 96700 * time.Nanosecond,
		StepPerThousandTokens: 2930 * time.Nanosecond, PrefillRate: 56_100, PrefillChunk: 2048, MeanPromptTokens: 800, MeanAnswerTokens: 140,
	}
}

var dataCentres = []string{"dc0", "dc1", "dc2"}

// fleet simulates the demand of a fleet and a platform that carries out orders.
type fleet struct {
	t   *testing.T
	d   *scale.Decider
	rnd *rand.Rand
	now time.Time
	// elapsed is the time of the oscillation of demand, factor multiplies the rate of a model.
	elapsed time.Duration
	start   time.Duration
	factor  map[string]float64
	// domains holds servers by data centre and domain, booting the times at which ordered servers register.
	domains map[string][]int
	booting map[string][]time.Duration
	boot    time.Duration
	out     map[string]bool
	down    map[string]bool
	// ignores is set if the platform does not carry out orders.
	ignores bool
	failed  map[string]float64
	// answers is the share of the answers that callers get.
	answers float64
	// open counts the open groups. If it is nil, they are those of the targets.
	open map[string]int
	last scale.Output
	// orders holds the changes of orders.
	orders []order
	dt     time.Duration
}

type order struct {
	at      time.Duration
	reason  string
	desired map[string]int
}

// total returns the number of servers that an order asks for.
func (o order) total() int {
	n := 0
	for _, v := range o.desired {
		n += v
	}
	return n
}

// newFleet returns a fleet with 54 servers in each data centre, whose demand begins at a phase of its oscillation.
func newFleet(t *testing.T, phase time.Duration) *fleet {
	t.Helper()
	f := &fleet{
		t: t, d: scale.New(), rnd: rand.New(rand.NewPCG(1, 2)), now: time.Unix(1000, 0), factor: map[string]float64{"large": 1, "small": 1},
		domains: make(map[string][]int), booting: make(map[string][]time.Duration), boot: 8 * time.Second, out: make(map[string]bool),
		down: make(map[string]bool), failed: make(map[string]float64), dt: 500 * time.Millisecond, elapsed: phase, start: phase, answers: 1,
	}
	for _, dc := range dataCentres {
		f.domains[dc] = []int{27, 27}
	}
	return f
}

// poisson returns a random number of independent events.
func (f *fleet) poisson(mean float64) float64 {
	return max(0, math.Round(mean+math.Sqrt(mean)*f.rnd.NormFloat64()))
}

func (f *fleet) demand() scale.Demand {
	out := make(scale.Demand)
	wave := 1 + 0.2*math.Sin(2*math.Pi*f.elapsed.Seconds()/11)
	up := 0.0
	for _, dc := range dataCentres {
		if !f.down[dc] {
			up++
		}
	}
	for _, dc := range dataCentres {
		for _, k := range []struct {
			model                string
			rate, prompt, answer float64
		}{{"small", 314, 674, 150}, {"large", 29, 1420, 150}, {"large", 18, 1960, 25}} {
			n := f.poisson(k.rate / up * f.factor[k.model] * wave * f.dt.Seconds())
			if n == 0 || f.down[dc] {
				continue
			}
			key := scale.Key{Model: k.model, DataCentre: dc}
			c := out[key]
			c.Arrivals += n
			c.PromptTokens += n * k.prompt
			c.AnswerTokens += n * k.answer * f.answers
			c.Refused += n * f.failed[k.model]
			out[key] = c
		}
	}
	return out
}

func (f *fleet) run(d time.Duration) {
	f.t.Helper()
	for end := f.elapsed + d; f.elapsed < end; f.elapsed += f.dt {
		in := scale.Input{
			Demand: f.demand(), Engine: testEngine(), Objectives: map[string]time.Duration{"small": 300 * time.Millisecond, "large": 400 * time.Millisecond}, Bounds: scale.Bounds{Min: 26, Max: 60, Boot: 8 * time.Second},
			DataCentres: make(map[string]scale.DataCentre), Open: f.open,
		}
		if f.open == nil {
			in.Open = f.last.Groups
		}
		for _, dc := range dataCentres {
			if f.down[dc] {
				continue
			}
			z := scale.DataCentre{OutOfService: f.out[dc], Domains: make(map[string]int)}
			for i, n := range f.domains[dc] {
				z.Domains[fmt.Sprintf("%s-d%d", dc, i)] = n
			}
			in.DataCentres[dc] = z
		}
		f.last = f.d.Step(f.now, in)
		if f.last.Reason != "" {
			f.orders = append(f.orders, order{f.elapsed, f.last.Reason, maps.Clone(f.last.Desired)})
		}
		f.execute()
		f.now = f.now.Add(f.dt)
	}
}

// execute has the platform carry out the orders.
func (f *fleet) execute() {
	for _, dc := range dataCentres { // In a fixed order, as servers that end are drawn at random.
		want, ok := f.last.Desired[dc]
		if !ok || f.ignores || f.down[dc] {
			continue
		}
		f.booting[dc] = slices.DeleteFunc(f.booting[dc], func(at time.Duration) bool {
			if f.elapsed < at {
				return false
			}
			f.add(dc)
			return true
		})
		for n := f.count(dc) + len(f.booting[dc]); n < want; n++ {
			f.booting[dc] = append(f.booting[dc], f.elapsed+f.boot)
		}
		for n := f.count(dc); n > want; n-- {
			f.remove(dc)
		}
	}
}

func (f *fleet) count(dc string) int {
	sum := 0
	for _, n := range f.domains[dc] {
		sum += n
	}
	return sum
}

// add adds a server to a random domain with room.
func (f *fleet) add(dc string) {
	var room []int
	for i, n := range f.domains[dc] {
		if n < 27 {
			room = append(room, i)
		}
	}
	if len(room) == 0 {
		f.domains[dc] = append(f.domains[dc], 1)
		return
	}
	f.domains[dc][room[f.rnd.IntN(len(room))]]++
}

// remove removes a random server.
func (f *fleet) remove(dc string) {
	r := f.rnd.IntN(f.count(dc))
	for i, n := range f.domains[dc] {
		if r < n {
			f.domains[dc][i]--
			return
		}
		r -= n
	}
}

// bounded fails the test if an order is outside the bounds.
func (f *fleet) bounded() {
	f.t.Helper()
	for _, o := range f.orders {
		for dc, n := range o.desired {
			if n < 26 || n > 60 {
				f.t.Errorf("%v: %d servers ordered in %s (%s)", o.at, n, dc, o.reason)
			}
		}
	}
}

// times multiplies demand.
func (f *fleet) times(factor float64) { f.factor["small"], f.factor["large"] = factor, factor }

// steady runs the fleet with half of the usual demand until it has scaled in to what that needs, and discards the orders.
func (f *fleet) steady() {
	f.t.Helper()
	f.times(0.5)
	f.run(60 * time.Second)
	if n := f.servers(); n > 148 || n < 100 || f.units() < 15 {
		f.t.Fatalf("%d servers in %d units are left after a minute: %v", n, f.units(), f.orders)
	}
	f.orders = nil
}

// units returns the number of whole groups of six servers.
func (f *fleet) units() int {
	sum := 0
	for dc, list := range f.domains {
		for _, n := range list {
			if !f.down[dc] && !f.out[dc] {
				sum += n / 6
			}
		}
	}
	return sum
}

func (f *fleet) servers() int {
	sum := 0
	for _, dc := range dataCentres {
		sum += f.count(dc)
	}
	return sum
}

// Guards against a fleet that is larger than its demand for long, that is reduced too early, in large steps, in quick succession, or to
// less than the demand needs at any phase of its oscillation.
func TestScalesIn(t *testing.T) {
	t.Parallel()
	for phase := range 11 {
		f := newFleet(t, time.Duration(phase)*time.Second)
		f.times(0.5)
		f.run(100 * time.Second)
		if n := f.servers(); n > 148 || f.units() < 15 {
			t.Errorf("phase %d: %d servers in %d units in the end: %v", phase, n, f.units(), f.orders)
		}
		if g := f.last.Groups; g["small"] < 10 || g["large"] < 3 {
			t.Errorf("phase %d: groups %v", phase, g)
		}
		before := order{at: f.start, desired: map[string]int{"all": 162}}
		for _, o := range f.orders {
			if o.at-before.at < 15*time.Second || o.total() < before.total()*4/5 || o.reason != scale.ReasonScaleIn {
				t.Errorf("phase %d: order %v follows %v", phase, o, before)
			}
			before = o
		}
		if len(f.orders) > 3 {
			t.Errorf("phase %d: orders changed %d times: %v", phase, len(f.orders), f.orders)
		}
		f.bounded()
	}
}

// Guards against orders that follow each wave of demand, and against removing or adding servers while the usual demand uses all of them.
func TestOscillation(t *testing.T) {
	t.Parallel()
	for phase := range 11 {
		f := newFleet(t, time.Duration(phase)*time.Second)
		f.run(3 * time.Minute)
		for _, o := range f.orders {
			if o.total() != 162 {
				t.Errorf("phase %d: orders in three minutes: %v", phase, f.orders)
			}
		}
		if g := f.last.Groups; g["small"] < 14 || g["small"] > 16 || g["small"]+2*g["large"] != 24 {
			t.Errorf("phase %d: groups %v", phase, g)
		}
	}
}

// Guards against removing servers within 15 s of late requests, missing groups, lost servers, or a data centre out of service.
func TestNoScaleInAfterDisturbance(t *testing.T) {
	t.Parallel()
	for name, change := range map[string]func(f *fleet, on bool){
		"late":           func(f *fleet, on bool) { f.failed["small"] = map[bool]float64{true: 0.06}[on] },
		"out of service": func(f *fleet, on bool) { f.out["dc1"] = on },
		"missing groups": func(f *fleet, on bool) {
			if f.open = nil; on {
				f.open = map[string]int{"small": 5, "large": 1}
			}
		},
		"lost servers": func(f *fleet, _ bool) { f.domains["dc0"][0]-- },
	} {
		f := newFleet(t, 0)
		f.times(0.5)
		f.run(10 * time.Second)
		change(f, true)
		f.run(time.Second)
		change(f, false)
		f.run(14 * time.Second)
		if len(f.orders) > 0 {
			t.Errorf("%s: %v", name, f.orders)
		}
		f.run(6 * time.Second)
		if len(f.orders) != 1 || f.orders[0].reason != scale.ReasonScaleIn {
			t.Errorf("%s: orders after 20 s without disturbance: %v", name, f.orders)
		}
	}
}

// Guards against groups that are split by the configured shares for longer than it takes to know better, and against servers that are
// used for no group although a model needs more.
func TestSplitFollowsDemand(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 0)
	f.open = map[string]int{"large": 6, "small": 11}
	f.run(3 * time.Second)
	if g := f.last.Groups; g["large"] > 5 || g["small"] < 14 || g["small"]+2*g["large"] != 24 || f.last.Desired != nil {
		t.Errorf("groups %v and servers %v after 3 s", g, f.last.Desired)
	}
	f.open = map[string]int{"large": 6, "small": 7}
	f.run(time.Second)
	if !f.last.Urgent["small"] || f.last.Urgent["large"] {
		t.Errorf("urgent with half of the groups: %v", f.last.Urgent)
	}
	f.times(0.25)
	f.d = scale.New()
	f.run(4 * time.Second)
	if g := f.last.Groups; g["small"]+2*g["large"] != 24 {
		t.Errorf("groups %v for a quarter of the demand use not all servers", g)
	}
}

// Guards against late requests that lead to no order, or to one only after seconds, and against orders without them.
func TestLateRequests(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 0)
	f.run(8 * time.Second)
	if len(f.orders) > 0 {
		t.Fatalf("orders %v", f.orders)
	}
	f.failed["small"] = 0.1
	f.run(2500 * time.Millisecond)
	if len(f.orders) != 1 || f.orders[0].total() != 180 || !f.last.Late["small"] || f.last.Late["large"] {
		t.Errorf("late requests for the small model lead to %v, late %v", f.orders, f.last.Late)
	}
	if s := f.last.Models["small"]; s.FailedShare < 0.05 || s.Rate < 250 || s.Rate > s.Highest || s.Needed < 20 || math.Abs(s.Mix.PromptTokens-674) > 1 {
		t.Errorf("state %+v", s)
	}
}

// Guards against trusting the mean of answers that are cut short by overload.
func TestShortAnswersOfLateRequests(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 0)
	f.run(14 * time.Second)
	before := f.last.Models["small"].Capacity
	f.failed["small"], f.answers = 0.3, 0.2
	f.run(14 * time.Second)
	if after := f.last.Models["small"].Capacity; after > 1.1*before {
		t.Errorf("capacity %.1f, %.1f while requests fail", before, after)
	}
}

// Guards against scaling out later than at the first crest of demand that the servers cannot serve, or beyond the bounds, and against
// taking servers that were ordered to end for lost ones.
func TestRisingDemand(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 0)
	f.steady()
	before, at := f.servers(), f.elapsed
	f.times(1.2)
	f.run(20 * time.Second)
	if len(f.orders) == 0 || f.orders[0].at-at > 11*time.Second || f.orders[len(f.orders)-1].total() < before+18 {
		t.Errorf("with %d servers, more than twice the requests lead to %v since %v", before, f.orders, at)
	}
	f.times(3)
	f.run(30 * time.Second)
	if o := f.orders[len(f.orders)-1]; o.total() != 180 {
		t.Errorf("three times the demand leads to %v", o)
	}
	if g := f.last.Groups; 6*g["small"]+12*g["large"] > 180 || g["small"] < 2*g["large"] {
		t.Errorf("groups of 180 servers: %v", g)
	}
	f.orders = nil
	f.times(0.1)
	f.run(240 * time.Second)
	if n := f.servers(); n != 78 || slices.ContainsFunc(f.orders, func(o order) bool { return o.reason != scale.ReasonScaleIn }) {
		t.Errorf("%d servers are left for a tenth of the demand: %v", n, f.orders)
	}
	f.bounded()
}

// Guards against removing servers while demand may return, in many steps, or not at all.
func TestFallingDemand(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 0)
	f.run(30 * time.Second)
	f.orders = nil
	at := f.elapsed
	f.times(0.4)
	f.run(200 * time.Second)
	if len(f.orders) == 0 || len(f.orders) > 3 || f.orders[0].at-at < 90*time.Second {
		t.Errorf("less than half of the demand leads to %v since %v", f.orders, at)
	}
	if n := f.servers(); n > 132 || f.units() < 13 {
		t.Errorf("%d servers in %d units are left for less than half of the demand", n, f.units())
	}
	f.bounded()
}

// Guards against taking missing reports for missing demand, and against a model without any group.
func TestVanishingDemand(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 0)
	f.steady()
	f.times(0)
	f.run(15 * time.Second)
	if len(f.orders) > 0 {
		t.Errorf("15 s without reports lead to %v", f.orders)
	}
	f.run(180 * time.Second)
	if n := f.servers(); n != 78 {
		t.Errorf("%d servers are left without demand", n)
	}
	if g := f.last.Groups; g["small"] < 1 || g["large"] < 1 {
		t.Errorf("groups without demand: %v", g)
	}
	f.times(1)
	f.run(10 * time.Second)
	if o := f.orders[len(f.orders)-1]; o.total() < 150 {
		t.Errorf("demand that returns leads to %v", o)
	}
}

// Guards against waiting for the servers of a lost data centre, and against removing others.
func TestDataCentreLost(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 0)
	f.run(20 * time.Second)
	f.orders = nil
	at := f.elapsed
	f.down["dc1"] = true
	f.run(2 * time.Second)
	if len(f.orders) != 1 || f.orders[0].desired["dc0"] != 60 || f.orders[0].desired["dc2"] != 60 || f.orders[0].reason != scale.ReasonCapacity {
		t.Errorf("after the loss at %v: %v", at, f.orders)
	}
	f.run(30 * time.Second)
	f.down["dc1"] = false
	f.run(60 * time.Second)
	if n := f.servers(); n < 162 {
		t.Errorf("%d servers after the data centre has returned: %v", n, f.orders)
	}
	f.bounded()
}

// Guards against paying for servers that serve nothing, and against counting on them.
func TestDataCentreOutOfService(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 0)
	f.run(20 * time.Second)
	f.out["dc0"] = true
	f.run(3 * time.Second)
	if d := f.last.Desired; d["dc1"] != 60 || d["dc2"] != 60 || d["dc0"] == 26 {
		t.Errorf("servers while a data centre is out of service: %v", d)
	}
	f.run(20 * time.Second)
	if d := f.last.Desired; d["dc0"] != 26 {
		t.Errorf("servers while a data centre has been out of service for long: %v", d)
	}
	f.out["dc0"] = false
	f.failed["small"] = 0.1 // The two others cannot carry the demand.
	f.run(40 * time.Second)
	if f.units() < 24 {
		t.Errorf("%d units with servers %v", f.units(), f.last.Desired)
	}
	f.bounded()
}

// Guards against counting forever on servers that were ordered and do not come, and against ordering more for each step that they are
// late.
func TestOrdersNotCarriedOut(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 0)
	f.steady()
	f.boot = 40 * time.Second
	f.times(0.9)
	f.failed["small"] = 0.1
	f.run(14 * time.Second)
	first := f.orders[len(f.orders)-1].total()
	f.run(30 * time.Second)
	if last := f.orders[len(f.orders)-1].total(); last > max(first+12, 180) {
		t.Errorf("late servers lead to %v", f.orders)
	}
	f.ignores = true
	f.failed["small"] = 0
	f.times(0.4)
	before := f.servers()
	f.run(400 * time.Second) // The capacity that was learned from late requests recovers.
	if d := (order{desired: f.last.Desired}).total(); d > 132 || f.servers() != before {
		t.Errorf("%d servers, %v ordered", f.servers(), f.last.Desired)
	}
	f.bounded()
}

// Guards against a new holder that removes servers before it knows the demand, or that discards orders of the previous one.
func TestNewHolder(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 0)
	f.steady()
	f.d = scale.New()
	n := f.servers()
	f.run(15 * time.Second)
	if f.last.Desired != nil || f.servers() != n || f.last.Groups == nil {
		t.Errorf("a new holder orders %v after 15 s, groups %v", f.last.Desired, f.last.Groups)
	}
	f.run(20 * time.Second)
	if needed := f.last.Models["small"].Needed + 2*f.last.Models["large"].Needed; f.last.Desired == nil || f.servers() < n*4/5 || f.units() < needed-2 {
		t.Errorf("with %d servers, a new holder orders %v for %d of %d units", n, f.last.Desired, needed, f.units())
	}
	f.d = scale.New()
	f.failed["small"] = 0.3
	f.times(1)
	f.run(2500 * time.Millisecond)
	if d := (order{desired: f.last.Desired}).total(); d < 150 {
		t.Errorf("late requests lead to %v in the first seconds of a new holder", f.last.Desired)
	}
}

// Guards against trusting the prediction of the capacity of groups although requests are refused.
func TestRefusalsRaiseNeed(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 0)
	f.steady()
	before := f.last.Models["small"].Needed
	f.failed["small"] = 0.1
	f.run(30 * time.Second)
	if after := f.last.Models["small"].Needed; after <= before || after > 2*before {
		t.Errorf("refusals change the number of groups from %d to %d", before, after)
	}
}

// Guards against decisions for an engine or bounds that are not described.
func TestNotDescribed(t *testing.T) {
	t.Parallel()
	for _, in := range []scale.Input{
		{},
		{Engine: &batch.Engine{}, Bounds: scale.Bounds{Max: 10}},
		{Engine: testEngine()},
	} {
		if out := scale.New().Step(time.Unix(0, 0), in); out.Desired != nil || out.Groups != nil {
			t.Errorf("output %+v for %+v", out, in)
		}
	}
}

// A group has 28 of 48 slots in use at its capacity.
func ExampleCapacity() {
	e := testEngine()
	fmt.Printf("%.1f\n", scale.Capacity(e, e.Models[1], scale.Mix{PromptTokens: 674, AnswerTokens: 150}, 300*time.Millisecond))
	fmt.Printf("%.1f\n", scale.Capacity(e, e.Models[0], scale.Mix{PromptTokens: 1627, AnswerTokens: 102}, 400*time.Millisecond))
	// A shorter objective leaves less time for prompts of other requests.
	fmt.Printf("%.1f\n", scale.Capacity(e, e.Models[0], scale.Mix{PromptTokens: 1627, AnswerTokens: 102}, 200*time.Millisecond))
	// Output:
	// 27.1
	// 15.9
	// 8.9
}
