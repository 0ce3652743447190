package picks

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"geraniumhollow/internal/conf/schema"
	"geraniumhollow/internal/conf/view"
	"geraniumhollow/internal/core/sets"
	"geraniumhollow/internal/node/pick"
	"geraniumhollow/internal/node/relay"
	"geraniumhollow/internal/plat/engine"
	"geraniumhollow/internal/route/choose"
	"geraniumhollow/internal/route/prefix"
	"github.com/cockroachdb/errors"
)

// Shape of the fleet.
const (
	nodeCount   = 6
	dataCentres = 3
	oneWay      = 500 * time.Microsecond
	reportEvery = time.Second
	reportMin   = 200 * time.Millisecond // age at which a report arrives
	reportMax   = time.Second
	lostEvents  = 0.05 // part of the reports whose cache events are lost
	modelName   = "lm"
)

// scenario is one comparison of choosers.
type scenario struct {
	Seed    uint64
	Servers int
	Load    float64 // of what the servers bear without cache hits
	Length  time.Duration
	Events  bool // whether cache events reach the nodes
	Entries int
	Choose  choose.Config
	Window  choose.Window
	Only    string
}

// result is what one chooser made of a load.
type result struct {
	Imbalance float64
	HitShare  float64
	P50       time.Duration
	P95       time.Duration
	P99       time.Duration
	NotServed int
	Requests  int
}

// meanService is the prefill time of a mean prompt without a cache hit on a half full server, which
// defines a load of 1.
const meanService = 22 * prefix.BlockTokens * perToken * 3 / 2

// fleet is a run of one chooser.
type fleet struct {
	scenario
	clock   *clock
	view    *view.View
	servers []*server
	byName  map[string]*server
	pickers []*pick.Picker
	rnd     *rand.Rand
	first   []time.Duration
	cached  int
	prompts int
	refused int
}

// run runs the load of a scenario against a chooser that each node makes with its own random source.
func (sc scenario) run(chooser func(*rand.Rand) choose.Chooser) (result, error) {
	f := &fleet{
		scenario: sc, clock: &clock{}, byName: make(map[string]*server),
		rnd: rand.New(rand.NewPCG(sc.Seed, 2)),
	}
	if err := f.build(chooser); err != nil {
		return result{}, err
	}
	load := makeLoad(sc.Seed, sc.Load*float64(sc.Servers)/meanService.Seconds(), sc.Length, nodeCount)
	for i := range load {
		f.clock.after(load[i].at, func() { f.send(i, load[i]) })
	}
	f.clock.run(sc.Length)
	return f.result(len(load)), nil
}

func (f *fleet) build(chooser func(*rand.Rand) choose.Chooser) error {
	doc := &schema.Document{Models: []schema.Model{{Name: modelName}}}
	for i := range dataCentres {
		dc := "dc" + strconv.Itoa(i)
		doc.DataCentres = append(doc.DataCentres, schema.DataCentre{Name: dc, InService: true})
		doc.FabricDomains = append(doc.FabricDomains, schema.FabricDomain{Name: dc, DataCentre: dc})
		for j := range i {
			doc.Distances = append(doc.Distances, schema.Distance{
				From: "dc" + strconv.Itoa(j), To: dc, OneWayUs: int(oneWay.Microseconds()),
			})
		}
	}
	for i := range f.Servers {
		name := fmt.Sprintf("s%03d", i)
		doc.Hosts = append(doc.Hosts, schema.Host{Name: name, InService: true})
		doc.Groups = append(doc.Groups, schema.Group{
			Name: name, Model: modelName, FabricDomain: "dc" + strconv.Itoa(i%dataCentres), Hosts: []string{name},
			Capacity: schema.Capacity{ColdRequests: 2, WarmRequests: slots, WarmTokens: memoryTokens},
		})
		s, err := newServer(f.clock, name, speed(f.rnd))
		if err != nil {
			return err
		}
		f.servers = append(f.servers, s)
		f.byName[name] = s
	}
	f.view = view.New(1, doc)
	for i := range nodeCount {
		p, err := pick.New(pick.Config{
			DataCentre: "dc" + strconv.Itoa(i%dataCentres), View: func() *view.View { return f.view },
			Now: f.clock.Now, Choose: f.Choose, PrefixEntries: f.Entries,
			Chooser: chooser(rand.New(rand.NewPCG(f.Seed, uint64(i)))),
		})
		if err != nil {
			return errors.Newf("node %d: %w", i, err)
		}
		f.pickers = append(f.pickers, p)
		for _, s := range f.servers {
			p.Observe(s.digest())
		}
	}
	for _, s := range f.servers {
		f.clock.after(time.Duration(f.rnd.Int64N(int64(reportEvery))), func() { f.report(s) })
	}
	return nil
}

