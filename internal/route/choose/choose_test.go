package choose_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"geraniumhollow/internal/core/sets"
	"geraniumhollow/internal/route/choose"
)

// Targets of docs/design.md, section 2, for a decision over 600 servers.
const (
	decisionTarget = 5 * time.Microsecond
	allocTarget    = 2
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func spec(name string) choose.Spec {
	return choose.Spec{
		Name: name, Model: "lm", Version: "v1", Adapters: sets.New("exam"),
		ColdRequests: 2, WarmRequests: 64, WarmTokens: 200_000,
	}
}

func report() choose.Report {
	return choose.Report{Instance: "i", Open: true, Running: 8, HeldTokens: 20_000, CreatedAt: start.Add(time.Second)}
}

func request() choose.Request {
	return choose.Request{Model: "lm", PromptTokens: 1000, AnswerTokens: 200}
}

func choosers(seed uint64) map[string]choose.Chooser {
	rnd := rand.New(rand.NewPCG(seed, 1))
	return map[string]choose.Chooser{
		"shortest":          choose.NewLowestEstimate(rnd, choose.DefaultWindow()),
		"round robin":       &choose.RoundRobin{},
		"least outstanding": &choose.LeastOutstanding{},
		"two choices":       choose.NewPowerOfTwoChoices(rnd),
	}
}

// Guards against choosers that select an ineligible server. Server b is ineligible for one reason and
// server a is eligible, so every chooser must select a.
func TestIneligibleServers(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name        string
		editSpec    func(*choose.Spec)
		editReport  func(*choose.Report)
		editRequest func(*choose.Request)
	}{
		{name: "tried", editRequest: func(r *choose.Request) { r.Tried = []int{1} }},
		{name: "route closed", editReport: func(r *choose.Report) { r.Open = false }},
		{name: "report too old", editReport: func(r *choose.Report) { r.CreatedAt = r.CreatedAt.Add(-time.Millisecond) }},
		{name: "other version", editSpec: func(s *choose.Spec) { s.Version = "v2" }, editRequest: func(r *choose.Request) { r.Version = "v1" }},
		{name: "adapter missing", editSpec: func(s *choose.Spec) { s.Adapters = nil }, editRequest: func(r *choose.Request) { r.Adapter = "exam" }},
		{name: "other model", editSpec: func(s *choose.Spec) { s.Model = "other" }},
		{name: "no free tokens", editReport: func(r *choose.Report) { r.HeldTokens = 199_000 }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			for name, c := range choosers(1) {
				tab := choose.NewTable(choose.DefaultConfig(), start)
				s, rep, req := spec("b"), report(), request()
				apply(tt.editSpec, &s)
				apply(tt.editReport, &rep)
				apply(tt.editRequest, &req)
				tab.ApplyReport(tab.Put(spec("a")), report())
				tab.ApplyReport(tab.Put(s), rep)
				for range 20 {
					if id, ok := c.Choose(tab, start.Add(4*time.Second), req); !ok || id != 0 {
						t.Fatalf("%s: got %d, %v; want server 0", name, id, ok)
					}
				}
			}
		})
	}
}

func apply[T any](f func(*T), v *T) {
	if f != nil {
		f(v)
	}
}

// Guards against an estimate that ignores one of its terms. Server b differs from a in one property
// and must have the higher estimate.
func TestEstimateTerms(t *testing.T) {
	t.Parallel()
	now := start.Add(1500 * time.Millisecond)
	tests := []struct {
		name        string
		editSpec    func(*choose.Spec)
		editReport  func(*choose.Report)
		editRequest func(*choose.Request)
		after       func(*choose.Table, int)
	}{
		{name: "queue", editReport: func(r *choose.Report) { r.Waiting = 20 }},
		{name: "distance", editSpec: func(s *choose.Spec) { s.OneWayDelay = 20 * time.Millisecond }},
		{name: "cold", editReport: func(r *choose.Report) { r.Cold, r.Running = true, 0 }},
		{name: "batch", editReport: func(r *choose.Report) { r.Running = 40 }},
		{name: "all slots in use", editReport: func(r *choose.Report) { r.Running = 70 }},
		{name: "no cache hit", editRequest: func(r *choose.Request) { r.Hits = []choose.Hit{{Server: 0, Tokens: 800}} }},
		{name: "requests sent by this node", after: func(tab *choose.Table, id int) {
			for range 10 {
				tab.RecordSend(id, start.Add(1400*time.Millisecond), request())
			}
		}},
		{name: "slow first tokens", after: func(tab *choose.Table, id int) {
			for range 10 {
				tab.RecordEnd(id, tab.RecordSend(id, start, request()), now, 5*time.Second)
			}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			tab := choose.NewTable(choose.DefaultConfig(), start)
			s, rep, req := spec("b"), report(), request()
			apply(tt.editSpec, &s)
			apply(tt.editReport, &rep)
			apply(tt.editRequest, &req)
			a, b := tab.Put(spec("a")), tab.Put(s)
			tab.ApplyReport(a, report())
			tab.ApplyReport(b, rep)
			if tt.after != nil {
				tt.after(tab, b)
			}
			estimateA, _ := tab.Estimate(a, now, req)
			estimateB, ok := tab.Estimate(b, now, req)
			if !ok || estimateB <= estimateA {
				t.Errorf("estimates %v and %v, %v; want the second to be higher", estimateA, estimateB, ok)
			}
		})
	}
}

