// Package guard isolates requests that are suspected of crashing backend servers, by themselves or by how their prompts
// begin, from other requests. It performs the input and output for the decisions of internal/route/crash: it reserves
// servers for suspects, counts their runs in the table, and shares suspicions with other nodes.
package guard

import (
	"context"
	"strconv"
	"sync"
	"time"

	"geraniumhollow/internal/core/fault"
	"geraniumhollow/internal/core/sets"
	"geraniumhollow/internal/core/tasks"
	"geraniumhollow/internal/plat/table"
	"geraniumhollow/internal/route/crash"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
)

// reservationTimeout limits how long a suspect waits for this node's other requests on its server, and how long other
// requests wait for a reserved server. While a server is reserved, this node sends it no other requests.
const reservationTimeout = 10 * time.Second

// pollInterval is the maximum time between two tries of a waiting request, because runs of other nodes can end
// without a notice.
const pollInterval = 500 * time.Millisecond

// settleTime is how long after a cancelled run a crash of its server is attributed to it. It is longer than the time
// during which the crash decider treats a broken run as still running.
const settleTime = 3 * time.Second

// retryAfter is the delay after which a caller may retry after a refusal that is not final.
const retryAfter = time.Second

// Deps are the dependencies of a Guard.
type Deps struct {
	Log   hclog.Logger
	Table table.Table
	// Share sends this node's findings to the other nodes, which call Learn. It must not block. It may be nil.
	Share func(crash.Findings)
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
}

// Guard tracks the crash suspicions of one node. It is safe for concurrent use.
type Guard struct {
	deps  Deps
	group *tasks.Group

	mu      sync.Mutex
	decider *crash.Decider
	// parts finds parts of prompts that crash servers. The decider holds each of them as a suspect of its own.
	parts *crash.PartTracker
	// changed is closed and replaced at each update of the decider, such as the end of a run.
	changed chan struct{}
}

// New returns a guard. The counts of ended runs are updated by tasks of g.
func New(g *tasks.Group, d Deps) (*Guard, error) {
	if d.Share == nil {
		d.Share = func(crash.Findings) {}
	}
	if d.Now == nil {
		d.Now = time.Now
	}
	parts, err := crash.NewPartTracker()
	if err != nil {
		return nil, errors.Newf("new guard: %w", err)
	}
	return &Guard{deps: d, group: g, decider: crash.New(), parts: parts, changed: make(chan struct{})}, nil
}

// Request describes a request before an attempt.
type Request struct {
	ID          string
	Fingerprint crash.Fingerprint
	// Parts are the parts of the prompt that other requests may share, in order.
	Parts []crash.Part
	// MayHaveRun is true if an earlier attempt of the request may have run.
	MayHaveRun bool
	// Limit is the maximum number of runs of a suspect in the whole fleet (limits.crash_runs).
	Limit int
}

// Pick chooses a backend server that is not in avoid. For a suspect, lowestRisk is true, and Pick chooses the server
// whose crash would lose the least work. Pick must not call the guard.
type Pick func(avoid sets.Set[string], lowestRisk bool) (string, *fault.Error)

// Run is an attempt that is allowed to begin. The first call of Complete, NotStarted, ConnectionLost or Abandon ends it;
// later calls have no effect.
type Run struct {
	// Server is the name of the backend server.
	Server string
	// Exclusive is true for the run of a suspect.
	Exclusive bool

	guard       *Guard
	id          crash.RunID
	fingerprint crash.Fingerprint
	token       string
	once        sync.Once
}

// Begin must be called before each attempt. It waits until the attempt may begin on a backend server that pick
// chooses. It returns the run, or an error for the caller.
func (g *Guard) Begin(ctx context.Context, r Request, pick Pick) (*Run, *fault.Error) {
	ctx, cancel := context.WithTimeout(ctx, reservationTimeout)
	defer cancel()
	for {
		r := g.identify(r)
		run, changed, ferr := g.try(r, pick)
		if run != nil && run.Exclusive {
			var inUse bool
			if inUse, ferr = g.beginAlone(ctx, r, run); !inUse {
				return run.unless(ferr), ferr
			}
		} else if run != nil || changed == nil {
			return run, ferr
		}
		if !g.waitChange(ctx, changed) {
			return nil, withOutcome(r, ferr)
		}
	}
}

// identify returns the request with the fingerprint under which it is suspected: that of a part of its prompt that
// crashes servers, if there is one. All requests with the part then share its limit of runs.
func (g *Guard) identify(r Request) Request {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range r.Parts {
		if suspect, _ := g.decider.Suspect(g.deps.Now(), crash.Fingerprint(p)); suspect {
			r.Fingerprint = crash.Fingerprint(p)
			return r
		}
	}
	return r
}

