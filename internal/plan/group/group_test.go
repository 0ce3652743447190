package group_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"geraniumhollow/internal/fleet/duty"
	"geraniumhollow/internal/fleet/index"
	"geraniumhollow/internal/fleet/server"
	"geraniumhollow/internal/plan/group"
	"geraniumhollow/internal/route/batch"
)

// engine has groups of two of one model.
func engine() *batch.Engine {
	return &batch.Engine{
		Models:         []batch.Model{{Name: "m", Hosts: 2, Pace: 1, Share: 1, Load: 10 * time.Second, Warm: time.Second}},
		LoadsPerSecond: 1, LoadsAtOnce: 8, StagedModels: 1,
	}
}

// table plays one decider against servers that do as they are told.
type play struct {
	t       *testing.T
	d       *group.Decider
	now     time.Time
	view    *index.Index
	servers map[string]server.Info
	// silent servers answer neither orders nor probes; unlisted ones are not in the registry.
	silent   map[string]bool
	unlisted map[string]bool
	// pace is that of servers which are slower than usual.
	pace map[string]float64
	// beats stop for servers in it.
	still  map[string]bool
	beat   uint64
	orders []string
	// loaded is when loads of weights that take their time end.
	loaded map[string]time.Time
	slow   bool
}

func newPlay(t *testing.T, n int) *play {
	t.Helper()
	p := &play{
		t: t, now: time.Unix(1000, 0), view: index.New(), servers: make(map[string]server.Info),
		silent: make(map[string]bool), unlisted: make(map[string]bool), still: make(map[string]bool),
		loaded: make(map[string]time.Time), pace: make(map[string]float64),
	}
	p.d = decide(engine(), group.Plan{})
	for i := range n {
		p.add(fmt.Sprintf("s%d", i))
	}
	return p
}

// decide returns a decider that goes on from a plan.
func decide(e *batch.Engine, plan group.Plan) *group.Decider {
	return group.New(group.Config{Service: "llm", Engine: e, StallTime: 5 * time.Second, BeatInterval: time.Second}, plan)
}

// help marks the caller as a helper of its test; a benchmark has none.
func (p *play) help() {
	if p.t != nil {
		p.t.Helper()
	}
}

// change changes what a server says of itself.
func (p *play) change(id string, f func(*server.Info)) {
	i := p.servers[id]
	f(&i)
	p.servers[id] = i
}

func drains(i *server.Info) { i.Draining = true }

// addCold adds servers that hold no weights.
func (p *play) addCold(ids ...string) {
	for _, id := range ids {
		p.add(id)
		p.change(id, func(i *server.Info) { i.Staged = nil })
	}
}

func (p *play) add(id string) {
	p.servers[id] = server.Info{ID: id, Service: "llm", Address: id, Domain: "d", DataCentre: "dc", Born: p.now, Staged: []string{"m"}}
}

// run steps the decider for a time.
func (p *play) run(d time.Duration) {
	p.help()
	for end := p.now.Add(d); p.now.Before(end); p.now = p.now.Add(50 * time.Millisecond) {
		p.step()
	}
}

func (p *play) step() {
	c := index.Change{Full: true}
	beats := make(map[string]uint64)
	p.beat++
	p.endLoads()
	for id, i := range p.servers {
		if !p.unlisted[id] {
			c.Put = append(c.Put, i)
		}
		beats[id] = p.beat
		if p.still[id] {
			beats[id] = 1
		}
	}
	p.view.Apply(p.now, c)
	p.d.View(p.now, p.view.View())
	p.d.Beats(p.now, beats)
	a := p.d.Step(p.now)
	if a.Commit != nil {
		p.d.Committed()
	}
	for _, o := range a.Orders {
		p.checkStage(o, a.Commit)
		p.orders = append(p.orders, fmt.Sprintf("%s %s/%d %s", o.Kind, o.Group, o.Epoch, o.Server))
		p.d.Ordered(p.now, o, p.obey(o))
	}
	for _, q := range a.Probes {
		if i, ok := p.servers[q.Server]; ok && !p.silent[q.Server] {
			p.d.Probed(p.now, q.Server, server.Report{Info: i, Pace: max(1, p.pace[q.Server])})
		} else {
			p.d.Missed(q.Server, false)
		}
	}
	for _, q := range a.Witness {
		p.d.Witnessed(q.Server, 3, 0)
	}
}

