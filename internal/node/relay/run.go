package relay

import (
	"context"
	"math/rand/v2"
	"strconv"
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

// Limits of the failed attempts of one request. An attempt that ends with ErrAborted counts for both limits,
// but ends the request only if it reaches maxFailures.
const (
	// maxWithoutProgress limits the consecutive failed attempts that added no token to the answer.
	maxWithoutProgress = 4
	// maxFailures limits the failed attempts in total.
	maxFailures = 16
)

// Limits of the search for a backend server with a free grant.
const (
	// maxGrantRequests is the number of servers for which a grant is requested before each backoff.
	maxGrantRequests = 4
	minGrantBackoff  = 5 * time.Millisecond
	maxGrantBackoff  = 50 * time.Millisecond
)

// Reasons why an attempt or a request ended.
var (
	errTimeout          = errors.New("request timeout")
	errStalled          = errors.New("timed out waiting for a frame from the engine")
	errNoResponse       = errors.New("engine sent no response")
	errResumedElsewhere = errors.New("answer was resumed on another connection")
)

// run produces the answer of a record, from the start or from the offset at which the record is resumed.
type run struct {
	r   *Relay
	rec *record
	log *stream.Buffer
	c   Completion
	w   RequestInfo
	// fingerprint identifies the request to the guard; empty without a guard.
	fingerprint crash.Fingerprint
	// parts are the leading parts of the prompt, by which the guard finds those that crash servers.
	parts []crash.Part
	// failures counts all failed attempts, withoutProgress those in a row that added no token to the answer.
	failures, withoutProgress int
	// attemptCount counts the attempts of this run.
	attemptCount int
	// dataCentre is the data centre of the last backend server that may have run the request.
	dataCentre string
	pace       pace
}

func newRun(r *Relay, rec *record) *run {
	c := rec.completion
	u := &run{r: r, rec: rec, log: rec.log, c: c, w: newWork(r.view(), c)}
	u.pace.arrived = time.Now()
	if r.deps.Guard != nil {
		u.fingerprint = crash.NewFingerprint(c.Account.Name, c.Model, c.Prompt, c.Messages)
		u.parts = promptParts(u.w.Prefix)
	}
	return u
}

// promptParts returns the leading parts of a prompt for the guard: the first block, the first two, four and so on. Not all
// of them are needed, as a part that crashes servers is recognized by the next longer one.
func promptParts(prefix []uint64) []crash.Part {
	var out []crash.Part
	for n := 1; n <= len(prefix); n *= 2 {
		out = append(out, crash.NewPart("prefix", strconv.FormatUint(prefix[n-1], 36)))
	}
	return out
}

// beginRun resets the record for a new run.
func (rec *record) beginRun(cancel context.CancelCauseFunc) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.cancel, rec.done = cancel, make(chan struct{})
	rec.status.State, rec.status.Outcome, rec.status.Code = Running, fault.Unknown, ""
}

// produce produces the answer, from the origin node or by attempts, and then ends the run.
func (u *run) produce(ctx context.Context) {
	// This error remains if a dependency panics.
	ferr := fault.New(fault.Internal, fault.Unknown, "the request failed inside the node")
	defer func() { u.endRun(ferr) }()
	if u.log.Complete() {
		ferr = nil
		return
	}
	if u.copyFromOrigin(ctx) {
		ferr = nil
		return
	}
	leave, refusal := u.r.deps.Gate.Enter(ctx, u.r.view(), u.w)
	if refusal != nil {
		ferr = refusal.WithOutcome(u.outcome())
		u.reportFinished(ctx, ferr)
		return
	}
	defer leave()
	// Runs before leave, so that a draining node has reported all requests when the last one has left.
	defer func() { u.reportFinished(ctx, ferr) }()
	u.r.deps.Retrier.RequestStarted(u.w)
	ferr = u.attempts(ctx)
}

