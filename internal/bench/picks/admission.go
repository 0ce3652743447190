package picks

import (
	"container/heap"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"time"

	"geraniumhollow/internal/route/admit"
)

// Shape of the overload.
const (
	places       = 50 // requests that the servers of the node run at full speed
	meanHold     = time.Second
	patience     = 2 * time.Second // queue timeout
	queueBound   = 512
	largeShare   = 8
	usefulFactor = 3   // an answer is useful within patience and this many times its service time
	sharePart    = 0.7 // part of their shares that the accounts use which do not flood
)

// overload is a comparison of ways to admit, at one to three times the capacity. The other accounts use
// a part of their shares; all else comes from account 0.
type overload struct {
	Seed   uint64
	Length time.Duration
}

// admitMode is a way to admit.
type admitMode struct {
	name  string
	gate  bool // whether requests pass admission at all
	early bool // whether a request that would wait too long is refused at once
}

// call is one request.
type call struct {
	id      uint64
	account int
	tokens  int
	service time.Duration
	at      time.Duration
	started time.Duration
}

// admission is one run.
type admission struct {
	mode     admitMode
	clock    *clock
	ctl      *admit.Controller
	calls    map[uint64]*call
	station  *station
	length   time.Duration
	useful   int
	refused  int
	late     int
	waits    [allAccounts][]time.Duration // of requests that were admitted
	refusals [allAccounts]int
}

func (o overload) compare(w io.Writer) {
	_, _ = fmt.Fprintf(w, "seed %d, %d places, mean service %s, patience %s, %s\n\n"+
		"| admission | load | useful/s | late/s | refused/s | others' wait p50 | p95 | p99 | others refused | flood wait p95 |\n"+
		"| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n", o.Seed, places, meanHold, patience, o.Length)
	modes := []admitMode{{name: "none"}, {name: "fair queue only", gate: true}, {name: "with early refusal", gate: true, early: true}}
	for _, m := range modes {
		for _, times := range []float64{1, 2, 3} {
			a := o.run(m, times)
			seconds := (o.Length * 3 / 4).Seconds()
			var others []time.Duration
			refusals := 0
			for i := 1; i < allAccounts; i++ {
				others = append(others, a.waits[i]...)
				refusals += a.refusals[i]
			}
			flood := a.waits[0]
			slices.Sort(flood)
			slices.Sort(others)
			_, _ = fmt.Fprintf(w, "| %s | %.0f | %.1f | %.1f | %.1f | %d ms | %d ms | %d ms | %d of %d | %d ms |\n", m.name, times,
				float64(a.useful)/seconds, float64(a.late)/seconds, float64(a.refused)/seconds,
				quantile(others, 0.5).Milliseconds(), quantile(others, 0.95).Milliseconds(),
				quantile(others, 0.99).Milliseconds(), refusals, refusals+len(others),
				quantile(flood, 0.95).Milliseconds())
		}
	}
}

// accounts prints what each account got at three times the capacity, with early refusal.
func (o overload) accounts(w io.Writer) {
	a := o.run(admitMode{gate: true, early: true}, 3)
	seconds := (o.Length * 3 / 4).Seconds()
	_, _ = fmt.Fprint(w, "\n| account | share | sent/s | admitted/s | wait p50 | p95 | p99 |\n"+
		"| --- | --- | --- | --- | --- | --- | --- |\n")
	for i, waits := range a.waits {
		slices.Sort(waits)
		_, _ = fmt.Fprintf(w, "| %d | %d | %.1f | %.1f | %d ms | %d ms | %d ms |\n", i, share(i),
			float64(len(waits)+a.refusals[i])/seconds, float64(len(waits))/seconds, quantile(waits, 0.5).Milliseconds(),
			quantile(waits, 0.95).Milliseconds(), quantile(waits, 0.99).Milliseconds())
	}
}

// share returns the share of an account.
func share(account int) int {
	if account < largeAccounts {
		return largeShare
	}
	return 1
}