// report sends the load of a server to all nodes, which get it late.
func (f *fleet) report(s *server) {
	d, events := s.digest(), s.events
	s.events = nil
	for _, p := range f.pickers {
		late := reportMin + time.Duration(f.rnd.Int64N(int64(reportMax-reportMin)))
		lost := !f.Events || f.rnd.Float64() < lostEvents
		f.clock.after(late, func() {
			d.AgeMs = int(late.Milliseconds())
			p.Observe(d)
			if !lost {
				p.Events(s.name, "i", events)
			}
		})
	}
	f.clock.after(reportEvery, func() { f.report(s) })
}

func (f *fleet) send(i int, r request) {
	p := f.pickers[r.node]
	w := relay.RequestInfo{
		RequestID: strconv.Itoa(i), Account: strconv.Itoa(r.account), Model: modelName,
		PromptTokens: r.prompt(), MaxTokens: answerMax, Prefix: r.blocks, Tried: sets.New[string](),
	}
	target, ferr := p.Pick(f.view, w)
	if ferr != nil {
		f.refused++
		return
	}
	p.Started(target.Name, w)
	s := f.byName[target.Name]
	way := f.view.Distance("dc"+strconv.Itoa(r.node%dataCentres), target.DataCentre)
	var firstToken time.Duration
	j := &job{request: r, sent: f.clock.now}
	j.first = func() {
		firstToken = f.clock.now + way - j.sent
		if j.sent >= f.Length/warmUp {
			f.first = append(f.first, firstToken)
			f.cached += j.cached
			f.prompts += r.prompt()
		}
	}
	j.done = func() {
		f.clock.after(way, func() {
			p.Ended(s.name, w, relay.Result{
				Instance: "i", State: engine.Warm, FirstToken: firstToken,
				PromptTokens: r.prompt(), CachedTokens: j.cached,
			})
		})
	}
	f.clock.after(way, func() { s.arrive(j) })
}

// warmUp is the part of a run whose requests are not counted, as its inverse.
const warmUp = 4

func (f *fleet) result(requests int) result {
	slices.Sort(f.first)
	most, sum := 0.0, 0.0
	for _, s := range f.servers {
		most, sum = max(most, s.work), sum+s.work
	}
	return result{
		Imbalance: most * float64(len(f.servers)) / sum, HitShare: float64(f.cached) / float64(max(1, f.prompts)),
		P50: quantile(f.first, 0.5), P95: quantile(f.first, 0.95), P99: quantile(f.first, 0.99),
		NotServed: f.refused, Requests: requests,
	}
}

func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

// namedChooser is a chooser that a comparison runs.
type namedChooser struct {
	name string
	make func(*rand.Rand) choose.Chooser
}

func (sc scenario) choosers() []namedChooser {
	return []namedChooser{
		{"round-robin", func(*rand.Rand) choose.Chooser { return &choose.RoundRobin{} }},
		{"least-outstanding", func(*rand.Rand) choose.Chooser { return &choose.LeastOutstanding{} }},
		{"two-choices", func(r *rand.Rand) choose.Chooser { return choose.NewPowerOfTwoChoices(r) }},
		{"shortest", func(r *rand.Rand) choose.Chooser { return choose.NewLowestEstimate(r, sc.Window) }},
	}
}