// checkStage checks that no server is told to load weights as a spare while a plan is stored in which it has a place: its
// join would wait for that load (strygekurv scale-2: a group stood idle for 23 s).
func (p *play) checkStage(o group.Order, next *group.Plan) {
	p.help()
	if o.Kind != group.Stage || next == nil {
		return
	}
	if f, ok := next.Of(o.Server); ok {
		p.t.Errorf("%s is told to load %s as a spare, and is placed in %s/%d", o.Server, o.Model, f.Group, f.Epoch)
	}
}

// obey carries out an order at once.
func (p *play) obey(o group.Order) group.Outcome {
	i, ok := p.servers[o.Server]
	if !ok || p.silent[o.Server] {
		return group.Unknown
	}
	switch o.Kind {
	case group.Join:
		i.Member = server.Member{Group: o.Group, Epoch: o.Epoch, Rank: slices.Index(o.Members, o.Server), State: server.Ready}
		if p.slow && !i.HasStaged(o.Model) {
			i.Member.State = server.Joining
			p.startLoad(o.Server)
			break
		}
		i.Model, i.Staged = o.Model, []string{o.Model}
	case group.Open:
		i.Member.State = server.Open
	case group.Close:
		i.Member.State = server.Ready
	case group.Leave:
		i.Member = server.Member{}
	case group.Stage:
		if p.slow {
			p.startLoad(o.Server)
			break
		}
		i.Staged = []string{o.Model}
	}
	p.servers[o.Server] = i
	return group.Accepted
}

// startLoad begins a load of the only model.
func (p *play) startLoad(id string) {
	if _, ok := p.loaded[id]; !ok {
		p.loaded[id] = p.now.Add(engine().Models[0].Load)
	}
}

func (p *play) endLoads() {
	for id, at := range p.loaded {
		i, ok := p.servers[id]
		if !ok || p.now.Before(at) {
			continue
		}
		delete(p.loaded, id)
		i.Staged = []string{"m"}
		if i.Member.State == server.Joining {
			i.Member.State, i.Model = server.Ready, "m"
		}
		p.servers[id] = i
	}
}

// lose ends servers at once, and has cold ones take their places in the registry.
func (p *play) lose(ids ...string) {
	for _, id := range ids {
		delete(p.servers, id)
		p.addCold("cold-" + id)
	}
}

// open returns the formations whose head is open, by group.
func (p *play) open() map[string]group.Formation {
	out := make(map[string]group.Formation)
	for _, f := range p.d.Plan().Current {
		if i := p.servers[f.Head()]; i.Member.Of(f.Group, f.Epoch) && i.Member.State == server.Open {
			out[f.Group] = f
		}
	}
	return out
}

// Guards against servers that stay without groups, and groups that take every spare.
func TestForms(t *testing.T) {
	t.Parallel()
	p := newPlay(t, 5)
	p.run(3 * time.Second)
	if open := p.open(); len(open) != 2 {
		t.Errorf("%d groups are open of five servers, want two and a spare: %v", len(open), p.orders)
	}
	if n := p.d.Census().Free; n != 1 {
		t.Errorf("%d servers are free, want one", n)
	}
}

// Guards against a lost member whose group is not formed anew, or only after the registry drops it.
func TestReplacesLostMember(t *testing.T) {
	t.Parallel()
	for rank, name := range []string{"head", "member"} {
		p := newPlay(t, 5)
		p.run(3 * time.Second)
		f := p.open()["g1"]
		lost := f.Members[rank]
		p.silent[lost], p.still[lost] = true, true
		p.d.Suspect(f.Group, f.Epoch)
		p.run(3 * time.Second)
		g, ok := p.open()["g1"]
		if !ok || g.Has(lost) || g.Epoch <= f.Epoch {
			t.Errorf("%s lost: the group is %+v, open %v", name, g, ok)
		}
	}
}

// cutHead leaves the keeper without answers of a head, which it is told makes no progress.
func (p *play) cutHead(f group.Formation) {
	p.silent[f.Head()] = true
	p.d.Suspect(f.Group, f.Epoch)
}

// untilElsewhere runs until a member of a formation has joined another one, and returns how long that took.
func (p *play) untilElsewhere(id string, f group.Formation) time.Duration {
	p.help()
	began := p.now
	for p.servers[id].Member.Epoch == f.Epoch || !p.servers[id].Member.Some() {
		p.run(50 * time.Millisecond)
		if p.now.Sub(began) > 20*time.Second {
			p.t.Fatal("the other member is never used again")
		}
	}
	return p.now.Sub(began)
}