// unless returns nil if ferr is not nil, and otherwise the run.
func (r *Run) unless(ferr *fault.Error) *Run {
	if ferr != nil {
		return nil
	}
	return r
}

// waitChange waits until changed is closed, but at most for pollInterval: a run on another node can end without a
// notice. It returns false if ctx has ended.
func (g *Guard) waitChange(ctx context.Context, changed <-chan struct{}) bool {
	t := time.NewTimer(pollInterval)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-changed:
	case <-t.C:
	}
	return true
}

// try starts a run, or reserves a server for a suspect. If it fails and returns a channel, another try may succeed
// after the channel is closed.
func (g *Guard) try(r Request, pick Pick) (*Run, <-chan struct{}, *fault.Error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	suspect, weight := g.decider.Suspect(g.deps.Now(), r.Fingerprint)
	reserved := g.decider.Reserved()
	avoid := reserved
	if suspect {
		avoid = g.decider.Busy()
	}
	server, ferr := pick(avoid, suspect)
	if ferr != nil && suspect {
		server, ferr = pick(reserved, true)
	}
	if ferr != nil {
		if reserved.Len() == 0 {
			return nil, nil, withOutcome(r, ferr)
		}
		return nil, g.changed, ferr
	}
	run := &Run{Server: server, Exclusive: suspect, guard: g, fingerprint: r.Fingerprint}
	var ok bool
	if suspect {
		run.token = uuid.NewString()
		run.id, ok = g.decider.Reserve(r.Fingerprint, server)
		g.deps.Log.Info("reserving a backend server for a suspected request", "request_id", r.ID, "backend_server", server, "weight", weight)
	} else {
		run.id, ok = g.decider.Start(r.Fingerprint, server)
	}
	if !ok {
		return nil, g.changed, fault.New(fault.Overloaded, fault.NotRun, "the backend server is held").WithRetryAfter(retryAfter)
	}
	g.decider.SetParts(run.id, r.Parts)
	// The repeated runs of a suspect say no more about parts that other requests share than one of them.
	g.decider.CountOnce(run.id)
	return run, g.changed, nil
}

// withOutcome sets the outcome of an error to unknown if an earlier attempt of the request may have run.
func withOutcome(r Request, ferr *fault.Error) *fault.Error {
	if r.MayHaveRun {
		return ferr.WithOutcome(fault.Unknown)
	}
	return ferr
}

