package relay

import (
	"context"
	"sync/atomic"
	"time"

	"geraniumhollow/internal/conf/view"
	"geraniumhollow/internal/core/fault"
	"geraniumhollow/internal/core/sets"
	"geraniumhollow/internal/node/guard"
	"geraniumhollow/internal/plat/engine"
	"github.com/cockroachdb/errors"
)

// RequestInfo holds the properties of a request that the Picker, the Gate and the Retrier decide by.
type RequestInfo struct {
	RequestID    string
	Account      string
	Priority     int
	Model        string
	Version      string
	Adapter      string
	PromptTokens int
	MaxTokens    int
	// Prefix holds the fingerprints of the prompt's leading blocks, shortest prefix first.
	Prefix []uint64
	// Tried holds the backend servers that the request must not be sent to again.
	Tried sets.Set[string]
}

// End is what this node knows about the state of an ended attempt at the engine.
type End int

const (
	// EndUnknown means that the engine may still be working on the attempt.
	EndUnknown End = iota
	// EndNotStarted means that the engine provably did not start the attempt.
	EndNotStarted
	// EndConfirmed means that the engine completed the answer or acknowledged a cancel.
	EndConfirmed
)

// Result is what an attempt reveals about its backend server.
type Result struct {
	End          End
	Instance     string
	State        engine.State
	Failed       bool
	FirstToken   time.Duration
	PromptTokens int
	CachedTokens int
}

// Picker chooses backend servers. It is safe for concurrent use.
type Picker interface {
	// Pick returns the backend server for the next attempt, or an error with outcome not_run.
	Pick(v *view.View, w RequestInfo) (view.Server, *fault.Error)
	// Started and Ended report the start and the end of an attempt on a picked server.
	Started(server string, w RequestInfo)
	Ended(server string, w RequestInfo, r Result)
}

// Gate admits requests. It is safe for concurrent use.
type Gate interface {
	// Enter blocks until the request is admitted, or returns an error with outcome not_run. The caller must
	// call leave once when the request has ended.
	Enter(ctx context.Context, v *view.View, w RequestInfo) (leave func(), err *fault.Error)
}

// Grant permits one request to one instance of a backend server.
type Grant struct {
	ID     uint64
	Server string
	// Instance is the engine instance that the grant is for; "" allows any.
	Instance string
	// Fence is the fencing token of the owner that issued the grant.
	Fence uint64
	// ExpiresAt is the time after which the request must not be sent any more.
	ExpiresAt time.Time
}

// Granter issues grants from the shared budgets of backend servers. It is safe for concurrent use.
type Granter interface {
	// Acquire returns a grant, or an error when the backend server cannot take the request now.
	Acquire(ctx context.Context, s view.Server, tokens int) (Grant, error)
	// Release returns a grant, used or not, with the result of its attempt.
	Release(g Grant, r Result)
}

// Retrier limits the attempts that follow a failed one. It is safe for concurrent use.
type Retrier interface {
	// RequestStarted counts a request that starts its first attempt.
	RequestStarted(w RequestInfo)
	// Retry reports whether another attempt may follow a failed one.
	Retry(w RequestInfo) bool
}

// ResumeRequest requests the rest of an answer of which the caller has received a part.
type ResumeRequest struct {
	RequestID string
	// Account is the name of the requesting client account.
	Account string
	// Offset is the index of the first token that the caller has not received.
	Offset int
	// Server is the backend server that produced the last token that the caller received.
	Server string
}

// Origin queries the origin node of a request, which is the node that received it first. It is safe for
// concurrent use. The origin node answers with Relay.ResumeLocal and Relay.Status.
type Origin interface {
	// Resume passes the rest of an answer to sink, on the calling goroutine. It returns ErrOriginUnreachable
	// when the node cannot be reached or the connection broke, and otherwise nil or the node's *fault.Error.
	Resume(ctx context.Context, node string, a ResumeRequest, sink Sink) error
	// Outcome returns the status of a request at the node, with the same errors as Resume.
	Outcome(ctx context.Context, node, requestID, account string) (Status, error)
}