// Guards against members of a head that cannot be reached but lives, which are joined elsewhere while it may
// serve.
func TestWaitsForCutHead(t *testing.T) {
	t.Parallel()
	p := newPlay(t, 5)
	p.run(3 * time.Second)
	f := p.open()["g1"]
	other := f.Members[1]
	p.cutHead(f)
	if waited := p.untilElsewhere(other, f); waited < 5*time.Second {
		t.Errorf("the other member joined elsewhere after %v, while the head may serve for 5 s", waited)
	}
}

// Guards against a member of a head that has left its formation which is used elsewhere while an order of the earlier
// keeper, given in the rest of its tenure and carried out late, can make the head serve again.
func TestEarlierKeeperStillActs(t *testing.T) {
	t.Parallel()
	const longestDelay = 12 * time.Second
	p := newPlay(t, 3)
	f := group.Formation{
		Group: "g1", Epoch: 3, Model: "m", Service: "llm", Domain: "d", Members: []string{"s0", "s1"}, Addresses: []string{"s0", "s1"},
	}
	p.d = decide(engine(), group.Plan{Head: group.Head{Epoch: f.Epoch, Inherited: f.Epoch}, Retired: []group.Formation{f}})
	// The head joins no other formation, which would keep it from this one.
	p.change(f.Head(), drains)
	if waited := p.untilElsewhere("s1", f); waited < longestDelay+duty.Tenure {
		t.Errorf("the member joined elsewhere after %v, while orders of the earlier keeper may come for %v",
			waited, longestDelay+duty.Tenure)
	}
}

// Guards against a head that counts as broken although an order of an earlier keeper, which was carried out late, has
// brought its member back since (interleaving of seed 20266734).
func TestMemberOfCutHeadReturns(t *testing.T) {
	t.Parallel()
	p := newPlay(t, 5)
	p.run(3 * time.Second)
	f := p.open()["g1"]
	other := f.Members[1]
	p.cutHead(f)
	p.run(4 * time.Second)
	p.change(other, func(i *server.Info) {
		i.Member = server.Member{Group: f.Group, Epoch: f.Epoch, Rank: 1, State: server.Ready}
	})
	if waited := p.untilElsewhere(other, f); waited < 5*time.Second {
		t.Errorf("the member joined elsewhere %v after it had been back, while the head may serve for 5 s", waited)
	}
}

// Guards against a group that goes on with a head that the registry does not have, and one that is broken up
// because it does not have a member.
func TestUnlisted(t *testing.T) {
	t.Parallel()
	p := newPlay(t, 5)
	p.run(3 * time.Second)
	f := p.open()["g1"]
	p.unlisted[f.Members[1]] = true
	p.run(5 * time.Second)
	if g := p.open()["g1"]; g.Epoch != f.Epoch {
		t.Errorf("the group was formed anew as %+v because of an unlisted member that answers", g)
	}
	p.unlisted[f.Members[1]] = false
	p.unlisted[f.Head()] = true
	p.run(5 * time.Second)
	if g := p.open()["g1"]; g.Head() == f.Head() {
		t.Error("a head that is not listed stays the head")
	}
}

// Guards against a leaving member that is cut at once, or that stays.
func TestDrainingMember(t *testing.T) {
	t.Parallel()
	p := newPlay(t, 5)
	p.run(3 * time.Second)
	f := p.open()["g1"]
	p.change(f.Members[1], drains)
	p.run(200 * time.Millisecond)
	if !slices.Contains(p.orders, fmt.Sprintf("close g1/%d %s", f.Epoch, f.Head())) {
		t.Errorf("the group was not closed first: %v", p.orders)
	}
	p.run(4 * time.Second)
	if g, ok := p.open()["g1"]; !ok || g.Has(f.Members[1]) {
		t.Errorf("the group is %+v, open %v", g, ok)
	}
}

// Guards against a group that is given up for the time of a load as soon as a member begins to leave, although that member
// may stay for some seconds (sutradhar trouble-1: no service for 16 s), and against one that keeps it for too long.
func TestDrainingMemberStays(t *testing.T) {
	t.Parallel()
	const longestStay = 10 * time.Second
	p := newPlay(t, 4)
	p.run(3 * time.Second)
	p.d.Traffic()
	p.slow = true
	p.addCold("cold")
	p.run(2 * time.Second)
	f := p.open()["g1"]
	p.change(f.Members[1], drains)
	p.run(5 * time.Second)
	if g, ok := p.open()["g1"]; !ok || g.Epoch != f.Epoch {
		t.Errorf("the group is %+v, open %v, while its leaving member is there", g, ok)
	}
	p.run(longestStay - 5*time.Second)
	if g := p.open()["g1"]; g.Has(f.Members[1]) {
		t.Error("the group still needs the member at the end of its stay")
	}
	p.run(8 * time.Second)
	if g, ok := p.open()["g1"]; !ok || !g.Has("cold") {
		t.Errorf("the group is %+v, open %v, after the spare has loaded the weights", g, ok)
	}
}

