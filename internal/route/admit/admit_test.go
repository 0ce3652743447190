package admit_test

import (
	"math"
	"slices"
	"testing"
	"time"

	"geraniumhollow/internal/core/fault"
	"geraniumhollow/internal/route/admit"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// node is a controller with one model and a simulated clock.
type node struct {
	*admit.Controller
	now  time.Time
	next uint64
}

func newNode(requests float64, tokens, queue int, accounts ...admit.Account) *node {
	n := &node{Controller: admit.New(admit.Config{MaxQueued: queue}), now: start}
	n.SetAccounts(start, accounts)
	n.Pool("lm").SetLimits(requests, tokens)
	return n
}

func (n *node) enter(account string, tokens, priority int, timeout time.Duration) (uint64, []admit.Decision) {
	n.next++
	return n.next, n.Admit(n.now, admit.Request{
		ID: n.next, Account: account, Model: "lm", Tokens: tokens, Priority: priority, Deadline: n.now.Add(timeout),
	})
}

// leave advances the clock by a second, ends the requests, and returns those admitted in their place.
func (n *node) leave(ids ...uint64) []uint64 {
	n.now = n.now.Add(time.Second)
	var admitted []uint64
	for _, id := range ids {
		for _, d := range n.Finish(n.now, id) {
			if d.Verdict == admit.Admitted {
				admitted = append(admitted, d.ID)
			}
		}
	}
	return admitted
}

// verdictLetters returns the first letter of each decision: admitted, queued or refused.
func verdictLetters(all [][]admit.Decision) string {
	s := ""
	for _, ds := range all {
		for _, d := range ds {
			s += " aqr"[d.Verdict : d.Verdict+1]
		}
		s += ","
	}
	return s
}

// Guards against requests that are admitted over a limit, and against refusals and evictions in the wrong
// order.
func TestEnter(t *testing.T) {
	t.Parallel()
	type request struct {
		account  string
		tokens   int
		priority int
	}
	tests := []struct {
		name     string
		requests float64
		tokens   int
		queue    int
		accounts []admit.Account
		give     []request
		want     string
	}{
		{name: "no bounds", give: []request{{"a", 10, 0}, {"a", 10, 0}}, want: "a,a,"},
		{name: "requests", requests: 1, queue: 9, give: []request{{"a", 10, 0}, {"a", 10, 0}}, want: "a,q,"},
		{name: "tokens", tokens: 100, queue: 9, give: []request{{"a", 60, 0}, {"a", 60, 0}}, want: "a,q,"},
		{name: "larger than the node's part, alone", tokens: 100, queue: 9, give: []request{{"a", 500, 0}}, want: "a,"},
		{name: "small after a waiting one", tokens: 100, queue: 9, give: []request{{"a", 60, 0}, {"a", 60, 0}, {"a", 5, 0}}, want: "a,q,q,"},
		{name: "queue full", requests: 1, queue: 1, give: []request{{"a", 1, 0}, {"a", 1, 0}, {"a", 1, 0}}, want: "a,q,r,"},
		{name: "queue full, higher priority", requests: 1, queue: 1, give: []request{{"a", 1, 0}, {"a", 1, 0}, {"a", 1, 1}}, want: "a,q,qr,"},
		{
			name: "queue full of another account", requests: 1, queue: 2,
			give: []request{{"a", 1, 0}, {"a", 1, 0}, {"a", 1, 0}, {"b", 1, 0}}, want: "a,q,q,qr,",
		},
		{
			name: "requests a second", accounts: []admit.Account{{Name: "a", Requests: 2}},
			give: []request{{"a", 1, 0}, {"a", 1, 0}, {"a", 1, 0}, {"b", 1, 0}}, want: "a,a,r,a,",
		},
		{
			name: "tokens a second", accounts: []admit.Account{{Name: "a", Tokens: 100}},
			give: []request{{"a", 70, 0}, {"a", 70, 0}, {"a", 30, 0}}, want: "a,r,a,",
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			n := newNode(tt.requests, tt.tokens, tt.queue, tt.accounts...)
			all := make([][]admit.Decision, 0, len(tt.give))
			for _, a := range tt.give {
				_, ds := n.enter(a.account, a.tokens, a.priority, time.Minute)
				all = append(all, ds)
			}
			if got := verdictLetters(all); got != tt.want {
				t.Errorf("got %q, want %q", got, tt.want)
			}
		})
	}
}

