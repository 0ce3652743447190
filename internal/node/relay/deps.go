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

// Work is what a request asks of a backend server.
type Work struct {
	RequestID    string
	Account      string
	Priority     int
	Model        string
	Version      string
	Adapter      string
	PromptTokens int
	MaxTokens    int
	// Prefix are the fingerprints of the prompt's leading blocks, shortest prefix first.
	Prefix []uint64
	// Tried are the backend servers that the request must not be sent to again.
	Tried sets.Set[string]
}

// End is what is known of an attempt at the engine after it has ended here.
type End int

const (
	// Unsure means that the engine may still be working on the attempt.
	Unsure End = iota
	// Unused is proof that the engine did not start the attempt.
	Unused
	// Ended means that the engine completed the answer or acknowledged a cancel.
	Ended
)

// Result is what an attempt showed of a backend server.
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
	Pick(v *view.View, w Work) (view.Server, *fault.Error)
	// Started and Ended tell what became of a choice.
	Started(server string, w Work)
	Ended(server string, w Work, r Result)
}

// Gate admits requests. It is safe for concurrent use.
type Gate interface {
	// Enter waits for admission, or returns an error with outcome not_run. leave must be called once.
	Enter(ctx context.Context, v *view.View, w Work) (leave func(), err *fault.Error)
}

// Grant is the right to send one request to one instance of a backend server.
type Grant struct {
	ID     uint64
	Server string
	// Instance is the engine instance that the grant is for; "" allows any.
	Instance string
	Fence    uint64
	// Until is when the right to start a send ends.
	Until time.Time
}

// Granter hands out the shared budgets of backend servers. It is safe for concurrent use.
type Granter interface {
	// Acquire returns a grant, or an error when the backend server cannot take the request now.
	Acquire(ctx context.Context, s view.Server, tokens int) (Grant, error)
	// Release ends a grant, used or not, with what the engine said of itself.
	Release(g Grant, r Result)
}

// Retrier limits the attempts that follow a failed one. It is safe for concurrent use.
type Retrier interface {
	// Began counts a request.
	Began(w Work)
	// Retry reports whether another attempt may follow a failed one.
	Retry(w Work) bool
}

// Ask is a demand for the rest of an answer that a caller has seen a part of.
type Ask struct {
	RequestID string
	// Account is the name of the client account that asks.
	Account string
	// Offset is the first token that the caller lacks.
	Offset int
	// Server is the backend server that gave the last token that the caller has.
	Server string
}

// Origin reaches the nodes that requests began on. It is safe for concurrent use. The asked node
// answers with Relay.ResumeLocal and Relay.Status.
type Origin interface {
	// Resume passes the rest of an answer to sink, on the calling goroutine. It returns ErrOriginUnreachable when the node
	// cannot be asked or its link broke, and else nil or the *fault.Error of the asked node.
	Resume(ctx context.Context, node string, a Ask, sink Sink) error
	// Outcome returns what the node knows of a request, with the same errors.
	Outcome(ctx context.Context, node, requestID, account string) (Status, error)
}

// ErrOriginUnreachable means that the node that a request began on cannot be asked.
var ErrOriginUnreachable = errors.New("origin node cannot be reached")

// Timeouts bound the waits of an attempt. Zero values have defaults.
type Timeouts struct {
	// FirstFrame is the longest wait for the first frame of an attempt, prefill included.
	FirstFrame time.Duration
	// Frame is the longest wait for each later frame.
	Frame time.Duration
}

// Defaults of Timeouts. A first token is due within 2 s and each later one within 36 ms; the bounds
// leave room for a full engine queue and for a long pause of the engine's host.
const (
	defaultFirstFrame = 10 * time.Second
	defaultFrame      = 2 * time.Second
)

// Deps are the parts that a relay decides with. New fills the absent ones with parts that decide
// nothing: round robin, no admission control, no shared budget, retries without a budget and no links
// to other nodes.
type Deps struct {
	// Guard keeps requests apart that are suspected of crashing backend servers; nil keeps none.
	Guard *guard.Guard
	// Node is the name of this node, which request ids carry.
	Node    string
	Picker  Picker
	Gate    Gate
	Granter Granter
	Retrier Retrier
	Origin  Origin
	// Observer is told of requests; nil for none.
	Observer Observer
	Timeouts Timeouts
}

func (d Deps) withDefaults() Deps {
	if d.Picker == nil {
		d.Picker = &roundRobin{}
	}
	if d.Gate == nil {
		d.Gate = openGate{}
	}
	if d.Granter == nil {
		d.Granter = freeGrants{}
	}
	if d.Retrier == nil {
		d.Retrier = freeRetries{}
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

// roundRobin takes the servers of a model in turn.
type roundRobin struct {
	next atomic.Uint64
}

func (p *roundRobin) Pick(v *view.View, w Work) (view.Server, *fault.Error) {
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

func (*roundRobin) Started(string, Work)       {}
func (*roundRobin) Ended(string, Work, Result) {}

// openGate admits everything.
type openGate struct{}

func (openGate) Enter(context.Context, *view.View, Work) (func(), *fault.Error) {
	return func() {}, nil
}

// freeGrants grants everything.
type freeGrants struct{}

func (freeGrants) Acquire(_ context.Context, s view.Server, _ int) (Grant, error) {
	return Grant{Server: s.Name}, nil
}

func (freeGrants) Release(Grant, Result) {}

// freeRetries allows every retry.
type freeRetries struct{}

func (freeRetries) Began(Work) {}

func (freeRetries) Retry(Work) bool { return true }

// noOrigin reaches no other node.
type noOrigin struct{}

func (noOrigin) Resume(context.Context, string, Ask, Sink) error { return ErrOriginUnreachable }

func (noOrigin) Outcome(context.Context, string, string, string) (Status, error) {
	return Status{}, ErrOriginUnreachable
}
