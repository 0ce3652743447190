// Package guard keeps requests that are suspected of crashing backend servers away from the others. It
// is the shell of internal/route/crash: it holds servers for suspects, counts their runs in the table,
// and tells other nodes what it suspects.
package guard

import (
	"context"
	"sync"
	"time"

	"geraniumhollow/internal/core/fault"
	"geraniumhollow/internal/core/sets"
	"geraniumhollow/internal/core/tasks"
	"geraniumhollow/internal/plat/table"
	"geraniumhollow/internal/route/crash"
	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
)

// holdWait bounds the wait of a suspect for the other requests of this node on its server, and the
// wait of others for a server that is held; a held server takes nothing else meanwhile.
const holdWait = 10 * time.Second

// pollTime is the time between looks at a limit that runs of other nodes use up.
const pollTime = 500 * time.Millisecond

// settleTime is how long after a cancelled run the death of its server is put down to it. It is longer
// than the time within which the crash decider counts a broken run as running.
const settleTime = 3 * time.Second

// retryAfter is when a caller may come back after a refusal that is not final.
const retryAfter = time.Second

// Deps are what a guard works with.
type Deps struct {
	Log   hclog.Logger
	Table table.Table
	// Share passes what this node has found out to the other nodes, which call Learn. It must not block.
	Share func([]crash.Suspicion)
	// Now is the clock; nil is time.Now.
	Now func() time.Time
}

// Guard is the crash suspicion of one node. It is safe for concurrent use.
type Guard struct {
	deps  Deps
	group *tasks.Group

	mu      sync.Mutex
	decider *crash.Decider
	// changed is closed and replaced when a run ends or begins.
	changed chan struct{}
}

// New returns a guard. Counts of completed runs are taken back in g.
func New(g *tasks.Group, d Deps) *Guard {
	if d.Share == nil {
		d.Share = func([]crash.Suspicion) {}
	}
	if d.Now == nil {
		d.Now = time.Now
	}
	return &Guard{deps: d, group: g, decider: crash.New(), changed: make(chan struct{})}
}

// Request is a request that is about to make an attempt.
type Request struct {
	ID          string
	Fingerprint crash.Fingerprint
	// MayHaveRun is set when an earlier attempt of the request may have run.
	MayHaveRun bool
	// Limit is the number of runs of a suspect in the whole fleet (limits.crash_runs).
	Limit int
}

// Pick chooses a backend server outside avoid. For a suspect, lowestRisk is set and the choice is the
// server on which the least would be lost. It must not call the guard.
type Pick func(avoid sets.Set[string], lowestRisk bool) (string, *fault.Error)

// Run is one attempt that may begin. The first call of Complete, NotStarted, Break or Abandon ends it;
// later calls do nothing.
type Run struct {
	// Server is the name of the backend server.
	Server string
	// Alone is set for the run of a suspect.
	Alone bool

	guard *Guard
	id    crash.RunID
	f     crash.Fingerprint
	token string
	once  sync.Once
}

// Begin is called before each attempt. It returns the run on the backend server that pick chose, once
// it may begin, or the caller's error.
func (g *Guard) Begin(ctx context.Context, r Request, pick Pick) (*Run, *fault.Error) {
	ctx, cancel := context.WithTimeout(ctx, holdWait)
	defer cancel()
	for {
		run, changed, ferr := g.try(r, pick)
		if run != nil && run.Alone {
			var inUse bool
			if inUse, ferr = g.beginAlone(ctx, r, run); !inUse {
				return run.unless(ferr), ferr
			}
		} else if run != nil || changed == nil {
			return run, ferr
		}
		if !g.waitChange(ctx, changed) {
			return nil, refused(r, ferr)
		}
	}
}

// unless returns nil when there is an error.
func (r *Run) unless(ferr *fault.Error) *Run {
	if ferr != nil {
		return nil
	}
	return r
}

// waitChange waits until changed is closed, or for a short time: a run of another node may end without
// news of it. It reports false when ctx has ended.
func (g *Guard) waitChange(ctx context.Context, changed <-chan struct{}) bool {
	t := time.NewTimer(pollTime)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-changed:
	case <-t.C:
	}
	return true
}

// try starts a run, or holds a server for a suspect. A non-nil channel means that another try may
// succeed when the channel is closed.
func (g *Guard) try(r Request, pick Pick) (*Run, <-chan struct{}, *fault.Error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	suspect, weight := g.decider.Suspect(g.deps.Now(), r.Fingerprint)
	held := g.decider.Held()
	avoid := held
	if suspect {
		avoid = g.decider.Busy()
	}
	server, ferr := pick(avoid, suspect)
	if ferr != nil && suspect {
		server, ferr = pick(held, true)
	}
	if ferr != nil {
		if held.Len() == 0 {
			return nil, nil, refused(r, ferr)
		}
		return nil, g.changed, ferr
	}
	run := &Run{Server: server, Alone: suspect, guard: g, f: r.Fingerprint}
	var ok bool
	if suspect {
		run.token = uuid.NewString()
		run.id, ok = g.decider.Hold(r.Fingerprint, server)
		g.deps.Log.Info("suspect runs alone", "request_id", r.ID, "backend_server", server, "weight", weight)
	} else {
		run.id, ok = g.decider.Start(r.Fingerprint, server)
	}
	if !ok {
		return nil, g.changed, fault.New(fault.Overloaded, fault.NotRun, "the backend server is held").WithRetryAfter(retryAfter)
	}
	return run, g.changed, nil
}

