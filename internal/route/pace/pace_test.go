package pace_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"geraniumhollow/internal/route/pace"
	"geraniumhollow/internal/route/quota"
	"pgregory.net/rapid"
)

// What the platform allows: a server that names a rate gets at most 1.5 times what that allows in 4 s, and 5 requests, from
// 3 s after it first named one.
const (
	window     = 4 * time.Second
	settleTime = 3 * time.Second
)

func allowed(perSecond float64) int { return int(1.5*perSecond*window.Seconds()) + 5 }

// step is the resolution of a simulated fleet; noticeSteps is how long a notice is on its way from a node to all others.
const (
	step        = 10 * time.Millisecond
	noticeSteps = 30
)

// fleet simulates nodes that send to one server.
type fleet struct {
	rnd      *rand.Rand
	now      time.Time
	server   pace.Server
	names    []string
	books    []*pace.Book
	arrivals []time.Time
	// named is the rate that the server names in its answers, negative if none.
	named float64
	// notices are on their way to all nodes, with the step of their arrival.
	notices map[int][]pace.Notice
	steps   int
}

func newFleet(nodes int, seed uint64) *fleet {
	f := &fleet{
		rnd: rand.New(rand.NewPCG(seed, 1)), now: time.UnixMilli(1_700_000_000_000), server: pace.Server{ID: "i-1", StartedAt: 1},
		named: -1, notices: make(map[int][]pace.Notice),
	}
	for i := range nodes {
		f.names = append(f.names, fmt.Sprintf("10.0.%d.%d:7220", i/250, i%250))
	}
	for i := range nodes {
		f.books = append(f.books, nil)
		f.restart(i)
	}
	return f
}

// restart replaces the book of a node by an empty one.
func (f *fleet) restart(i int) {
	split := quota.New(f.names[i], f.names, 0)
	f.books[i] = pace.NewBook(func(server string) pace.Position {
		rank, nodes := split.Position(server)
		return pace.Position{Rank: rank, Nodes: nodes}
	})
}

// run lets time pass while each node has perSecond requests that could go to the server. A request is sent if the node may.
func (f *fleet) run(d, perNode float64, busy func(node int) bool) {
	for range int(d / step.Seconds()) {
		f.now, f.steps = f.now.Add(step), f.steps+1
		for i, b := range f.books {
			b.Learn(f.now, "peer", f.notices[f.steps])
			if !busy(i) {
				continue
			}
			for requests := perNode*step.Seconds() + f.rnd.Float64(); requests >= 1; requests-- {
				f.request(b)
			}
		}
		delete(f.notices, f.steps)
		for _, b := range f.books {
			for _, p := range b.Due(f.now) {
				f.notices[f.steps+noticeSteps] = append(f.notices[f.steps+noticeSteps], p.Notice)
			}
		}
	}
}

// request sends a request through a node if that may send one.
func (f *fleet) request(b *pace.Book) {
	if at, ok := b.Room(f.now, f.server); !ok || at.After(f.now) {
		return
	}
	b.Sent(f.now, f.server)
	f.arrivals = append(f.arrivals, f.now)
	b.Observe(f.now, f.server, f.named, f.named >= 0)
}

// most returns the most arrivals in a window that begins at from or later.
func (f *fleet) most(from time.Time) int {
	most := 0
	for i, t := range f.arrivals {
		if t.Before(from) {
			continue
		}
		n := 1
		for j := i - 1; j >= 0 && !f.arrivals[j].Before(from) && t.Sub(f.arrivals[j]) < window; j-- {
			n++
		}
		most = max(most, n)
	}
	return most
}

// limited returns how many nodes know that the server names a rate.
func (f *fleet) limited() int {
	n := 0
	for _, b := range f.books {
		n += b.Limited(f.now)
	}
	return n
}

func all(int) bool { return true }

// Guards against more requests to a server than it takes from all nodes together, on small and on large fleets, while nodes
// restart and while the rate changes, and against a rate that is hardly used.
func TestRateOfAllNodes(t *testing.T) {
	t.Parallel()
	for _, nodes := range []int{1, 2, 6, 73, 295} {
		for _, perSecond := range []float64{0, 0.2, 1, 5.2, 30, 200} {
			t.Run(fmt.Sprintf("%d nodes, %v a second", nodes, perSecond), func(t *testing.T) {
				t.Parallel()
				f := newFleet(nodes, uint64(nodes))
				demand := max(3, 3*perSecond/float64(nodes))
				f.run(5, demand, all)
				f.named = perSecond
				first := f.now
				f.run(45, demand, all)
				sent := len(slices.DeleteFunc(slices.Clone(f.arrivals), func(at time.Time) bool { return at.Before(first.Add(settleTime)) }))
				if got := f.most(first.Add(settleTime)); got > allowed(perSecond) {
					t.Errorf("%d requests in %v, want at most %d", got, window, allowed(perSecond))
				}
				if used := float64(sent) / 42; used < 0.75*perSecond {
					t.Errorf("%.1f requests a second, want most of %v", used, perSecond)
				}
				for i := range min(nodes, 3) {
					f.restart(i)
				}
				f.named = perSecond / 2
				lower := f.now
				f.run(20, demand, all)
				if got := f.most(lower.Add(settleTime)); got > allowed(perSecond/2) {
					t.Errorf("%d requests in %v at the lower rate, want at most %d", got, window, allowed(perSecond/2))
				}
			})
		}
	}
}

