package pass

import (
	"context"
	"io"
	"time"

	"geraniumhollow/internal/core/fault"
	"geraniumhollow/internal/core/sets"
	"geraniumhollow/internal/node/front"
	"geraniumhollow/internal/route/crash"
	"geraniumhollow/internal/route/match"
	"geraniumhollow/internal/route/retry"
	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// Errors that end an attempt.
var (
	// ErrStalled is the cause when a backend server makes no progress.
	ErrStalled = errors.New("backend server makes no progress")
	// errHeaderLate is the cancellation cause when the header of the response is late.
	errHeaderLate = errors.New("header of the response is late")
	// errCallerWrite marks errors of writing to the caller.
	errCallerWrite = errors.New("cannot write to the caller")
)

// callState is the state of a call across its attempts.
type callState struct {
	relay *Relay
	call  *Call
	w     *front.Writer
	// parts are the shared parts of the prompt; runID is the crash tracker's ID of the current attempt.
	parts []crash.Part
	runID crash.RunID
	// forked is set in a copy of the state for attempts beside the one at a silent server. started then reports whether the
	// caller may have received part of the response, attemptsAtFork and refusedAtFork are attempts and refusedResumes of then.
	forked, started               bool
	attemptsAtFork, refusedAtFork int
	// hedge makes attempts beside the current one.
	hedge *hedge
	// failure is the last failure response to an attempt beside the current one.
	failure *failureResponse
	// tried holds the IDs of servers that have refused or failed the call.
	tried sets.Set[string]
	// triedNodes are the nodes that did not take the call or failed it.
	triedNodes sets.Set[string]
	// last is the result of the last attempt that was sent, or could not be.
	last attemptResult
	// broken is set if the last attempt at a server broke off.
	broken bool
	// counted is set once the call has been counted in the retry budget of this node.
	counted bool
	// attempts is the number of attempts that were sent.
	attempts int
	// refusedResumes is the number of attempts to resume the response that servers refused without running the request.
	refusedResumes int
	// mayHaveRun is set once a backend server may have run the request.
	mayHaveRun bool
	// began is set once the current attempt has received response headers, with which a server begins to answer;
	// eventsBefore is the number of events of the attempts before.
	began        bool
	eventsBefore int
	// gotFirstByte is set once part of a response body has arrived.
	gotFirstByte bool
	// firstByte is the time from the arrival of the call until then. lacksRoom is set if no server had room for the last attempt.
	firstByte time.Duration
	lacksRoom bool
	// mediaType is the type of the response that the caller receives.
	mediaType string
	events    eventParser
}

// serve makes attempts until one succeeds or the retry rules allow no more.
func (r *Relay) serve(ctx context.Context, c *Call, w *front.Writer) {
	s := &callState{relay: r, call: c, w: w, parts: promptParts(c), tried: sets.New[string](), triedNodes: sets.New[string]()}
	if c.hop != nil {
		s.attempts = c.hop.attempts
	}
	if c.LastEventID != "" {
		s.events.resumeFrom(c.LastEventID)
	}
	budget := r.deps.Budget(c.Service.Name)
	defer s.observeEnd()
	defer func() { s.failure.drop() }()
	for s.serveOnce(ctx, budget) {
	}
}

// serveOnce makes an attempt, ends the call if no other one follows, and reports whether one does.
func (s *callState) serveOnce(ctx context.Context, budget *retry.Budget) bool {
	c := s.call
	res := s.attempt(ctx)
	defer res.failureResponse.drop()
	if res.server != "" {
		s.last = res
	}
	if res.done {
		code := fault.Code("")
		if res.aborted {
			code = fault.BackendFailed
			s.logCut(ctx, abortReason(res.err), res.err)
		}
		s.relay.requestEnded(c, code, time.Since(c.Arrived))
		return false
	}
	if res.refusal != nil {
		s.finishWithError(ctx, res.refusal, refusalReason(res.refusal))
		return false
	}
	v := retry.Decide(time.Now(), s.retryInput(res), budget)
	s.logDecision("decided on another attempt", res, v)
	if v.Retry {
		s.relay.deps.Metrics.Retried()
		return true
	}
	s.finishFailed(ctx, res, v)
	return false
}

// logDecision logs whether another attempt is made after one that ended with a result.
func (s *callState) logDecision(msg string, res attemptResult, v retry.Decision) {
	s.relay.deps.Log.Info(msg, "request", s.call.ID, "attempt", s.attempts, "retry", v.Retry, "reason", v.Reason,
		"not_run", res.outcome == NotRun || res.outcome == Refused, "left_ms", time.Until(s.call.Deadline).Milliseconds())
}

// countRequest counts the call in the retry budget of the node that makes the first attempt.
func (s *callState) countRequest() {
	if !s.counted && s.attempts == 0 {
		s.relay.deps.Budget(s.call.Service.Name).Request(time.Now())
	}
	s.counted = true
}

// answering reports whether the caller may have received part of the response.
func (s *callState) answering() bool {
	if s.forked {
		return s.started
	}
	return s.w.Started()
}

// maxRefusedResumes is the number of refusedResumes that do not count against the maximum number of attempts.
const maxRefusedResumes = 3

// countedAttempts returns the number of attempts that count against maxAttempts. Servers that refuse to resume a response
// do not: unlike a call without a response, this one could not be refused in turn, only cut.
func (s *callState) countedAttempts() int {
	return s.attempts - min(s.refusedResumes, maxRefusedResumes)
}

func (s *callState) maxAttempts() int { return max(1, s.call.Route.MaxAttempts) }

// retryInput returns the input of the retry decision.
func (s *callState) retryInput(res attemptResult) retry.Attempt {
	return retry.Attempt{
		Number:          s.countedAttempts(),
		MaxAttempts:     s.maxAttempts(),
		NotStarted:      res.outcome == NotRun || res.outcome == Refused,
		NotSent:         res.notSent,
		MayHaveRun:      s.mayHaveRun,
		Idempotent:      s.call.Route.Repeatable(),
		DeliveredTokens: s.events.count,
		Resumable:       s.call.Route.Resumable,
		TimeLeft:        time.Until(s.call.Deadline),
	}
}

// attemptResult is the result of an attempt.
type attemptResult struct {
	// done is set if the response to the caller has ended.
	done bool
	// aborted is set if the caller received an incomplete response.
	aborted bool
	refusal *fault.Error
	outcome Outcome
	// notSent is set if no byte of the request was sent to the server.
	notSent bool
	// server and group are the ID and the group of the server, or the address of another node.
	server string
	group  string
	err    error
	// failureResponse is a failure response of a backend server, which is forwarded if no further attempt is made.
	failureResponse *failureResponse
}

// failureResponse is a response with a failure status of a backend server. hold is the memory of the body.
type failureResponse struct {
	header *fasthttp.ResponseHeader
	body   []byte
	hold   hold
}

// read reads a body of up to maxFailureBodyBytes.
func (f *failureResponse) read(r io.Reader) error {
	for {
		if len(f.body) == cap(f.body) {
			size := min(max(copyBufferBytes, 2*cap(f.body)), maxFailureBodyBytes+1)
			if err := f.hold.resize(len(f.body), size); err != nil {
				return err
			}
			f.body = append(make([]byte, 0, size), f.body...)
		}
		n, err := r.Read(f.body[len(f.body):cap(f.body)])
		f.body = f.body[:len(f.body)+n]
		switch {
		case len(f.body) > maxFailureBodyBytes:
			return errors.Newf("failure response has more than %d bytes", maxFailureBodyBytes)
		case errors.Is(err, io.EOF):
			return f.hold.complete()
		case err != nil:
			return errors.Newf("read failure response: %w", err)
		}
	}
}

// drop returns the memory of a failure response, unless it is nil, that is not needed any more.
func (f *failureResponse) drop() {
	if f != nil {
		f.body = nil
		f.hold.close()
	}
}

// finishFailed ends a call whose last attempt failed.
func (s *callState) finishFailed(ctx context.Context, res attemptResult, v retry.Decision) {
	if res.failureResponse != nil && !s.w.Started() {
		s.markAnswer(res.failureResponse.header)
		s.w.Start(res.failureResponse.header)
		if err := s.w.Write(res.failureResponse.body); err == nil {
			err = s.w.End()
			s.logWriteError(err)
		}
		return
	}
	if v.Outcome == fault.NotRun {
		s.lacksRoom = true
		s.finishWithError(ctx, fault.New(fault.Overloaded, fault.NotRun, "no backend server took the request").
			WithRetryAfter(retryAfterRefused).WithCause(res.err), string(v.Reason))
		return
	}
	s.finishWithError(ctx, fault.New(fault.BackendFailed, fault.Unknown, "the backend server failed").WithCause(res.err), string(v.Reason))
}

// retryAfterRefused is the Retry-After of a request that backend servers refused.
const retryAfterRefused = 300 * time.Millisecond

// finishWithError ends a call with an error that this node generated. If a backend server may have run the request,
// the error does not claim that it did not run. reason is why no other attempt follows.
func (s *callState) finishWithError(ctx context.Context, ferr *fault.Error, reason string) {
	switch {
	case s.w.Started():
		s.relay.requestEnded(s.call, ferr.Code(), time.Since(s.call.Arrived))
		s.logCut(ctx, reason, ferr)
		s.w.Abort()
	case errors.Is(context.Cause(ctx), front.ErrCallerDisconnected):
		d := time.Since(s.call.Arrived)
		s.relay.requestEnded(s.call, fault.Timeout, d)
		s.relay.deps.Log.Info("caller left", "request", s.call.ID, "attempts", s.attempts, "events", s.events.count, "ms", d.Milliseconds(), "reason", ferr)
		s.w.Abort()
	case s.mayHaveRun && ctx.Err() != nil:
		s.relay.refuse(s.w, s.call, fault.New(fault.Timeout, fault.Unknown, "the time is up").WithCause(ferr))
	case s.mayHaveRun:
		s.relay.refuse(s.w, s.call, fault.New(fault.BackendFailed, fault.Unknown, "the backend server failed").WithCause(ferr))
	default:
		s.relay.refuse(s.w, s.call, ferr)
	}
}

func (s *callState) logWriteError(err error) {
	if err != nil {
		s.relay.deps.Log.Info("cannot write to the caller", "request", s.call.ID, "error", err)
	}
}

// headerDeadline returns the time by which the response headers should arrive. Then, another attempt is made.
func (s *callState) headerDeadline() time.Time {
	if s.call.Route.Kind != match.Idempotent {
		return s.call.Deadline
	}
	// Leave part of the remaining time for another attempt.
	left := time.Until(s.call.Deadline)
	if s.attempts >= s.call.Route.MaxAttempts {
		return s.call.Deadline
	}
	return time.Now().Add(min(left/2, max(s.call.Route.Objective, minHeaderTimeout)))
}

// minHeaderTimeout is a lower bound of the time for response headers, unless half of the remaining time is less.
const minHeaderTimeout = 200 * time.Millisecond
