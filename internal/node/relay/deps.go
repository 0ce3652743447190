package relay

import (
	"context"
	"sync/atomic"
	"time"

	"geraniumhollow/internal/conf/view"
	"geraniumhollow/internal/core/fault"
	"geraniumhollow/internal/core/sets"
	"geraniumhollow/internal/plat/engine"
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

// Result is what an attempt showed of a backend server.
type Result struct {
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

// Deps are the parts that a relay decides with. New fills the absent ones with parts that decide
// nothing: round robin, no admission control and no shared budget.
type Deps struct {
	Picker  Picker
	Gate    Gate
	Granter Granter
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
	return d
}

// roundRobin takes the servers of a model in turn.
type roundRobin struct {
	next atomic.Uint64
}

func (p *roundRobin) Pick(v *view.View, w Work) (view.Server, *fault.Error) {
	servers := v.Servers(w.Model)
	for range servers {
		s := servers[int(p.next.Add(1))%len(servers)]
		if !w.Tried.Has(s.Name) {
			return s, nil
		}
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