// Guards against nodes without requests for a server that do not learn of a rate, or of its end.
func TestIdleNodesLearnRates(t *testing.T) {
	t.Parallel()
	for _, perSecond := range []float64{0, 0.1, 5} {
		f := newFleet(73, 7)
		busy := func(i int) bool { return i < 60 }
		f.named = perSecond
		f.run(1.5, 5, busy)
		if got := f.limited(); got != 73 {
			t.Errorf("%v a second: %d nodes know of the rate 1.5 s after it was named, want 73", perSecond, got)
		}
		f.run(20, 5, busy)
		if got := f.limited(); got != 73 {
			t.Errorf("%v a second: %d nodes know of the rate 20 s later, want 73", perSecond, got)
		}
		f.named = -1
		end := 1.0
		if perSecond < 1 {
			end = 16 // A turn and the time between two trials.
		}
		f.run(end, 5, busy)
		if got := f.limited(); got != 0 {
			t.Errorf("%v a second: %d nodes still know of the rate %v s after its end, want none", perSecond, got, end)
		}
	}
}

// Guards against a server that gets no more requests because the nodes that might have learnt of the end of its rate have none,
// and against requests of all nodes at once when they forget the rate.
func TestForgottenRate(t *testing.T) {
	t.Parallel()
	f := newFleet(73, 3)
	f.named = 5
	f.run(3, 1, all)
	f.run(40, 1, func(int) bool { return false })
	if got := f.limited(); got != 0 {
		t.Errorf("%d nodes know of a rate that was not confirmed for 40 s", got)
	}
	again := f.now
	f.run(10, 1, all)
	if got := f.most(again.Add(settleTime)); got > allowed(5) {
		t.Errorf("%d requests in %v after the rate was forgotten, want at most %d", got, window, allowed(5))
	}
}

// Guards against nodes that end up with different rates because notices arrive in different orders, and against notices that
// are passed on without end.
func TestNoticesConverge(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		const nodes = 4
		now := time.UnixMilli(1_700_000_000_000)
		books := make([]*pace.Book, nodes)
		for i := range books {
			books[i] = pace.NewBook(func(string) pace.Position { return pace.Position{Rank: i, Nodes: nodes} })
		}
		s := pace.Server{ID: "i-1"}
		inbox := make([][]pace.Notice, nodes)
		exchange := func(i int) {
			books[i].Learn(now, "", inbox[i])
			inbox[i] = nil
			for _, p := range books[i].Due(now) {
				for j := range inbox {
					if j != i {
						inbox[j] = append(inbox[j], p.Notice)
					}
				}
			}
		}
		for range rapid.IntRange(1, 20).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, nodes-1).Draw(t, "node")
			if rapid.Bool().Draw(t, "answer") {
				books[i].Observe(now, s, float64(rapid.IntRange(0, 2).Draw(t, "rate")), rapid.Bool().Draw(t, "named"))
			} else {
				exchange(i)
			}
		}
		for range 2 * nodes {
			for i := range books {
				exchange(i)
			}
		}
		for i := range books {
			if len(inbox[i]) > 0 {
				t.Fatalf("notices are still passed on: %+v", inbox[i])
			}
			if got, want := books[i].All(now), books[0].All(now); len(got) != len(want) || len(got) > 0 && (got[0].Ended != want[0].Ended || !got[0].Ended && got[0].Rate != want[0].Rate) {
				t.Fatalf("node %d has %+v, node 0 has %+v", i, got, want)
			}
		}
	})
}

// Guards against notices that are changed on their way, and against ones that no node sends.
func TestNoticeFrames(t *testing.T) {
	t.Parallel()
	want := []pace.Notice{
		{Server: pace.Server{ID: "i-1", StartedAt: 1_700_000_000_000}, Rate: 5.25, Version: 3, Beat: 4, Age: 1500 * time.Millisecond},
		{Server: pace.Server{ID: "i-2"}, Ended: true, Version: 1, Beat: 1},
	}
	if got := pace.FromFrame(pace.ToFrame(want)); !slices.Equal(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
	bad := pace.ToFrame([]pace.Notice{{Rate: 5, Version: 1}, {Server: want[0].Server, Rate: -1, Version: 1}, {Server: want[0].Server, Rate: math.Inf(1), Version: 1}})
	if got := pace.FromFrame(bad); len(got) > 0 {
		t.Errorf("got %+v from notices that no node sends", got)
	}
}
