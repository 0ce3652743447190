package relay

import (
	"context"
	"math/rand/v2"
	"time"

	"geraniumhollow/internal/conf/view"
	"geraniumhollow/internal/core/fault"
	"geraniumhollow/internal/core/sets"
	"geraniumhollow/internal/node/guard"
	"geraniumhollow/internal/plat/engine"
	"geraniumhollow/internal/route/crash"
	"geraniumhollow/internal/route/stream"
	"github.com/cockroachdb/errors"
)

// Bounds of the attempts of one request.
const (
	// maxBarren is the number of attempts in a row that may fail without a new token.
	maxBarren = 4
	// maxFailures is the number of attempts that may fail in all.
	maxFailures = 16
)

// Bounds of the wait for a backend server.
const (
	// maxAsks is the number of servers that are asked for a grant between two waits.
	maxAsks  = 4
	minPause = 5 * time.Millisecond
	maxPause = 50 * time.Millisecond
)

// Causes of the end of an attempt or a request.
var (
	errTimeout   = errors.New("request timeout")
	errStalled   = errors.New("engine sent no frame in time")
	errNoStream  = errors.New("engine sent no answer")
	errTakenOver = errors.New("answer is resumed on another connection")
)

// run produces one answer.
type run struct {
	r   *Relay
	rec *record
	log *stream.Log
	c   Completion
	w   Work
	// fingerprint is what the guard knows the request by; empty without a guard.
	fingerprint crash.Fingerprint
	// failures and barren count failed attempts, in all and since the last new token.
	failures, barren int
	// tries counts the attempts of this turn.
	tries int
	// dataCentre is that of the last backend server that may have run the request.
	dataCentre string
	pace       pace
}

func newRun(r *Relay, rec *record) *run {
	c := rec.completion
	u := &run{r: r, rec: rec, log: rec.log, c: c, w: work(r.view(), c)}
	u.pace.arrived = time.Now()
	if r.deps.Guard != nil {
		u.fingerprint = crash.Of(c.Account.Name, c.Model, c.Prompt, c.Messages)
	}
	return u
}

// begin opens another turn of a record.
func (rec *record) begin(cancel context.CancelCauseFunc) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.cancel, rec.done = cancel, make(chan struct{})
	rec.status.State, rec.status.Outcome, rec.status.Code = Running, fault.Unknown, ""
}

// produce runs attempts until the answer is whole or given up, and settles the record.
func (u *run) produce(ctx context.Context) {
	// A panic in a part that the relay decides with leaves this error.
	ferr := fault.New(fault.Internal, fault.Unknown, "the request failed inside the node")
	defer func() { u.settle(ferr) }()
	if u.log.Done() {
		ferr = nil
		return
	}
	if u.fromOrigin(ctx) {
		ferr = nil
		return
	}
	leave, refusal := u.r.deps.Gate.Enter(ctx, u.r.view(), u.w)
	if refusal != nil {
		ferr = refusal.WithOutcome(u.outcome())
		u.finished(ctx, ferr)
		return
	}
	defer leave()
	// Before leave, so that a node that waits for its requests has been told of all of them.
	defer func() { u.finished(ctx, ferr) }()
	u.r.deps.Retrier.Began(u.w)
	ferr = u.attempts(ctx)
}

// settle ends the turn for the reader and keeps what is known of the request.
func (u *run) settle(ferr *fault.Error) {
	rec := u.rec
	rec.mu.Lock()
	rec.status.State, rec.status.Outcome = Done, fault.Ran
	if ferr != nil {
		rec.status.State, rec.status.Outcome, rec.status.Code = Failed, ferr.Outcome(), ferr.Code()
		u.log.Close(ferr)
	} else {
		u.log.Close(nil)
		rec.share.Shrink(len(rec.completion.Prompt) + len(rec.completion.Messages))
		rec.completion.Prompt, rec.completion.Messages = "", nil
	}
	rec.mu.Unlock()
	u.r.recent.settle(rec, u.r.view().Limits.NodeBufferBytes/answersPart)
	close(rec.done)
}