// Guards against loads that are counted long after their end because the server was given other weights since: they left
// no room for those of spares (strygekurv scale-2: none for 17 s).
func TestLoadThatNeverShows(t *testing.T) {
	t.Parallel()
	p := newPlay(t, 4)
	e := engine()
	e.LoadsAtOnce = 1
	p.d = decide(e, group.Plan{})
	p.run(3 * time.Second)
	p.d.Traffic()
	p.slow = true
	p.orders = nil
	p.addCold("cold1", "cold2")
	p.run(2 * time.Second)
	if len(p.orders) != 1 {
		t.Fatalf("one load at a time is left to spares: %v", p.orders)
	}
	clear(p.loaded)
	p.run(e.Models[0].Load * 3 / 2)
	if len(p.orders) < 2 {
		t.Errorf("no other spare loads weights: %v", p.orders)
	}
}

// Guards against a group that stays closed because the spare for its slow member was lost (strygekurv trouble-2: two of
// six groups of a model stood idle for 16 s).
func TestSpareForSlowMemberLost(t *testing.T) {
	t.Parallel()
	p := newPlay(t, 5)
	p.run(3 * time.Second)
	f := p.open()["g1"]
	p.pace[f.Members[1]] = 4
	p.d.Suspect(f.Group, f.Epoch)
	closing := fmt.Sprintf("close g1/%d %s", f.Epoch, f.Head())
	for end := p.now.Add(3 * time.Second); !slices.Contains(p.orders, closing); p.run(50 * time.Millisecond) {
		if p.now.After(end) {
			t.Fatalf("the group of a slow member is not closed: %v", p.orders)
		}
	}
	for id := range p.servers {
		if _, used := p.d.Plan().Of(id); !used {
			p.silent[id], p.still[id] = true, true
		}
	}
	p.run(3 * time.Second)
	if g, ok := p.open()["g1"]; !ok || g.Epoch != f.Epoch {
		t.Errorf("without a spare the group is %+v, open %v", g, ok)
	}
}

// Guards against a new keeper that forms again what stands.
func TestAdopts(t *testing.T) {
	t.Parallel()
	p := newPlay(t, 5)
	p.run(3 * time.Second)
	before := p.d.Plan()
	p.orders = nil
	plan := before.Clone()
	plan.Inherited = plan.Epoch
	p.d = decide(engine(), plan)
	p.run(5 * time.Second)
	if len(p.orders) > 0 {
		t.Errorf("the new keeper gave orders: %v", p.orders)
	}
}

// Guards against a server that is told to load weights as a spare in the moment in which a group is formed of it.
func TestNewGroupOfColdServers(t *testing.T) {
	t.Parallel()
	p := newPlay(t, 2)
	p.run(3 * time.Second)
	p.addCold("s2", "s3", "s4")
	p.run(3 * time.Second)
	if len(p.open()) != 2 {
		t.Errorf("two groups are wanted of five servers: %v", p.orders)
	}
}

// Guards against loads beyond the rate once callers are served.
func TestLoadRate(t *testing.T) {
	t.Parallel()
	p := newPlay(t, 40)
	for id := range p.servers {
		p.change(id, func(i *server.Info) { i.Staged = nil })
	}
	p.d.Traffic()
	p.run(5 * time.Second)
	loads := 0
	for _, o := range p.orders {
		var kind string
		if _, err := fmt.Sscan(o, &kind); err != nil {
			t.Fatal(err)
		}
		if kind == "join" || kind == "stage" {
			loads++
		}
	}
	if limit := 5 * engine().LoadsPerSecond; float64(loads) > limit {
		t.Errorf("%d loads in 5 s, limit %v", loads, limit)
	}
}

// Guards against a group that waits for a load while a server that holds its weights is free.
func TestServerWithWeightsReturns(t *testing.T) {
	t.Parallel()
	p := newPlay(t, 3)
	p.slow = true
	p.run(3 * time.Second)
	p.d.Traffic()
	f := p.open()["g1"]
	for id := range p.servers {
		if !f.Has(id) {
			delete(p.servers, id)
		}
	}
	p.lose(f.Members[1])
	p.run(4 * time.Second)
	if len(p.open()) > 0 {
		t.Fatalf("the group opened although one of its members loads weights: %v", p.orders)
	}
	p.add("back")
	p.run(1500 * time.Millisecond)
	if g, ok := p.open()["g1"]; !ok || !g.Has("back") {
		t.Errorf("the group waits for the load: %v", p.orders)
	}
}