// Guards against counting a request of this node twice, in the load report and as a send, or not at
// all. A report includes the requests sent before it was created, however late it arrives.
func TestOwnSendsAndReports(t *testing.T) {
	t.Parallel()
	tab := choose.NewTable(choose.DefaultConfig(), start)
	id := tab.Put(spec("a"))
	observe := func(made time.Duration, running int) {
		r := report()
		r.CreatedAt, r.Running, r.HeldTokens = start.Add(made), running, running*1200
		tab.ApplyReport(id, r)
	}
	fits := func(tokens int) bool {
		_, ok := tab.Estimate(id, start.Add(2*time.Second), choose.Request{Model: "lm", PromptTokens: tokens})
		return ok
	}
	// A report may be created at the same time as the table.
	observe(0, 0)
	observe(time.Second, 0)
	sent := tab.RecordSend(id, start.Add(1200*time.Millisecond), request())
	if fits(199_000) {
		t.Error("request sent by this node is not counted")
	}
	observe(1300*time.Millisecond, 1)
	if fits(198_801) || !fits(198_800) {
		t.Error("request included in the report is not counted exactly once")
	}
	tab.RecordEnd(id, sent, start.Add(1500*time.Millisecond), 0)
	if !fits(200_000) {
		t.Error("end of a request after the report is not counted")
	}
	observe(1400*time.Millisecond, 1)
	if !fits(200_000) {
		t.Error("late report counts a request that has ended")
	}
	observe(1600*time.Millisecond, 0)
	if !fits(200_000) {
		t.Error("end of a request before the report is counted again")
	}
}

// Guards against low-priority requests that take the last slots of a server from higher priorities.
func TestPriorityNearFull(t *testing.T) {
	t.Parallel()
	tab := choose.NewTable(choose.DefaultConfig(), start)
	near, far := spec("near"), spec("far")
	far.OneWayDelay = 100 * time.Millisecond
	full := report()
	full.Running = 59
	n := tab.Put(near)
	tab.ApplyReport(n, full)
	f := tab.Put(far)
	tab.ApplyReport(f, report())
	c := choosers(1)["shortest"]
	for priority, want := range map[int]int{0: f, 3: n} {
		r := request()
		r.Priority = priority
		if got, _ := c.Choose(tab, start.Add(time.Second), r); got != want {
			t.Errorf("priority %d: got server %d, want %d", priority, got, want)
		}
	}
}

// Guards against nodes that all choose the same server because they have the same load reports.
func TestNodesSpread(t *testing.T) {
	t.Parallel()
	counts := make(map[int]int)
	for node := range uint64(60) {
		tab := fleet(20)
		id, _ := choosers(node)["shortest"].Choose(tab, start.Add(time.Second), request())
		counts[id]++
	}
	for id, n := range counts {
		if n > 15 {
			t.Errorf("server %d was chosen by %d of 60 nodes", id, n)
		}
	}
}

func fleet(n int) *choose.Table {
	tab := choose.NewTable(choose.DefaultConfig(), start)
	for i := range n {
		s, r := spec(fmt.Sprintf("s%d", i)), report()
		s.OneWayDelay = time.Duration(i%3) * 500 * time.Microsecond
		r.Running += i % 7
		tab.ApplyReport(tab.Put(s), r)
	}
	return tab
}