// attempts runs attempts until the answer is whole or given up.
func (u *run) attempts(ctx context.Context) *fault.Error {
	for !u.log.Done() {
		p, refusal := u.reserve(ctx)
		if refusal != nil {
			return u.givenUp(ctx, refusal)
		}
		before := u.log.End()
		err := u.attempt(ctx, p)
		last := u.isLast(ctx, before, err)
		u.attempted(ctx, p, err, last)
		switch {
		case err == nil:
		case last:
			return u.givenUp(ctx, err)
		case errors.Is(err, stream.ErrFull):
			u.pace.pause()
			if err := u.log.WaitDrained(ctx); err != nil {
				return u.givenUp(ctx, err)
			}
		default:
			u.w.Tried.Add(p.server.Name)
			u.r.log.Info("attempt failed", "request_id", u.c.ID, "backend_server", p.server.Name, "error", err)
		}
	}
	return nil
}

// isLast reports whether no other attempt may follow one that started at an offset.
func (u *run) isLast(ctx context.Context, before int, err error) bool {
	switch {
	case err == nil || ctx.Err() != nil:
		return true
	case errors.Is(err, stream.ErrFull):
		return false
	default:
		return u.mustStop(before, err)
	}
}

// mustStop counts a failed attempt that started at an offset and reports whether it is the last.
func (u *run) mustStop(before int, err error) bool {
	if errors.IsAny(err, engine.ErrRejected, stream.ErrNoRoom) {
		return true
	}
	u.failures++
	u.barren++
	if u.log.End() > before {
		u.barren = 0
	}
	if u.failures >= maxFailures {
		return true
	}
	if errors.Is(err, ErrAborted) {
		return false
	}
	return u.barren >= maxBarren || !u.r.deps.Retrier.Retry(u.w)
}

// outcome returns not_run only if no attempt of any turn can have started.
func (u *run) outcome() fault.Outcome {
	u.rec.mu.Lock()
	defer u.rec.mu.Unlock()
	if u.rec.started {
		return fault.Unknown
	}
	return fault.NotRun
}

// givenUp returns the error for the caller.
func (u *run) givenUp(ctx context.Context, err error) *fault.Error {
	outcome := u.outcome()
	var refusal *fault.Error
	switch {
	case errors.Is(context.Cause(ctx), errTimeout):
		return fault.New(fault.Timeout, outcome, "the request took too long").WithRetryAfter(retryAfter).WithCause(err)
	case errors.IsAny(context.Cause(ctx), ErrCallerGone, errTakenOver):
		return fault.New(fault.OutcomeUnknown, outcome, "the caller is gone").WithCause(err)
	case ctx.Err() != nil:
		return fault.New(fault.NodeDraining, outcome, "the node stopped").WithRetryAfter(retryAfter).WithCause(err)
	case errors.Is(err, engine.ErrRejected):
		return fault.New(fault.BadRequest, outcome, "the backend server refused the request as invalid").WithCause(err)
	case errors.Is(err, stream.ErrNoRoom):
		return fault.New(fault.Overloaded, outcome, "the node has no room for the whole answer").
			WithRetryAfter(retryAfter).WithCause(err)
	case errors.As(err, &refusal) && outcome == fault.NotRun && u.failures == 0:
		return refusal
	}
	return fault.New(fault.BackendFailed, outcome, "no backend server completed the request").
		WithRetryAfter(retryAfter).WithCause(err)
}

// place is the right to make one attempt on a backend server.
type place struct {
	server view.Server
	grant  Grant
	// guarded is the guard's view of the attempt, or nil.
	guarded *guard.Run
}