// refused corrects the outcome of an error for a request that may have run before.
func refused(r Request, ferr *fault.Error) *fault.Error {
	if r.MayHaveRun {
		return ferr.WithOutcome(fault.Unknown)
	}
	return ferr
}

// beginAlone waits until the server runs nothing else of this node and counts the run in the table. It
// reports whether runs that are under way use up the limit; the server is then free again.
func (g *Guard) beginAlone(ctx context.Context, r Request, run *Run) (bool, *fault.Error) {
	if !g.waitIdle(ctx, run.id) {
		run.abandon()
		return false, refused(r, fault.New(fault.Overloaded, fault.NotRun,
			"no backend server is free to run the request alone").WithRetryAfter(retryAfter))
	}
	v := g.count(ctx, r.Fingerprint, crash.Count(run.token, r.Limit))
	if v == crash.Allowed {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.decider.Begin(run.id)
		return false, nil
	}
	run.abandon()
	switch v {
	case crash.LimitReached:
		return false, refused(r, fault.New(fault.CrashLimit, fault.NotRun,
			"backend servers died each time they ran this request; it is not run again"))
	case crash.InUse:
		return true, fault.New(fault.Overloaded, fault.NotRun,
			"the request is running elsewhere under suspicion of crashes").WithRetryAfter(retryAfter)
	default:
		return false, refused(r, fault.New(fault.StoreUnavailable, fault.NotRun,
			"the run of a request that is suspected of crashes could not be counted").WithRetryAfter(retryAfter))
	}
}

func (g *Guard) waitIdle(ctx context.Context, id crash.RunID) bool {
	for {
		g.mu.Lock()
		idle, changed := g.decider.Idle(id), g.changed
		g.mu.Unlock()
		if idle {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-changed:
		}
	}
}

// Complete ends a run that delivered its whole answer.
func (r *Run) Complete() {
	r.once.Do(func() {
		r.guard.update(func(d *crash.Decider) []crash.Suspicion { return d.Complete(r.id, r.f) })
		r.endCount(crash.GiveBack(r.token))
	})
}

// NotStarted ends a run with proof that its server did not start it.
func (r *Run) NotStarted() {
	r.once.Do(func() {
		r.abandon()
		r.endCount(crash.GiveBack(r.token))
	})
}

// Break ends a run whose connection broke; the caller also reports ServerDied when the server is dead.
func (r *Run) Break() {
	r.once.Do(func() {
		r.broke()
		r.endCount(crash.Settle(r.token))
	})
}

// Abandon ends a run that its caller cancelled. Like a run that broke, it is part of a crash that is
// reported soon after; without one its count is given back.
func (r *Run) Abandon() {
	r.once.Do(func() {
		before := r.weight()
		r.broke()
		r.endCountAfter(settleTime, func() *crash.Counter {
			if r.weight() > before {
				return crash.Settle(r.token)
			}
			return crash.GiveBack(r.token)
		})
	})
}

func (r *Run) broke() {
	r.guard.update(func(d *crash.Decider) []crash.Suspicion {
		d.Break(r.guard.deps.Now(), r.id)
		return nil
	})
}

// abandon ends a run that has not begun.
func (r *Run) abandon() {
	r.guard.update(func(d *crash.Decider) []crash.Suspicion {
		d.Abandon(r.id)
		return nil
	})
}

// weight returns the crashes that this node knows the request to have taken part in.
func (r *Run) weight() int {
	r.guard.mu.Lock()
	defer r.guard.mu.Unlock()
	_, n := r.guard.decider.Suspect(r.guard.deps.Now(), r.f)
	return n
}

// ServerDied tells the guard that a backend server has died. Reports of the same death may repeat.
func (g *Guard) ServerDied(server string) {
	g.update(func(d *crash.Decider) []crash.Suspicion { return d.Died(g.deps.Now(), server) })
}

// Learn takes what the node origin has found out.
func (g *Guard) Learn(origin string, list []crash.Suspicion) {
	g.update(func(d *crash.Decider) []crash.Suspicion {
		for _, s := range list {
			d.Learn(g.deps.Now(), origin, s)
		}
		return nil
	})
}

// Suspect reports whether a request would run alone.
func (g *Guard) Suspect(f crash.Fingerprint) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	suspect, _ := g.decider.Suspect(g.deps.Now(), f)
	return suspect
}

// update changes the decider, wakes the waiting requests and shares what changed.
func (g *Guard) update(f func(d *crash.Decider) []crash.Suspicion) {
	g.mu.Lock()
	list := f(g.decider)
	close(g.changed)
	g.changed = make(chan struct{})
	g.mu.Unlock()
	if len(list) > 0 {
		g.deps.Share(list)
	}
}
