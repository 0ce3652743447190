package share

import (
	"fmt"
	"time"

	"geraniumhollow/internal/route/budget"
)

// request is one request on its way to the engine or at it.
type request struct {
	key     budget.Key
	tokens  int
	from    *process
	checked time.Duration // time of the holder's last check
	delay   time.Duration // from the check to the arrival
	given   givenGrant
}

// engine is a model engine with lagging reports.
type engine struct {
	w        *world
	number   int
	warm     bool
	held     map[*request]bool
	snapshot budget.Report
	snapAt   time.Duration
	snapLag  time.Duration
}

func newEngine(w *world, warm bool) *engine {
	return &engine{w: w, number: 1, warm: warm, held: make(map[*request]bool)}
}

func (e *engine) instance() string { return fmt.Sprintf("i%d", e.number) }

func (e *engine) state() budget.State {
	if e.warm {
		return budget.Warm
	}
	return budget.Cold
}

// restart gives a new instance in cold start, which warms up after a while.
func (e *engine) restart() {
	e.number++
	e.warm = false
	e.held = make(map[*request]bool)
	e.snapLag = 0
	n := e.number
	if e.w.plan.StayCold {
		return
	}
	e.w.at(10*time.Second+e.w.dur(maxFault), func() {
		if e.number == n {
			e.warm = true
		}
	})
}

// report returns a report that may be up to 1.5 s old.
func (e *engine) report() budget.Report {
	if e.snapLag == 0 || e.w.now-e.snapAt > e.snapLag {
		e.snapAt, e.snapLag = e.w.now, 1+e.w.dur(1500*time.Millisecond)
		e.snapshot = budget.Report{Instance: e.instance(), State: e.state(), Running: len(e.held), GroupComplete: true}
	}
	r := e.snapshot
	r.Age = e.w.now - e.snapAt
	return r
}

// arrive starts a request that was sent on a connection to the instance.
func (e *engine) arrive(r *request, instance string) {
	if instance != e.instance() {
		return
	}
	r.delay = e.w.now - r.checked
	e.held[r] = true
	e.w.res.Arrivals++
	e.check()
	run := e.w.dur(4 * time.Second)
	if e.w.chance(100) {
		run = e.w.dur(maxRun)
	}
	e.w.at(run, func() { e.end(r) })
	if e.w.chance(50) {
		// The caller gives up. The holder closes the connection and proves nothing.
		e.w.at(e.w.dur(run+1), func() { e.abandon(r) })
	}
}

// end finishes a request and tells its holder.
func (e *engine) end(r *request) {
	if !e.held[r] {
		return
	}
	delete(e.held, r)
	inst, state := e.instance(), e.state()
	if !e.cut(CutAnswer, r.from.host.index) {
		r.from.later(e.w.dur(hop), func() {
			r.from.finish(r, budget.Release{End: budget.EndConfirmed, Instance: inst, State: state})
		})
	}
}

// abandon closes the connection of a request from its holder's side.
func (e *engine) abandon(r *request) {
	if r.from.ended || e.w.now < r.from.host.pausedUntil {
		return
	}
	r.from.finish(r, budget.Release{End: budget.EndUnknown})
	if !e.cut(CutSend, r.from.host.index) {
		e.w.at(e.w.dur(time.Second), func() { delete(e.held, r) })
	}
}

// orphan drops most of the requests of a process that has died.
func (e *engine) orphan(p *process) {
	for r := range e.held {
		if r.from == p && r.key.ID%4 != 0 {
			e.w.at(time.Duration(r.key.ID%10)*100*time.Millisecond, func() { delete(e.held, r) })
		}
	}
}

// cut reports whether packets of the kind between a node and the engine are lost.
func (e *engine) cut(kind FaultKind, node int) bool {
	return e.w.cutOff(node) || e.w.during(func(f Fault) bool { return f.Kind == kind && f.Node == node })
}

// check compares what the engine holds with the limit.
//
// For each request held: what was granted up to its grant, and is still held, is within the limit at
// its grant. That is the warm one if the engine was warm, or its owner had not learned of the fall
// back to cold. Without a fall back inside one instance and without a lowered limit this is the
// same as: the requests held are within the limit in force.
func (e *engine) check() {
	e.record()
	for x := range e.held {
		if e.excused(x) {
			continue
		}
		e.checkOne(x)
	}
}

// record notes what is held beyond the limit in force, for whatever reason.
func (e *engine) record() {
	over := len(e.held) - e.w.limitFor(e.w.now, e.warm).Requests
	if e.warm {
		e.w.res.OverWarm = max(e.w.res.OverWarm, over)
	} else {
		e.w.res.OverCold = max(e.w.res.OverCold, over)
	}
}

// excused tells the requests of the second remaining gap of the design: the holder or its connection
// stood still between the last check and the arrival for longer than the reclaim hold.
func (e *engine) excused(r *request) bool { return r.delay > budget.DefaultMaxSendDelay }

func (e *engine) checkOne(x *request) {
	warm := x.given.asWarm || x.given.wasWarm
	limit := e.w.limitFor(x.given.at, warm)
	var sum budget.Load
	for y := range e.held {
		if y.given.at > x.given.at || e.excused(y) {
			continue
		}
		// A warm takeover waits only a second past the validity. What an earlier owner granted and
		// was sent later than that is the excess that a warm instance has to bear.
		if x.given.asWarm && y.given.owner != x.given.owner && y.delay > budget.DefaultWarmSlack {
			continue
		}
		sum = sum.Plus(budget.Load{Requests: 1, Tokens: y.tokens})
	}
	if h := (Held{sum.Requests, limit.Requests}); warm {
		e.w.res.MaxWarm = e.w.res.MaxWarm.more(h)
	} else {
		e.w.res.MaxCold = e.w.res.MaxCold.more(h)
	}
	if !sum.Fits(limit) {
		e.w.failf("instance %s warm=%v holds %+v, limit %+v; granted by %s at %v",
			e.instance(), e.warm, sum, limit, x.given.owner, x.given.at)
	}
}