// Guards against queueing requests whose deadline cannot be met, and against a retry_after that does not follow
// the drain rate.
func TestEarlyRefusal(t *testing.T) {
	t.Parallel()
	n := newNode(10, 0, 1000)
	for range 50 {
		ids := make([]uint64, 0, 10)
		for range 10 {
			id, _ := n.enter("a", 100, 0, time.Second)
			ids = append(ids, id)
		}
		n.leave(ids...)
	}
	// The pool drains 10 requests per second, and its 10 slots are busy for the next second.
	refused, waiting := time.Duration(0), 0
	for range 40 {
		_, ds := n.enter("a", 100, 0, 2*time.Second)
		switch ds[0].Verdict {
		case admit.Queued:
			waiting++
		case admit.Refused:
			refused = ds[0].RetryAfter
			if ds[0].Code != fault.Overloaded {
				t.Errorf("refused with %s", ds[0].Code)
			}
		case admit.Admitted:
		}
	}
	if waiting < 15 || waiting > 25 {
		t.Errorf("%d requests wait, want about 20", waiting)
	}
	if refused < 50*time.Millisecond || refused > 500*time.Millisecond {
		t.Errorf("retry after %v, want about 100ms", refused)
	}
}

// Guards against rate limits that are not divided by the number of nodes.
func TestRatesAreSplitOverNodes(t *testing.T) {
	t.Parallel()
	n := newNode(0, 0, 0, admit.Account{Name: "a", Requests: 60})
	n.SetNodes(n.now, 6)
	admitted := 0
	for range 10_000 {
		n.now = n.now.Add(time.Millisecond)
		if _, ds := n.enter("a", 1, 0, time.Second); ds[0].Verdict == admit.Admitted {
			admitted++
		}
	}
	if admitted < 95 || admitted > 115 {
		t.Errorf("admitted %d requests in 10 s, want 100 and a burst of 10", admitted)
	}
}

// Guards against admitting a request that fits into the servers' combined memory but on none of them, and
// against a large request that starves behind small ones.
func TestTokensPerServer(t *testing.T) {
	t.Parallel()
	n := newNode(0, 0, 1000)
	for _, s := range []string{"s1", "s2"} {
		n.Pool("lm").ApplyReport(s, 0, 100, start)
	}
	small := make([]uint64, 0, 104)
	for range 4 {
		id, _ := n.enter("a", 40, 0, time.Hour)
		small = append(small, id)
	}
	large, ds := n.enter("b", 90, 0, time.Hour)
	if ds[0].Verdict != admit.Queued {
		t.Fatal("a request that fits on no server was admitted")
	}
	for range 100 {
		id, _ := n.enter("a", 40, 0, time.Hour)
		small = append(small, id)
	}
	// Only requests that overtake it count, not dispatches that admit nothing.
	for range 50 {
		n.Dispatch(n.now)
	}
	for i, id := range small {
		if slices.Contains(n.leave(id), large) {
			if i < 10 || i > 40 {
				t.Errorf("admitted after %d others, want about 20", i)
			}
			return
		}
	}
	t.Error("the large request was never admitted")
}

