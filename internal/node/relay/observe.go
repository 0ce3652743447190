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

// Finished is what a completion showed that has ended.
type Finished struct {
	RequestID string
	Account   string
	Model     string
	// DataCentre is that of the last backend server that may have run the request, or "" when none did.
	DataCentre string
	// Code is the error that ended the request, or "" for a whole answer.
	Code    fault.Code
	Outcome fault.Outcome
	// CallerGone is set when the request ended because its caller went away or resumed it elsewhere.
	CallerGone bool
	// FirstToken is the time from arrival to the first token, or 0 without a token.
	FirstToken time.Duration
	// BetweenTokens is the 95th percentile of the time between tokens, or 0 with less than two tokens.
	BetweenTokens time.Duration
	// Elapsed is the time from arrival to the end.
	Elapsed time.Duration
}

// Observer is told what becomes of requests. It is safe for concurrent use and returns at once.
type Observer interface {
	// Finished is told of each completion that has ended. Answers that were delivered from memory or by
	// the node that they began on are left out, since that has been told before or there.
	Finished(f Finished)
	// Attempted is told of each attempt that has ended here.
	Attempted(a Attempted)
}

// Cause is why an attempt ended without the whole answer.
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

// Attempted is what became of one attempt.
type Attempted struct {
	RequestID string
	Server    string
	// Number counts the attempts since the request began or was resumed, from 1.
	Number int
	// Tokens are those of the answer so far.
	Tokens int
	// Cause is empty when the answer is whole.
	Cause Cause
	// Again is set when another attempt follows if a backend server can take it.
	Again bool
}

// noObserver ignores what it is told.
type noObserver struct{}

func (noObserver) Finished(Finished)   {}
func (noObserver) Attempted(Attempted) {}

// finished tells the observer of the end of a run.
func (u *run) finished(ctx context.Context, ferr *fault.Error) {
	f := Finished{
		RequestID: u.c.ID, Account: u.c.Account.Name, Model: u.c.Model, DataCentre: u.dataCentre, Outcome: fault.Ran,
		FirstToken: u.pace.first, BetweenTokens: u.pace.percentile(), Elapsed: time.Since(u.pace.arrived),
	}
	if ferr != nil {
		f.Code, f.Outcome = ferr.Code(), ferr.Outcome()
		f.CallerGone = errors.IsAny(context.Cause(ctx), ErrCallerGone, errTakenOver)
	}
	u.r.deps.Observer.Finished(f)
}

// attempted tells the observer of the end of an attempt.
func (u *run) attempted(ctx context.Context, p place, err error, last bool) {
	u.tries++
	u.r.deps.Observer.Attempted(Attempted{
		RequestID: u.c.ID, Server: p.server.Name, Number: u.tries, Tokens: u.log.End(),
		Cause: cause(ctx, err), Again: err != nil && !last,
	})
}

func cause(ctx context.Context, err error) Cause {
	switch {
	case err == nil:
		return ""
	case errors.Is(err, stream.ErrFull):
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
	case errors.Is(err, errNoStream):
		return CauseNoAnswer
	default:
		return CauseBroken
	}
}

// Buckets of the time between tokens: steps of paceUnit up to 2*paceSteps of them, then paceSteps buckets
// for each doubling. The width at the usual objective of 36 ms is 2 ms.
const (
	paceUnit    = 250 * time.Microsecond
	paceSteps   = 16
	paceOctaves = 12
	paceBuckets = (paceOctaves + 2) * paceSteps
	// paceRank is the percentile that an objective bounds.
	paceRank = 95
)

// pace measures when the tokens of one answer arrive, in fixed memory.
type pace struct {
	arrived time.Time
	first   time.Duration
	// last is when the last token came, or zero when the time until the next one does not count.
	last   time.Time
	gaps   uint32
	counts [paceBuckets]uint32
}

// tokens counts n tokens that came together.
func (p *pace) tokens(now time.Time, n int) {
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

// pause leaves out the time until the next token, which a slow caller is the reason for.
func (p *pace) pause() { p.last = time.Time{} }

// percentile returns the 95th percentile of the gaps, interpolated within its bucket.
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

// paceBucket returns the bucket of a gap; the last one also has all longer gaps.
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