// ErrOriginUnreachable means that the origin node of a request cannot be reached.
var ErrOriginUnreachable = errors.New("origin node cannot be reached")

// Timeouts limit the waits of an attempt. Zero values select the defaults.
type Timeouts struct {
	// FirstFrame is the longest wait for the first frame of an attempt, prefill included.
	FirstFrame time.Duration
	// Frame is the longest wait for each later frame.
	Frame time.Duration
}

// Defaults of Timeouts. The objectives are 2 s for the first token and 36 ms for each later one; the
// timeouts leave room for a full engine queue and for a long pause of the engine's host.
const (
	defaultFirstFrame = 10 * time.Second
	defaultFrame      = 2 * time.Second
)

// Deps are the dependencies of a relay. New replaces missing ones by defaults: round robin, no admission
// control, no shared budget, no retry budget, no other nodes and no observer.
type Deps struct {
	// Guard isolates requests that are suspected of crashing backend servers; nil disables this.
	Guard *guard.Guard
	// Node is the name of this node. Request IDs contain it.
	Node    string
	Picker  Picker
	Gate    Gate
	Granter Granter
	Retrier Retrier
	Origin  Origin
	// Observer is notified of ended requests and attempts; nil for none.
	Observer Observer
	Timeouts Timeouts
}

func (d Deps) withDefaults() Deps {
	if d.Picker == nil {
		d.Picker = &roundRobin{}
	}
	if d.Gate == nil {
		d.Gate = admitAll{}
	}
	if d.Granter == nil {
		d.Granter = unlimitedGrants{}
	}
	if d.Retrier == nil {
		d.Retrier = unlimitedRetries{}
	}
	if d.Origin == nil {
		d.Origin = noOrigin{}
	}
	if d.Observer == nil {
		d.Observer = noObserver{}
	}
	if d.Timeouts.FirstFrame == 0 {
		d.Timeouts.FirstFrame = defaultFirstFrame
	}
	if d.Timeouts.Frame == 0 {
		d.Timeouts.Frame = defaultFrame
	}
	return d
}

// roundRobin picks the servers of a model in turn.
type roundRobin struct {
	next atomic.Uint64
}

func (p *roundRobin) Pick(v *view.View, w RequestInfo) (view.Server, *fault.Error) {
	servers := v.Servers(w.Model)
	for range servers {
		s := servers[p.next.Add(1)%uint64(len(servers))]
		if w.Tried.Has(s.Name) || (w.Version != "" && s.Version != w.Version) ||
			(w.Adapter != "" && !s.Adapters.Has(w.Adapter)) {
			continue
		}
		return s, nil
	}
	return view.Server{}, fault.New(fault.NoBackend, fault.NotRun, "no backend server offers the model").
		WithRetryAfter(retryAfter)
}

func (*roundRobin) Started(string, RequestInfo)       {}
func (*roundRobin) Ended(string, RequestInfo, Result) {}

// admitAll admits every request.
type admitAll struct{}

func (admitAll) Enter(context.Context, *view.View, RequestInfo) (func(), *fault.Error) {
	return func() {}, nil
}

// unlimitedGrants grants every request.
type unlimitedGrants struct{}

func (unlimitedGrants) Acquire(_ context.Context, s view.Server, _ int) (Grant, error) {
	return Grant{Server: s.Name}, nil
}

func (unlimitedGrants) Release(Grant, Result) {}

// unlimitedRetries allows every retry.
type unlimitedRetries struct{}

func (unlimitedRetries) RequestStarted(RequestInfo) {}

func (unlimitedRetries) Retry(RequestInfo) bool { return true }

// noOrigin reports every origin node as unreachable.
type noOrigin struct{}

func (noOrigin) Resume(context.Context, string, ResumeRequest, Sink) error {
	return ErrOriginUnreachable
}

func (noOrigin) Outcome(context.Context, string, string, string) (Status, error) {
	return Status{}, ErrOriginUnreachable
}