// Guards against an account that floods the node and delays another one that stays within its share: a request
// of the latter may wait behind at most one request of each other account. Also guards against accounts with
// full queues that are not served in proportion to their shares, and against idle capacity while requests wait.
// The other accounts always have requests waiting.
func TestFairShares(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		const largest = 1000
		floods := rapid.IntRange(1, 4).Draw(t, "floods")
		capacity := rapid.IntRange(1, 8).Draw(t, "capacity")
		names := []string{"a", "b", "c", "d"}[:floods]
		share := map[string]int{"quiet": rapid.IntRange(1, 8).Draw(t, "quiet share")}
		accounts := make([]admit.Account, 0, 1+floods)
		accounts = append(accounts, admit.Account{Name: "quiet", Share: share["quiet"]})
		others := 0
		for _, name := range names {
			share[name] = rapid.IntRange(1, 8).Draw(t, "share")
			accounts = append(accounts, admit.Account{Name: name, Share: share[name]})
			others += share[name]
		}
		n := newNode(float64(capacity), 0, 1000, accounts...)
		n.Pool("lm").SetLimits(float64(capacity), 0)
		account, tokens := map[uint64]string{}, map[uint64]int{}
		served, admittedSince := map[string]float64{}, map[string]int{}
		var running []uint64
		// quiet is the waiting request of the quiet account, or 0. othersServed is the cost that the other accounts
		// have been served since its last admission.
		quiet, othersServed := uint64(0), math.Inf(1)
		record := func(ds []admit.Decision) {
			for _, d := range ds {
				if d.Verdict != admit.Admitted {
					continue
				}
				running = append(running, d.ID)
				name, c := account[d.ID], float64(tokens[d.ID])+50 // 50 is the fixed cost of a request
				served[name] += c
				if d.ID == quiet {
					quiet, othersServed = 0, 0
					continue
				}
				admittedSince[name]++
				othersServed += c
			}
		}
		enter := func(name string) {
			n.next++
			id := n.next
			account[id], tokens[id] = name, rapid.IntRange(1, largest).Draw(t, "tokens")
			if name == "quiet" {
				quiet = id
				clear(admittedSince)
			}
			record(n.Admit(n.now, admit.Request{ID: id, Account: name, Model: "lm", Tokens: tokens[id], Deadline: n.now.Add(time.Hour)}))
		}
		for range 3 * capacity {
			for _, name := range names {
				enter(name)
			}
		}
		clear(served)
		// The cost that the other accounts must have been served for the quiet account to be within its share.
		// It includes a margin of one largest request for each account on either side.
		need := float64(others) * (largest + 50) * (1/float64(share["quiet"]) + 2)
		for range 150 {
			if quiet == 0 && othersServed >= need {
				enter("quiet")
			}
			i := rapid.IntRange(0, len(running)-1).Draw(t, "ends")
			id := running[i]
			running = slices.Delete(running, i, i+1)
			n.now = n.now.Add(time.Second)
			if account[id] != "quiet" {
				enter(account[id])
			}
			record(n.Finish(n.now, id))
			for name, k := range admittedSince {
				if quiet != 0 && k > 1 {
					t.Fatalf("quiet request waits behind %d requests of %s", k, name)
				}
			}
			if len(running) < int(n.Pool("lm").Limit()) {
				t.Fatalf("%d of %d slots are used while requests wait", len(running), capacity)
			}
		}
		for _, x := range names {
			for _, y := range names {
				wx, wy := float64(share[x]), float64(share[y])
				if diff := served[x]/wx - served[y]/wy; diff > (largest+50)*(1/wx+1/wy) {
					t.Fatalf("%s is %.0f ahead of %s", x, diff, y)
				}
			}
		}
	})
}

// Guards against an account that gains more than 2 s of its share by being idle, or nothing at all. In the test,
// an idle account returns with a full queue while another account of the same share always has requests waiting.
func TestReturnAfterPause(t *testing.T) {
	t.Parallel()
	n := newNode(10, 0, 1000, admit.Account{Name: "busy"}, admit.Account{Name: "back"})
	var running []uint64
	for range 400 {
		if id, ds := n.enter("busy", 100, 0, time.Hour); ds[0].Verdict == admit.Admitted {
			running = append(running, id)
		}
	}
	for range 5 {
		running = n.leave(running...)
	}
	last := n.next
	for range 300 {
		n.enter("back", 100, 0, time.Hour)
	}
	got, total := 0, 0
	for range 10 {
		running = n.leave(running...)
		total += len(running)
		for _, id := range running {
			if id > last {
				got++
			}
		}
	}
	// The adaptive limit is between 10 and 12.5 requests, so 2 s of half of it are 10 to 12.5 requests, which
	// are served first. The rest is shared equally.
	if low, high := (total+9)/2, (total+14)/2; got < low || got > high {
		t.Errorf("%d of %d admissions, want %d to %d", got, total, low, high)
	}
}

// Guards against a limit that stays high while the backend servers are congested, or low afterwards.
func TestLimitFollowsHoldTimes(t *testing.T) {
	t.Parallel()
	l := admit.NewAdaptiveLimit(50, 125)
	now := start
	run := func(seconds int, hold time.Duration) float64 {
		for range seconds * 50 {
			now = now.Add(20 * time.Millisecond)
			l.RecordCompletion(now, hold, true)
		}
		return l.Value()
	}
	normal := run(20, time.Second)
	congested := run(20, 3*time.Second)
	again := run(20, time.Second)
	if normal < 100 || congested > 60 || again < 100 {
		t.Errorf("limits %.0f, %.0f, %.0f; want high, low, high", normal, congested, again)
	}
}