// endRun closes the log for the reader and stores the outcome of the request.
func (u *run) endRun(ferr *fault.Error) {
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
	u.r.records.addEnded(rec, u.r.view().Limits.NodeBufferBytes/answerBudgetDivisor)
	close(rec.done)
}

// attempts runs attempts until the answer is complete or no further attempt is allowed.
func (u *run) attempts(ctx context.Context) *fault.Error {
	for !u.log.Complete() {
		rsv, refusal := u.reserve(ctx)
		if refusal != nil {
			return u.callerError(ctx, refusal)
		}
		startOffset := u.log.NextOffset()
		err := u.attempt(ctx, rsv)
		last := u.isLast(ctx, startOffset, err)
		u.reportAttempt(ctx, rsv, err, last)
		switch {
		case err == nil:
		case last:
			return u.callerError(ctx, err)
		case errors.Is(err, stream.ErrSlowCaller):
			// The caller reads too slowly. The next attempt resumes the answer after the caller has caught up.
			u.pace.skipNextGap()
			if err := u.log.WaitDrained(ctx); err != nil {
				return u.callerError(ctx, err)
			}
		default:
			u.w.Tried.Add(rsv.server.Name)
			u.r.log.Info("attempt failed", "request_id", u.c.ID, "backend_server", rsv.server.Name, "error", err)
		}
	}
	return nil
}

// isLast reports whether no other attempt may follow one that started at startOffset and ended
// with err.
func (u *run) isLast(ctx context.Context, startOffset int, err error) bool {
	switch {
	case err == nil || ctx.Err() != nil:
		return true
	case errors.Is(err, stream.ErrSlowCaller):
		return false
	default:
		return u.countFailure(startOffset, err)
	}
}

// countFailure counts a failed attempt that started at startOffset and reports whether no other attempt may
// follow.
func (u *run) countFailure(startOffset int, err error) bool {
	if errors.IsAny(err, engine.ErrRejected, stream.ErrBudgetExhausted) {
		return true
	}
	u.failures++
	u.withoutProgress++
	if u.log.NextOffset() > startOffset {
		u.withoutProgress = 0
	}
	if u.failures >= maxFailures {
		return true
	}
	if errors.Is(err, ErrAborted) {
		return false
	}
	return u.withoutProgress >= maxWithoutProgress || !u.r.deps.Retrier.Retry(u.w)
}

// outcome returns not_run only if no attempt of any run of the record can have started.
func (u *run) outcome() fault.Outcome {
	u.rec.mu.Lock()
	defer u.rec.mu.Unlock()
	if u.rec.mayHaveRun {
		return fault.Unknown
	}
	return fault.NotRun
}

// callerError returns the error that the caller gets for a request that failed with err.
func (u *run) callerError(ctx context.Context, err error) *fault.Error {
	outcome := u.outcome()
	var refusal *fault.Error
	switch {
	case errors.Is(context.Cause(ctx), errTimeout):
		return fault.New(fault.Timeout, outcome, "the request took too long").WithRetryAfter(retryAfter).WithCause(err)
	case errors.IsAny(context.Cause(ctx), ErrCallerDisconnected, errResumedElsewhere):
		return fault.New(fault.OutcomeUnknown, outcome, "the caller is gone").WithCause(err)
	case ctx.Err() != nil:
		return fault.New(fault.NodeDraining, outcome, "the node stopped").WithRetryAfter(retryAfter).WithCause(err)
	case errors.Is(err, engine.ErrRejected):
		return fault.New(fault.BadRequest, outcome, "the backend server refused the request as invalid").WithCause(err)
	case errors.Is(err, stream.ErrBudgetExhausted):
		return fault.New(fault.Overloaded, outcome, "the node has no room for the whole answer").
			WithRetryAfter(retryAfter).WithCause(err)
	case errors.As(err, &refusal) && outcome == fault.NotRun && u.failures == 0:
		return refusal
	}
	return fault.New(fault.BackendFailed, outcome, "no backend server completed the request").
		WithRetryAfter(retryAfter).WithCause(err)
}

