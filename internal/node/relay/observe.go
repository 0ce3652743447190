package relay

import (
	"context"
	"math/bits"
	"time"

	"geraniumhollow/internal/core/fault"
	"geraniumhollow/internal/plat/engine"
	"geraniumhollow/internal/route/stream"
	"github.com/cockroachdb/errors"
)

// CompletionResult describes a completion that has ended.
type CompletionResult struct {
	RequestID string
	Account   string
	Model     string
	// DataCentre is the data centre of the last backend server that may have run the request, or "" when no
	// server may have run it.
	DataCentre string
	// Code is the error that ended the request, or "" for a complete answer.
	Code    fault.Code
	Outcome fault.Outcome
	// CallerDisconnected is set when the request ended because its caller disconnected or resumed it on another
	// connection.
	CallerDisconnected bool
	// FirstToken is the time from arrival to the first token, or 0 without a token.
	FirstToken time.Duration
	// BetweenTokens is the 95th percentile of the time between tokens, or 0 with fewer than two tokens.
	BetweenTokens time.Duration
	// Elapsed is the time from arrival to the end.
	Elapsed time.Duration
}

// Observer is notified of ended requests and attempts. It is safe for concurrent use and must not block.
type Observer interface {
	// Finished is called for each completion that has ended, with two exceptions: an answer that is delivered
	// from memory has been reported before, and one that is copied from its origin node is reported there.
	Finished(f CompletionResult)
	// Attempted is called for each attempt that has ended.
	Attempted(a AttemptResult)
}

// Cause is why an attempt ended without a complete answer.
type Cause string

// Causes of the end of an attempt.
const (
	CauseNotStarted  Cause = "the backend server did not start it"
	CauseNoAnswer    Cause = "the backend server did not answer"
	CauseBroken      Cause = "the stream of the backend server broke"
	CauseStalled     Cause = "no token came in time"
	CauseRouteClosed Cause = "the route to the backend server closed"
	CauseSlowCaller  Cause = "the caller reads too slowly"
	CauseRejected    Cause = "the backend server refused the request as invalid"
	CauseEnded       Cause = "the request ended"
)

// AttemptResult describes an attempt that has ended.
type AttemptResult struct {
	RequestID string
	Server    string
	// Number counts the attempts since the request was started or resumed, from 1.
	Number int
	// Tokens is the number of tokens of the answer so far.
	Tokens int
	// Cause is empty when the answer is complete.
	Cause Cause
	// WillRetry is set when another attempt will follow, provided that a backend server can take it.
	WillRetry bool
}

// noObserver ignores all notifications.
type noObserver struct{}

func (noObserver) Finished(CompletionResult) {}
func (noObserver) Attempted(AttemptResult)   {}

// reportFinished notifies the observer of the end of the run.
func (u *run) reportFinished(ctx context.Context, ferr *fault.Error) {
	f := CompletionResult{
		RequestID: u.c.ID, Account: u.c.Account.Name, Model: u.c.Model, DataCentre: u.dataCentre, Outcome: fault.Ran,
		FirstToken: u.pace.first, BetweenTokens: u.pace.percentile(), Elapsed: time.Since(u.pace.arrived),
	}
	if ferr != nil {
		f.Code, f.Outcome = ferr.Code(), ferr.Outcome()
		f.CallerDisconnected = errors.IsAny(context.Cause(ctx), ErrCallerDisconnected, errResumedElsewhere)
	}
	u.r.deps.Observer.Finished(f)
}

// reportAttempt notifies the observer of the end of an attempt.
func (u *run) reportAttempt(ctx context.Context, rsv reservation, err error, last bool) {
	u.attemptCount++
	u.r.deps.Observer.Attempted(AttemptResult{
		RequestID: u.c.ID, Server: rsv.server.Name, Number: u.attemptCount, Tokens: u.log.NextOffset(),
		Cause: cause(ctx, err), WillRetry: err != nil && !last,
	})
}

func cause(ctx context.Context, err error) Cause {
	switch {
	case err == nil:
		return ""
	case errors.Is(err, stream.ErrSlowCaller):
		return CauseSlowCaller
	case errors.Is(err, ErrAborted):
		return CauseRouteClosed
	case ctx.Err() != nil:
		return CauseEnded
	case errors.Is(err, errStalled):
		return CauseStalled
	case errors.Is(err, engine.ErrRejected):
		return CauseRejected
	case errors.Is(err, engine.ErrNotStarted):
		return CauseNotStarted
	case errors.Is(err, errNoResponse):
		return CauseNoAnswer
	default:
		return CauseBroken
	}
}

// Histogram buckets of the time between tokens: the first 2*paceSteps are paceUnit wide, followed
// by paceSteps buckets for each doubling. At the usual objective of 36 ms a bucket is 2 ms wide.
const (
	paceUnit    = 250 * time.Microsecond
	paceSteps   = 16
	paceOctaves = 12
	paceBuckets = (paceOctaves + 2) * paceSteps
	// paceRank is the percentile that an objective limits.
	paceRank = 95
)

// pace measures the arrival times of the tokens of one answer in constant memory.
type pace struct {
	arrived time.Time
	first   time.Duration
	// last is when the last token arrived, or zero when the time until the next one is not counted.
	last   time.Time
	gaps   uint32
	counts [paceBuckets]uint32
}

// record counts n tokens that arrived together.
func (p *pace) record(now time.Time, n int) {
	if n == 0 {
		return
	}
	if p.first == 0 {
		p.first = now.Sub(p.arrived)
	}
	if !p.last.IsZero() {
		p.counts[paceBucket(now.Sub(p.last))]++
		p.gaps++
	}
	p.last = now
	p.counts[0] += uint32(n - 1) //nolint:gosec // n is a number of tokens of one frame.
	p.gaps += uint32(n - 1)      //nolint:gosec // As above.
}

// skipNextGap excludes the time until the next token, which is caused by a slow caller.
func (p *pace) skipNextGap() { p.last = time.Time{} }

// percentile returns the 95th percentile of the time between tokens, interpolated within its bucket.
func (p *pace) percentile() time.Duration {
	rank := (uint64(p.gaps)*paceRank + 99) / 100
	var below uint64
	for i, n := range p.counts {
		if n > 0 && below+uint64(n) >= rank {
			low, high := paceBound(i), paceBound(i+1)
			return low + time.Duration(float64(high-low)*float64(rank-below)/float64(n))
		}
		below += uint64(n)
	}
	return 0
}

// paceBucket returns the index of the bucket of a gap; the last bucket also counts all longer gaps.
func paceBucket(d time.Duration) int {
	v := uint64(max(d, 0) / paceUnit)
	if v < 2*paceSteps {
		return int(v) //nolint:gosec // Below 2*paceSteps.
	}
	octave := bits.Len64(v / (2 * paceSteps))
	return min(octave*paceSteps+int(v>>octave), paceBuckets-1) //nolint:gosec // v>>octave is below 2*paceSteps.
}

// paceBound returns the lower bound of a bucket.
func paceBound(i int) time.Duration {
	if i < 2*paceSteps {
		return time.Duration(i) * paceUnit
	}
	octave := i/paceSteps - 1
	return time.Duration((i-octave*paceSteps)<<octave) * paceUnit
}