// reserve chooses a backend server and gets a grant for it. While there is none, it tries again until
// the queue timeout.
func (u *run) reserve(ctx context.Context) (place, *fault.Error) {
	deadline := time.Now().Add(time.Duration(u.r.view().Limits.QueueTimeoutMs) * time.Millisecond)
	pause := minPause
	for {
		p, refusal := u.reserveOnce(ctx)
		if refusal == nil {
			return p, nil
		}
		if refusal.Code() == fault.CrashLimit || u.stuck() || !wait(ctx, pause/2+rand.N(pause/2), deadline) {
			return place{}, refusal
		}
		pause = min(2*pause, maxPause)
	}
}

// wait waits for d and reports whether that ended before the deadline and before ctx.
func wait(ctx context.Context, d time.Duration, deadline time.Time) bool {
	if time.Now().Add(d).After(deadline) {
		return false
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// reserveOnce asks a few backend servers for a grant.
func (u *run) reserveOnce(ctx context.Context) (place, *fault.Error) {
	v := u.r.view()
	w := u.w
	w.Tried = sets.New(sets.Sorted(u.w.Tried)...)
	var busy *fault.Error
	for range maxAsks {
		p, refusal := u.choose(ctx, v, w)
		if refusal != nil {
			if busy != nil && refusal.Code() != fault.CrashLimit {
				refusal = busy
			}
			return place{}, refusal
		}
		g, err := u.r.deps.Granter.Acquire(ctx, p.server, w.PromptTokens+w.MaxTokens)
		if err == nil {
			p.grant = g
			return p, nil
		}
		if p.guarded != nil {
			p.guarded.NotStarted()
		}
		w.Tried.Add(p.server.Name)
		busy = fault.New(fault.Overloaded, fault.NotRun, "no backend server can take the request now").
			WithRetryAfter(retryAfter).WithCause(err)
	}
	return place{}, busy
}

// choose picks a backend server, away from those that the guard keeps for suspects.
func (u *run) choose(ctx context.Context, v *view.View, w Work) (place, *fault.Error) {
	var p place
	pick := func(avoid sets.Set[string], _ bool) (string, *fault.Error) {
		if avoid.Len() > 0 {
			w.Tried = w.Tried.Union(avoid)
		}
		s, refusal := u.pick(v, w)
		p.server = s
		return s.Name, refusal
	}
	if u.r.deps.Guard == nil {
		_, refusal := pick(nil, false)
		return p, refusal
	}
	u.rec.mu.Lock()
	started := u.rec.started
	u.rec.mu.Unlock()
	run, refusal := u.r.deps.Guard.Begin(ctx, guard.Request{
		ID: u.c.ID, Fingerprint: u.fingerprint, MayHaveRun: started, Limit: v.Limits.CrashRuns,
	}, pick)
	p.guarded = run
	return p, refusal
}

// pick chooses a backend server. An answer whose beginning is no longer held can only be resumed by the
// engine that has it.
func (u *run) pick(v *view.View, w Work) (view.Server, *fault.Error) {
	if !u.pinned() {
		return u.r.deps.Picker.Pick(v, w)
	}
	if name := u.log.Server(); !w.Tried.Has(name) {
		if s, ok := serverByName(v, name); ok {
			return s, nil
		}
	}
	return view.Server{}, fault.New(fault.NoBackend, fault.NotRun, "the backend server of the answer is not in service").
		WithRetryAfter(retryAfter)
}

func (u *run) pinned() bool {
	_, ok := u.log.Text()
	return !ok
}

// stuck reports whether waiting for a backend server cannot help.
func (u *run) stuck() bool { return u.pinned() && u.w.Tried.Has(u.log.Server()) }

// serverByName returns a model's backend server that is in service.
func serverByName(v *view.View, name string) (view.Server, bool) {
	for _, m := range v.Document().Models {
		for _, s := range v.Servers(m.Name) {
			if s.Name == name {
				return s, true
			}
		}
	}
	return view.Server{}, false
}