// Guards against a group that waits for a load while another domain has a whole group of free servers with its weights.
func TestMovesToDomainWithWeights(t *testing.T) {
	t.Parallel()
	p := newPlay(t, 2)
	p.slow = true
	e := engine()
	e.Models[0].Share = 0.65 // One group of two servers, and of four.
	p.d.Configure(e)
	p.run(3 * time.Second)
	p.d.Traffic()
	f, ok := p.open()["g1"]
	if !ok {
		t.Fatalf("no group is open: %v", p.orders)
	}
	p.lose(f.Members[1])
	p.run(4 * time.Second)
	for _, id := range []string{"far-0", "far-1"} {
		p.add(id)
		p.change(id, func(i *server.Info) { i.Domain = "far" })
	}
	p.run(1500 * time.Millisecond)
	if g, ok := p.open()["g1"]; !ok || g.Domain != "far" {
		t.Errorf("the group waits for the load: %+v, %v", p.d.Plan().Current, p.orders)
	}
}

// Guards against groups that are formed anew because the keeper's node had no time for the answers to its probes: servers
// of several domains seemed to be silent. One that stays silent is lost all the same, and so are two domains.
func TestKeeperWithoutTime(t *testing.T) {
	t.Parallel()
	for name, tt := range map[string]struct {
		blind time.Duration
		stay  bool
	}{"for three probes": {150 * time.Millisecond, true}, "for good": {time.Hour, false}} {
		p := newPlay(t, 2)
		for i := range 6 {
			id := fmt.Sprint("t", i)
			p.add(id)
			s := p.servers[id]
			s.Domain = "e"
			p.servers[id] = s
		}
		p.run(3 * time.Second)
		before := p.open()
		blind := make([]string, 0, 4)
		domains := make(map[string]bool)
		for _, f := range before {
			if !domains[f.Domain] {
				domains[f.Domain] = true
				blind = append(blind, f.Members...)
				p.d.Suspect(f.Group, f.Epoch)
			}
		}
		if len(domains) != 2 {
			t.Fatalf("groups are open in %v, want two domains", domains)
		}
		for _, id := range blind {
			p.silent[id] = true
		}
		p.run(min(tt.blind, 2500*time.Millisecond))
		lost := p.d.Census().Lost
		for _, id := range blind {
			p.silent[id] = !tt.stay
		}
		p.run(2 * time.Second)
		same := 0
		for g, f := range p.open() {
			if before[g].Epoch == f.Epoch {
				same++
			}
		}
		if stay := same == len(before) && lost == 0; stay != tt.stay {
			t.Errorf("no answers (%s) from %v: %d lost, %d of %d groups as before", name, blind, lost, same, len(before))
		}
	}
}

// Guards against two groups that both wait for a load while one of them could serve with the members of both.
func TestWaitingGroupsShareMembers(t *testing.T) {
	t.Parallel()
	p := newPlay(t, 4)
	p.slow = true
	p.run(3 * time.Second)
	p.d.Traffic()
	open := p.open()
	if len(open) != 2 {
		t.Fatalf("%d groups are open of four servers, want two", len(open))
	}
	p.lose(open["g1"].Members[1], open["g2"].Members[0])
	p.run(3 * time.Second)
	if n := len(p.open()); n != 1 {
		t.Errorf("%d groups are open 3 s after each lost a member, want one: %v", n, p.orders)
	}
	p.run(12 * time.Second)
	if n := len(p.open()); n != 2 {
		t.Errorf("%d groups are open after the loads, want two: %v", n, p.orders)
	}
}

// Guards against loads that slow each other down because more run at the same time than the engine bears.
func TestLoadsAtOnce(t *testing.T) {
	t.Parallel()
	p := newPlay(t, 40)
	p.slow = true
	e := engine()
	e.LoadsPerSecond = 10
	p.d.Configure(e)
	for id := range p.servers {
		p.change(id, func(i *server.Info) { i.Staged = nil })
	}
	p.d.Traffic()
	for range 30 {
		p.run(time.Second)
		if n, most := len(p.loaded), e.LoadsAtOnce; n > most {
			t.Fatalf("%d loads at the same time, limit %d", n, most)
		}
	}
	if n := len(p.open()); n < 4 {
		t.Errorf("%d groups are open after 30 s, want four or more", n)
	}
}