// reservation permits one attempt on a backend server.
type reservation struct {
	server view.Server
	grant  Grant
	// guardRun is the guard's handle of the attempt, or nil without a guard.
	guardRun *guard.Run
}

// reserve chooses a backend server and acquires a grant for it. It retries with a backoff until the queue
// timeout.
func (u *run) reserve(ctx context.Context) (reservation, *fault.Error) {
	deadline := time.Now().Add(time.Duration(u.r.view().Limits.QueueTimeoutMs) * time.Millisecond)
	backoff := minGrantBackoff
	for {
		rsv, refusal := u.reserveOnce(ctx)
		if refusal == nil {
			return rsv, nil
		}
		if refusal.Code() == fault.CrashLimit || u.pinnedServerTried() || !wait(ctx, backoff/2+rand.N(backoff/2), deadline) {
			return reservation{}, refusal
		}
		backoff = min(2*backoff, maxGrantBackoff)
	}
}

// wait sleeps for d. It returns false if ctx ends first, and at once if d would exceed the deadline.
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

// reserveOnce requests a grant for up to maxGrantRequests backend servers, one after the other.
func (u *run) reserveOnce(ctx context.Context) (reservation, *fault.Error) {
	v := u.r.view()
	w := u.w
	w.Tried = sets.New(sets.Sorted(u.w.Tried)...)
	var busy *fault.Error
	for range maxGrantRequests {
		rsv, refusal := u.choose(ctx, v, w)
		if refusal != nil {
			if busy != nil && refusal.Code() != fault.CrashLimit {
				refusal = busy
			}
			return reservation{}, refusal
		}
		g, err := u.r.deps.Granter.Acquire(ctx, rsv.server, w.PromptTokens+w.MaxTokens)
		if err == nil {
			rsv.grant = g
			return rsv, nil
		}
		if rsv.guardRun != nil {
			rsv.guardRun.NotStarted()
		}
		w.Tried.Add(rsv.server.Name)
		busy = fault.New(fault.Overloaded, fault.NotRun, "no backend server can take the request now").
			WithRetryAfter(retryAfter).WithCause(err)
	}
	return reservation{}, busy
}

// choose picks a backend server other than those that the guard reserves for suspect requests.
func (u *run) choose(ctx context.Context, v *view.View, w RequestInfo) (reservation, *fault.Error) {
	var rsv reservation
	pick := func(avoid sets.Set[string], _ bool) (string, *fault.Error) {
		if avoid.Len() > 0 {
			w.Tried = w.Tried.Union(avoid)
		}
		s, refusal := u.pick(v, w)
		rsv.server = s
		return s.Name, refusal
	}
	if u.r.deps.Guard == nil {
		_, refusal := pick(nil, false)
		return rsv, refusal
	}
	u.rec.mu.Lock()
	mayHaveRun := u.rec.mayHaveRun
	u.rec.mu.Unlock()
	run, refusal := u.r.deps.Guard.Begin(ctx, guard.Request{
		ID: u.c.ID, Fingerprint: u.fingerprint, Parts: u.parts, MayHaveRun: mayHaveRun, Limit: v.Limits.CrashRuns,
	}, pick)
	rsv.guardRun = run
	return rsv, refusal
}

// pick picks a backend server. An answer whose beginning has been dropped can be resumed only by the engine
// that produced it.
func (u *run) pick(v *view.View, w RequestInfo) (view.Server, *fault.Error) {
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

// pinned reports whether only the current backend server can continue the answer, because the beginning of
// the answer has been dropped.
func (u *run) pinned() bool {
	_, ok := u.log.Text()
	return !ok
}

// pinnedServerTried reports whether waiting for a backend server is useless, because the only one that can
// continue the answer has already failed.
func (u *run) pinnedServerTried() bool { return u.pinned() && u.w.Tried.Has(u.log.Server()) }

// serverByName returns the backend server with this name if it is in service.
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
