package share

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"geraniumhollow/internal/fake/store"
	"geraniumhollow/internal/route/budget"
)

// Times of a world.
const (
	maxRun     = 20 * time.Second
	tailPhase  = 240 * time.Second
	spread     = budget.DefaultPropagationTime
	lateWrite  = 20 * time.Second
	lateSend   = 20 * time.Second
	listLag    = 15 * time.Second
	hop        = 20 * time.Millisecond
	chaosDelay = 3 * time.Second
	callLimit  = 2 * time.Second
	tick       = 500 * time.Millisecond
)

// event is something that happens at a time of the world.
type event struct {
	at  time.Duration
	seq uint64
	f   func()
}

type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *queue) Push(x any) {
	if e, ok := x.(event); ok {
		*q = append(*q, e)
	}
}

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// window is a fault that is active until a time.
type window struct {
	fault Fault
	until time.Duration
}

// world is one run: nodes, a table, a network and an engine under one clock.
type world struct {
	plan   Plan
	rng    *rand.Rand
	now    time.Duration
	seq    uint64
	events queue

	st     *store.Store
	nodes  []*host
	eng    *engine
	active []window
	// limits are all limits that have been in force, with the time of each.
	limits []limitAt
	given  map[budget.Key]givenGrant

	quiet time.Duration // when the last fault has ended
	res   Result
	done  bool
}

type limitAt struct {
	at     time.Duration
	limits budget.Limits
}

// givenGrant is the truth about a grant, which no node knows.
type givenGrant struct {
	at      time.Duration
	asWarm  bool // the owner took the instance for warm
	wasWarm bool // the instance was warm
	owner   string
}

// Run runs one interleaving.
func Run(p Plan) Result {
	w := &world{
		plan: p, rng: rand.New(rand.NewPCG(p.Seed, 2)), //nolint:gosec // A seed must give the same run again.
		st: store.New(), given: make(map[budget.Key]givenGrant),
		limits: []limitAt{{0, p.Limits}},
	}
	w.eng = newEngine(w, p.Warm)
	for i := range p.Nodes {
		h := &host{w: w, index: i, rate: 0.98 + 0.04*w.rng.Float64(), offset: w.dur(time.Hour)}
		w.nodes = append(w.nodes, h)
		w.at(w.dur(time.Second), h.boot)
	}
	for _, f := range p.Faults {
		w.quiet = max(w.quiet, f.At+f.For)
		w.at(f.At, func() { w.inject(f) })
	}
	w.res.Dark = -1
	for end := w.quiet + tailPhase; !w.done && len(w.events) > 0; {
		e, ok := heap.Pop(&w.events).(event)
		if !ok || e.at > end {
			break
		}
		w.now = e.at
		e.f()
	}
	if w.res.Broken == "" && w.res.Dark < 0 {
		w.res.Broken = fmt.Sprintf("no grant within %v after the last fault", tailPhase)
	}
	return w.res
}

// at runs f after a delay.
func (w *world) at(delay time.Duration, f func()) {
	w.seq++
	heap.Push(&w.events, event{at: w.now + delay, seq: w.seq, f: f})
}

// dur returns a random duration below limit.
func (w *world) dur(limit time.Duration) time.Duration {
	return time.Duration(w.rng.Int64N(int64(limit)))
}

// chance is true in n of 1000 cases.
func (w *world) chance(n int) bool { return w.rng.IntN(1000) < n }

// failf records the first break.
func (w *world) failf(format string, args ...any) {
	if w.res.Broken == "" {
		w.res.Broken = fmt.Sprintf("at %v: ", w.now) + fmt.Sprintf(format, args...)
	}
	w.done = true
}

// inject starts a fault.
func (w *world) inject(f Fault) {
	switch f.Kind {
	case Pause:
		w.nodes[f.Node].pausedUntil = w.now + f.For
	case Kill:
		w.nodes[f.Node].kill()
		w.at(f.For, w.nodes[f.Node].boot)
	case Restart:
		w.eng.restart()
	case Fallback:
		w.eng.warm = false
		w.at(w.dur(maxFault), func() { w.eng.warm = !w.plan.StayCold })
	case Lower:
		w.lower()
	default:
		w.active = append(w.active, window{fault: f, until: w.now + f.For})
	}
}

// lower halves the limits. Each node learns of it within the bound of the configuration's age.
func (w *world) lower() {
	old := w.limits[len(w.limits)-1].limits
	l := MakeLimits((old.Cold.Requests+1)/2, (old.Warm.Requests+1)/2)
	w.limits = append(w.limits, limitAt{w.now, l})
	version := len(w.limits) - 1
	for _, h := range w.nodes {
		w.at(w.dur(spread), func() { h.configure(version) })
	}
}

// limitFor returns the highest limit that a grant given at the time may go by.
func (w *world) limitFor(at time.Duration, warm bool) budget.Load {
	var out budget.Load
	for i, l := range w.limits {
		if i+1 < len(w.limits) && w.limits[i+1].at+spread < at || l.at > at {
			continue
		}
		if warm {
			out = out.Max(l.limits.Warm)
		} else {
			out = out.Max(l.limits.Cold)
		}
	}
	return out
}

// during reports whether a fault that matches is active.
func (w *world) during(match func(f Fault) bool) bool {
	return slices.ContainsFunc(w.active, func(a window) bool { return a.until > w.now && match(a.fault) })
}

func (w *world) cutOff(node int) bool {
	return w.during(func(f Fault) bool { return f.Kind == CutNode && f.Node == node })
}

// send carries a message between two processes. A process that has ended gets nothing, and a paused
// one gets it when it wakes.
func (w *world) send(from, to int, f func(p *process)) {
	cut := w.during(func(f Fault) bool { return f.Kind == CutLink && f.Node == from && f.Peer == to })
	if from != to && (cut || w.cutOff(from) || w.cutOff(to)) {
		return
	}
	target := w.nodes[to].proc
	if target == nil {
		return
	}
	chaos := w.during(func(f Fault) bool { return f.Kind == Chaos })
	copies, delay := 1, hop
	if chaos && from != to {
		copies, delay = w.rng.IntN(3), chaosDelay
	}
	for range copies {
		target.later(w.dur(delay), func() { f(target) })
	}
}