// Guards against decisions that exceed the allocation target at 600 servers. BenchmarkChoose checks the
// time target, because the race detector would distort it.
func TestAllocations(t *testing.T) {
	tab, req := fleet(600), request()
	req.Hits = []choose.Hit{{Server: 5, Tokens: 500}, {Server: 80, Tokens: 300}}
	for name, c := range choosers(1) {
		got := testing.AllocsPerRun(100, func() { c.Choose(tab, start.Add(time.Second), req) })
		if got > allocTarget {
			t.Errorf("%s: %v allocations per decision, want at most %d", name, got, allocTarget)
		}
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{65, 600} {
		for name, c := range choosers(1) {
			b.Run(fmt.Sprintf("%s/%d", name, n), func(b *testing.B) {
				tab, req := fleet(n), request()
				req.Hits = []choose.Hit{{Server: 5, Tokens: 500}, {Server: 60, Tokens: 300}}
				b.ReportAllocs()
				for b.Loop() {
					c.Choose(tab, start.Add(time.Second), req)
				}
				if b.N > 1000 && b.Elapsed()/time.Duration(b.N) > decisionTarget {
					b.Errorf("%v per decision, want less than %v", b.Elapsed()/time.Duration(b.N), decisionTarget)
				}
			})
		}
	}
}

// Guards against nodes that all send to a server that has just started. Its load is unknown, and the learned
// slowdown of the other servers makes their estimates higher.
func TestNewServer(t *testing.T) {
	t.Parallel()
	const nodes, servers, perSecond = 6, 6, 60
	cfg := choose.DefaultConfig()
	cfg.PrefillPerToken, cfg.MaxReportAge, cfg.FirstTokenLearningRate, cfg.PeerSends = 18*time.Microsecond, time.Hour, 0.03, nodes-1
	now := time.Unix(1000, 0)
	tables, nodeChoosers := make([]*choose.Table, nodes), make([]choose.Chooser, nodes)
	for i := range tables {
		tables[i] = choose.NewTable(cfg, now)
		nodeChoosers[i] = choose.NewLowestEstimate(rand.New(rand.NewPCG(uint64(i), 1)), choose.DefaultWindow())
	}
	addServer := func(s int) {
		name := fmt.Sprint("s", s)
		for _, tab := range tables {
			id := tab.Put(choose.Spec{Name: name, Model: "m", WarmRequests: 26, SlotTime: 2 * time.Second})
			tab.ApplyReport(id, choose.Report{Instance: name, Open: true, CreatedAt: now})
		}
	}
	for s := range servers - 1 {
		addServer(s)
	}
	req := choose.Request{Model: "m", PromptTokens: 1600, AnswerTokens: 170}
	running := make(map[int]int)
	type end struct {
		node, id int
		sent     uint64
		at       time.Time
		reported bool
		done     bool
	}
	ends := make([]end, 0, 12*perSecond)
	newServerRequests := 0
	const before, after = 10 * perSecond, perSecond / 5
	for i := range before + after {
		now = now.Add(time.Second / perSecond)
		if i == before {
			addServer(servers - 1)
		}
		// The first token arrives after 180 ms with a load report, the last one after 1 s.
		for k := range ends {
			e := &ends[k]
			if !e.reported && now.Sub(e.at) >= 180*time.Millisecond {
				e.reported = true
				tables[e.node].ApplyReport(e.id, choose.Report{
					Instance: tables[e.node].Name(e.id), Open: true, Running: running[e.id], CreatedAt: now,
				})
			}
			if !e.done && now.Sub(e.at) >= time.Second {
				e.done = true
				running[e.id]--
				tables[e.node].RecordEnd(e.id, e.sent, now, 180*time.Millisecond)
			}
		}
		n := i % nodes
		id, ok := nodeChoosers[n].Choose(tables[n], now, req)
		if !ok {
			t.Fatal("no server was chosen")
		}
		if tables[n].Name(id) == fmt.Sprint("s", servers-1) {
			newServerRequests++
		}
		running[id]++
		ends = append(ends, end{node: n, id: id, sent: tables[n].RecordSend(id, now, req), at: now})
	}
	// The new server's share in 0.2 s is 2 requests. Prefill takes 29 ms, so 6 requests would keep it busy for nearly
	// the whole time.
	if newServerRequests == 0 || newServerRequests > 6 {
		t.Errorf("%d of %d requests went to the new server", newServerRequests, after)
	}
}

// Guards against callers that are refused because a server is nearly full. An estimate that included
// reservedCostSeconds (1 s) exceeded every objective, although the first token arrived after 0.25 s.
func TestEstimateOfNearlyFullServer(t *testing.T) {
	t.Parallel()
	tab := choose.NewTable(choose.DefaultConfig(), start)
	id := tab.Put(choose.Spec{Name: "s", Model: "lm", WarmRequests: 26, PrefillPerToken: 18 * time.Microsecond, SlotTime: 2 * time.Second})
	req := choose.Request{Model: "lm", PromptTokens: 1000, AnswerTokens: 170}
	for running := range 26 {
		tab.ApplyReport(id, choose.Report{Instance: "s", Open: true, Running: running, CreatedAt: start})
		if got, ok := tab.Estimate(id, start, req); !ok || got > 100*time.Millisecond {
			t.Errorf("%d of 26 slots in use: estimate for 1,000 prompt tokens is %v, %v; want at most 100 ms", running, got, ok)
		}
	}
}

// learningTable returns a table with one server that learns the first-token delay.
func learningTable() (*choose.Table, int) {
	cfg := choose.DefaultConfig()
	cfg.FirstTokenLearningRate, cfg.MaxReportAge = 0.03, time.Hour
	tab := choose.NewTable(cfg, start)
	id := tab.Put(spec("a"))
	tab.ApplyReport(id, report())
	return tab, id
}

// completeRequest records a request that gets its first token and ends after the given time, and returns the time
// of its end.
func completeRequest(tab *choose.Table, id int, now time.Time, first time.Duration) time.Time {
	sent := tab.RecordSend(id, now, request())
	now = now.Add(first)
	tab.RecordEnd(id, sent, now, first)
	return now
}

// Guards against a high estimate that never falls. All requests are refused, so no response shows that the server is
// free again. In one trial half of the requests were refused for 15 s although the servers were idle.
func TestEstimateOfIdleServer(t *testing.T) {
	t.Parallel()
	const (
		limit             = 400 * time.Millisecond
		refusalsPerSecond = 10
	)
	idleTable, _ := learningTable()
	baseline, _ := idleTable.Estimate(0, start.Add(time.Second), request())
	tests := map[string]func(tab *choose.Table, id int) time.Time{
		"full at the last report": func(tab *choose.Table, id int) time.Time {
			r := report()
			r.Running, r.Waiting = 64, 20
			tab.ApplyReport(id, r)
			return r.CreatedAt
		},
		"late first tokens": func(tab *choose.Table, id int) time.Time {
			now := start.Add(time.Second)
			for range 400 {
				now = completeRequest(tab, id, now, 2*time.Second)
			}
			return now
		},
	}
	for name, setUp := range tests {
		tab, id := learningTable()
		now := setUp(tab, id)
		if est, ok := tab.Estimate(id, now, request()); !ok || est < limit {
			t.Errorf("%s: estimate before the refusals is %v, %v; want the limit or more", name, est, ok)
		}
		for range 6 {
			now = now.Add(choose.SlowdownDecayInterval)
			tab.DecaySlowdowns(now)
			for range refusalsPerSecond {
				tab.RecordRefusal("lm")
			}
		}
		if est, ok := tab.Estimate(id, now, request()); !ok || est > baseline+limit/4 {
			t.Errorf("%s: estimate is %v after 6 s of refusals, normally %v", name, est, baseline)
		}
	}
}

// Guards against a few responses of stalled servers, seconds late, that raise the estimate until requests are refused
// that other servers would answer in time.
func TestFewLateAnswers(t *testing.T) {
	t.Parallel()
	tab, id := learningTable()
	now := start.Add(time.Second)
	baseline, _ := tab.Estimate(id, now, request())
	for i := range 200 {
		first := baseline
		if i%10 == 0 {
			first = 5 * time.Second
		}
		now = completeRequest(tab, id, now, first)
	}
	tab.ApplyReport(id, func() choose.Report { r := report(); r.CreatedAt = now; return r }())
	if est, _ := tab.Estimate(id, now, request()); est > baseline+100*time.Millisecond {
		t.Errorf("the estimate rose from %v to %v although only one response in ten was late", baseline, est)
	}
}