// beginAlone waits until the server runs no other requests of this node, and counts the run in the table. It returns
// true if runs in progress use up the limit; the reservation of the server has then ended.
func (g *Guard) beginAlone(ctx context.Context, r Request, run *Run) (bool, *fault.Error) {
	if !g.waitIdle(ctx, run.id) {
		run.discard()
		return false, withOutcome(r, fault.New(fault.Overloaded, fault.NotRun,
			"no backend server is free to run the request alone").WithRetryAfter(retryAfter))
	}
	v := g.count(ctx, r.Fingerprint, crash.CountRun(run.token, r.Limit))
	if v == crash.Allowed {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.decider.Begin(run.id)
		// A server that dies under a request that it runs alone speaks as much against it as if it had begun to answer.
		g.decider.AnswerBegan(run.id)
		return false, nil
	}
	run.discard()
	switch v {
	case crash.LimitReached:
		return false, withOutcome(r, fault.New(fault.CrashLimit, fault.NotRun,
			"backend servers died each time they ran this request; it is not run again"))
	case crash.InUse:
		return true, fault.New(fault.Overloaded, fault.NotRun,
			"the request is running elsewhere under suspicion of crashes").WithRetryAfter(retryAfter)
	default:
		return false, withOutcome(r, fault.New(fault.StoreUnavailable, fault.NotRun,
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

// AnswerBegan records that the server has begun to answer.
func (r *Run) AnswerBegan() {
	r.guard.mu.Lock()
	defer r.guard.mu.Unlock()
	r.guard.decider.AnswerBegan(r.id)
}

// Progressed records that the server has sent part of the answer after its beginning, and lives.
func (r *Run) Progressed() {
	g := r.guard
	g.mu.Lock()
	safe := g.parts.Safe(g.deps.Now(), g.decider.PartsSafe(r.id))
	g.mu.Unlock()
	if len(safe) > 0 {
		g.deps.Share(crash.Findings{Safe: safe})
	}
}

// Complete ends a run that delivered a complete answer.
func (r *Run) Complete() {
	r.once.Do(func() {
		r.Progressed()
		r.guard.update(func(d *crash.Decider) crash.Findings {
			return crash.Findings{Suspicions: d.Complete(r.id, r.fingerprint)}
		})
		r.endCount(crash.ReleaseRun(r.token))
	})
}

// NotStarted ends a run that the server provably did not start.
func (r *Run) NotStarted() {
	r.once.Do(func() {
		r.discard()
		r.endCount(crash.ReleaseRun(r.token))
	})
}

// ConnectionLost ends a run whose connection broke. If the server has died, ServerDied must be called as well.
func (r *Run) ConnectionLost() {
	r.once.Do(func() {
		r.breakRun()
		r.endCount(crash.RecordCrash(r.token))
	})
}

// Abandon ends a run that its caller cancelled. Like a broken run, it takes part in a crash of the server that is
// reported within settleTime. If none is reported, the run is no longer counted.
func (r *Run) Abandon() {
	r.once.Do(func() {
		before := r.weight()
		r.breakRun()
		r.endCountAfter(settleTime, func() *crash.Counter {
			if r.weight() > before {
				return crash.RecordCrash(r.token)
			}
			return crash.ReleaseRun(r.token)
		})
	})
}

func (r *Run) breakRun() {
	r.guard.update(func(d *crash.Decider) crash.Findings {
		d.ConnectionLost(r.guard.deps.Now(), r.id)
		return crash.Findings{}
	})
}

// discard ends a run that its server did not run.
func (r *Run) discard() {
	r.guard.update(func(d *crash.Decider) crash.Findings {
		d.Abandon(r.id)
		return crash.Findings{}
	})
}

// weight returns the number of crashes that the request took part in, as far as this node knows.
func (r *Run) weight() int {
	r.guard.mu.Lock()
	defer r.guard.mu.Unlock()
	_, n := r.guard.decider.Suspect(r.guard.deps.Now(), r.fingerprint)
	return n
}

// ServerDied reports that a backend server has died. The same death may be reported repeatedly.
func (g *Guard) ServerDied(server string) {
	g.update(func(d *crash.Decider) crash.Findings {
		now := g.deps.Now()
		var f crash.Findings
		if runs := d.PromptRuns(now, server); len(runs) > 0 {
			// A server is reported by name, which its next process has as well.
			death := crash.Death{Process: server + "@" + strconv.FormatInt(now.UnixMilli()/deathPeriod.Milliseconds(), 10), Runs: runs}
			f.Deaths = []crash.Death{death}
			f.Suspicions = g.suspectParts(now, g.parts.RecordDeath(now, death, true))
		}
		f.Suspicions = append(f.Suspicions, d.ServerDied(now, server)...)
		return f
	})
}

// deathPeriod is the time within which reports of several nodes that a server has died are taken for the same death.
const deathPeriod = time.Second

// suspectParts makes parts suspects, and returns the changes. g.mu must be held.
func (g *Guard) suspectParts(now time.Time, parts []crash.Part) []crash.Suspicion {
	out := make([]crash.Suspicion, 0, len(parts))
	for _, p := range parts {
		g.deps.Log.Warn("suspecting a prompt part that crashes servers", "part", p)
		s := crash.Suspicion{Fingerprint: crash.Fingerprint(p), Change: crash.Suspected, Crashes: 1}
		g.decider.Learn(now, "", s)
		out = append(out, s)
	}
	return out
}

// Learn applies the findings that the node origin shared.
func (g *Guard) Learn(origin string, f crash.Findings) {
	g.update(func(d *crash.Decider) crash.Findings {
		now := g.deps.Now()
		for _, s := range f.Suspicions {
			d.Learn(now, origin, s)
			if s.Change == crash.Completed {
				g.parts.LearnSafe(now, crash.Part(s.Fingerprint))
			}
		}
		for _, p := range f.Safe {
			g.parts.LearnSafe(now, p)
		}
		var out crash.Findings
		for _, death := range f.Deaths {
			out.Suspicions = append(out.Suspicions, g.suspectParts(now, g.parts.RecordDeath(now, death, false))...)
		}
		return out
	})
}

// Suspect reports whether a request is a suspect, which must run alone on its backend server.
func (g *Guard) Suspect(f crash.Fingerprint) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	suspect, _ := g.decider.Suspect(g.deps.Now(), f)
	return suspect
}

// update changes the decider with f, wakes waiting requests, and shares the findings that f returns.
func (g *Guard) update(f func(d *crash.Decider) crash.Findings) {
	g.mu.Lock()
	found := f(g.decider)
	close(g.changed)
	g.changed = make(chan struct{})
	g.mu.Unlock()
	if !found.Empty() {
		g.deps.Share(found)
	}
}
