package pass

import (
	"context"
	"time"

	"geraniumhollow/internal/core/fault"
	"geraniumhollow/internal/core/sets"
	"geraniumhollow/internal/node/front"
	"geraniumhollow/internal/route/match"
	"geraniumhollow/internal/route/retry"
	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// Causes with which an attempt ends.
var (
	// ErrStalled means that a backend server has made no progress for too long.
	ErrStalled = errors.New("backend server makes no progress")
	// errCaller marks an error of the connection to the caller.
	errCaller = errors.New("caller cannot be written to")
)

// run is the state of a call across its attempts.
type run struct {
	r *Relay
	c *Call
	w *front.Writer
	// tried are the servers that have refused or failed the call.
	tried sets.Set[string]
	// number counts the attempts that were sent.
	number int
	// mayHaveRun is set once an attempt may have run.
	mayHaveRun bool
	// answered is set once bytes of an answer have arrived.
	answered bool
	events   events
}

// serve makes attempts until one has succeeded or none may follow.
func (r *Relay) serve(ctx context.Context, c *Call, w *front.Writer) {
	u := &run{r: r, c: c, w: w, tried: sets.New[string]()}
	if c.LastEvent != "" {
		u.events.from(c.LastEvent)
	}
	budget := r.deps.Budget(c.Service.Name)
	budget.Request(time.Now())
	for {
		res := u.attempt(ctx)
		if res.done {
			code := fault.Code("")
			if res.aborted {
				code = fault.BackendFailed
			}
			r.deps.Metrics.RequestEnded(code, time.Since(c.Arrived))
			return
		}
		if res.refusal != nil {
			u.giveUp(ctx, res.refusal)
			return
		}
		v := retry.Decide(time.Now(), u.facts(res), budget)
		r.deps.Log.Info("decided on another attempt", "request", c.ID, "attempt", u.number, "retry", v.Retry, "reason", v.Reason,
			"not_run", res.outcome == NotRun, "left_ms", time.Until(c.Deadline).Milliseconds())
		if v.Retry {
			r.deps.Metrics.Retried()
			continue
		}
		u.fail(ctx, res, v)
		return
	}
}

// facts returns what the retry rules need to know.
func (u *run) facts(res result) retry.Attempt {
	return retry.Attempt{
		Number:      u.number,
		MaxAttempts: max(1, u.c.Route.MaxAttempts),
		NotStarted:  res.outcome == NotRun,
		MayHaveRun:  u.mayHaveRun,
		Idempotent:  u.c.Route.Repeatable(),
		Delivered:   u.events.count,
		Resumable:   u.c.Route.Resumable,
		Left:        time.Until(u.c.Deadline),
	}
}

// result is what became of an attempt.
type result struct {
	done bool
	// aborted says that the caller's answer is incomplete.
	aborted bool
	refusal *fault.Error
	outcome Outcome
	server  string
	err     error
	// held is a whole failure answer of a backend server, which is passed on if no attempt follows.
	held *failure
}

// failure is an answer with which a backend server says that it failed.
type failure struct {
	header *fasthttp.ResponseHeader
	body   []byte
}

// fail ends a call whose last attempt failed.
func (u *run) fail(ctx context.Context, res result, v retry.Verdict) {
	if res.held != nil && !u.w.Begun() {
		u.w.Begin(res.held.header)
		if err := u.w.Write(res.held.body); err == nil {
			err = u.w.End()
			u.noteWrite(err)
		}
		return
	}
	if v.Outcome == fault.NotRun {
		u.giveUp(ctx, fault.New(fault.Overloaded, fault.NotRun, "no backend server took the request").
			WithRetryAfter(retryRefused).WithCause(res.err))
		return
	}
	u.giveUp(ctx, fault.New(fault.BackendFailed, fault.Unknown, "the backend server failed").WithCause(res.err))
}

// retryRefused is when a caller may come back whose request backend servers refused.
const retryRefused = 300 * time.Millisecond

// giveUp ends a call with an error of the node's own. A call that ran out of time, or may have run, is
// not told that it did not run.
func (u *run) giveUp(ctx context.Context, ferr *fault.Error) {
	switch {
	case u.w.Begun():
		u.gone("broke off an answer", ferr.Code(), ferr)
		u.w.Abort()
	case errors.Is(context.Cause(ctx), front.ErrCallerGone):
		u.gone("caller left", fault.Timeout, ferr)
		u.w.Abort()
	case u.mayHaveRun && ctx.Err() != nil:
		u.r.refuse(u.w, u.c, fault.New(fault.Timeout, fault.Unknown, "the time is up").WithCause(ferr))
	case u.mayHaveRun:
		u.r.refuse(u.w, u.c, fault.New(fault.BackendFailed, fault.Unknown, "the backend server failed").WithCause(ferr))
	default:
		u.r.refuse(u.w, u.c, ferr)
	}
}

// gone notes a request whose caller gets no whole answer.
func (u *run) gone(what string, code fault.Code, why error) {
	d := time.Since(u.c.Arrived)
	u.r.deps.Metrics.RequestEnded(code, d)
	u.r.deps.Log.Info(what, "request", u.c.ID, "attempts", u.number, "events", u.events.count, "ms", d.Milliseconds(), "reason", why)
}

func (u *run) noteWrite(err error) {
	if err != nil {
		u.r.deps.Log.Info("cannot write to the caller", "request", u.c.ID, "error", err)
	}
}

// headerBy returns until when the headers of an answer must arrive.
func (u *run) headerBy() time.Time {
	if u.c.Route.Kind != match.Idempotent {
		return u.c.Deadline
	}
	// A second attempt needs a part of the time.
	left := time.Until(u.c.Deadline)
	if u.number >= u.c.Route.MaxAttempts {
		return u.c.Deadline
	}
	return time.Now().Add(min(left/2, max(u.c.Route.Objective, minHeaderWait)))
}

// minHeaderWait is the least time that a backend server has for the headers of an answer.
const minHeaderWait = 200 * time.Millisecond