func (o overload) run(m admitMode, times float64) *admission {
	c := &clock{}
	a := &admission{
		mode: m, clock: c, calls: make(map[uint64]*call), length: o.Length,
		ctl: admit.New(admit.Config{MaxQueued: queueBound, NoEarlyRefusal: !m.early}),
	}
	a.station = &station{clock: c}
	accounts := make([]admit.Account, allAccounts)
	shares := 0
	for i := range accounts {
		accounts[i] = admit.Account{Name: fmt.Sprint(i), Share: share(i)}
		shares += accounts[i].Share
	}
	a.ctl.SetAccounts(c.Now(), accounts)
	a.ctl.Pool(modelName).SetLimits(places, 0)
	perSecond := places / meanHold.Seconds()
	flood := perSecond * times
	rnd := rand.New(rand.NewPCG(o.Seed, 5))
	next := uint64(0)
	for i := len(accounts) - 1; i >= 0; i-- {
		rate := perSecond * sharePart * float64(accounts[i].Share) / float64(shares)
		if i == 0 {
			rate = flood
		}
		flood -= rate
		for at := rnd.ExpFloat64() / rate; at < o.Length.Seconds(); at += rnd.ExpFloat64() / rate {
			next++
			k := &call{
				id: next, account: i, tokens: between(rnd, 200, 2000), at: time.Duration(at * float64(time.Second)),
				service: time.Duration((0.2 + 0.8*rnd.ExpFloat64()) * float64(meanHold)),
			}
			c.after(k.at, func() { a.enter(k) })
		}
	}
	c.run(o.Length)
	return a
}

// counts reports whether a call is after the warm-up, which is the first quarter.
func (a *admission) counts(k *call) bool { return k.at >= a.length/warmUp }

func (a *admission) enter(k *call) {
	a.calls[k.id] = k
	if !a.mode.gate {
		a.start(k)
		return
	}
	a.apply(a.ctl.Admit(a.clock.Now(), admit.Request{
		ID: k.id, Account: fmt.Sprint(k.account), Model: modelName, Tokens: k.tokens,
		Deadline: a.clock.Now().Add(patience),
	}))
	if a.mode.early {
		a.clock.after(patience, func() { a.expire(k) })
	}
}

// expire ends the wait of a call at its deadline.
func (a *admission) expire(k *call) {
	if _, ok := a.calls[k.id]; !ok || k.started > 0 {
		return
	}
	if d := a.ctl.Cancel(k.id); d.Verdict == admit.Refused {
		a.apply([]admit.Decision{d})
	}
}

func (a *admission) apply(decisions []admit.Decision) {
	for _, d := range decisions {
		k, ok := a.calls[d.ID]
		switch {
		case !ok:
		case d.Verdict == admit.Admitted:
			a.start(k)
		case d.Verdict == admit.Refused:
			delete(a.calls, d.ID)
			if a.counts(k) {
				a.refused++
				a.refusals[k.account]++
			}
		}
	}
}

func (a *admission) start(k *call) {
	k.started = a.clock.now
	if a.counts(k) {
		a.waits[k.account] = append(a.waits[k.account], k.started-k.at)
	}
	a.station.add(k.service, func() { a.end(k) })
}

func (a *admission) end(k *call) {
	delete(a.calls, k.id)
	if a.counts(k) {
		if a.clock.now-k.at <= patience+usefulFactor*k.service {
			a.useful++
		} else {
			a.late++
		}
	}
	if a.mode.gate {
		a.apply(a.ctl.Finish(a.clock.Now(), k.id))
	}
}

// station runs up to places requests at full speed; more share the same speed.
type station struct {
	clock   *clock
	virtual time.Duration // service that a request which was there from the start has got
	last    time.Duration
	running events
	seq     int
	turn    int
}

func (s *station) add(service time.Duration, done func()) {
	s.advance()
	s.seq++
	heap.Push(&s.running, event{s.virtual + service, s.seq, done})
	s.plan()
}

// advance brings the virtual time up to now.
func (s *station) advance() {
	passed := s.clock.now - s.last
	s.last = s.clock.now
	if n := len(s.running); n > places {
		passed = passed * places / time.Duration(n)
	}
	s.virtual += passed
}

// plan schedules the next end; a plan that another has followed does nothing.
func (s *station) plan() {
	if len(s.running) == 0 {
		return
	}
	s.turn++
	turn := s.turn
	left := max(0, s.running[0].at-s.virtual)
	if n := len(s.running); n > places {
		left = left * time.Duration(n) / places
	}
	s.clock.after(left+1, func() {
		if turn != s.turn {
			return
		}
		s.advance()
		for len(s.running) > 0 && s.running[0].at <= s.virtual {
			if e, ok := heap.Pop(&s.running).(event); ok {
				e.do()
			}
		}
		s.plan()
	})
}
