// Package pass relays requests without parsing their bodies: it resolves the route of a request and the
// account of its caller, has a backend server picked, and forwards the response as it arrives.
//
// If the route allows it, an event stream that breaks off is resumed on another backend server within the
// same response. A request that must not run twice is retried only with proof that it did not start.
package pass

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"geraniumhollow/internal/core/fault"
	"geraniumhollow/internal/core/sets"
	"geraniumhollow/internal/fleet/index"
	"geraniumhollow/internal/node/front"
	"geraniumhollow/internal/plat/conns"
	"geraniumhollow/internal/report/metric"
	"geraniumhollow/internal/route/match"
	"geraniumhollow/internal/route/retry"
	"geraniumhollow/internal/route/shed"
	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/valyala/fasthttp"
)

// Reservation is a slot on a backend server that is reserved for one attempt.
type Reservation interface {
	// Entry returns the server.
	Entry() *index.Entry
	// Conns returns the connection pool of the server.
	Conns() *conns.Pool
	// Progress records that part of the response has arrived.
	Progress()
	// HeadersReceived records the metadata in the response headers.
	HeadersReceived(a ResponseInfo)
	// Release frees the slot.
	Release(o Outcome)
	// Selection returns the data that the choice of the server was based on, and the measured time to the first byte.
	Selection() Selection
}

// Selection holds the data that the choice of a server was based on, for the log.
type Selection struct {
	Group string
	Epoch uint64
	// ExpectedFirstByte is the estimated time to the first byte.
	ExpectedFirstByte time.Duration
	// Running and Waiting are the server's last reported numbers of requests, LoadAge is the age of that report.
	Running int
	Waiting int
	LoadAge time.Duration
	// FirstByte is the measured time to the first byte, 0 if none arrived.
	FirstByte time.Duration
}

// Outcome is the result of an attempt.
type Outcome string

// Outcomes of attempts.
const (
	// Served means that the complete response arrived.
	Served Outcome = "served"
	// NotRun means that the server provably did not start the request.
	NotRun Outcome = "not_run"
	// Refused means that nothing listens at the address of the server, so that nothing was sent.
	Refused Outcome = "refused"
	// Failed means that the response broke off or reported a failure.
	Failed Outcome = "failed"
	// Cancelled means that this node ended the attempt, because the caller disconnected or the deadline passed.
	Cancelled Outcome = "withdrawn"
	// Stalled means that the server made no progress for too long.
	Stalled Outcome = "stalled"
)

// Picker picks backend servers for calls. It is safe for concurrent use.
type Picker interface {
	// Pick reserves a slot on a backend server outside tried, or returns the reason for refusing the call. It may
	// block. The picker calls onSilent with ErrStalled, at times again, while the server makes no progress.
	Pick(ctx context.Context, c *Call, tried sets.Set[string], onSilent context.CancelCauseFunc) (Reservation, *fault.Error)
}

// Deps are the dependencies of a relay. All are required, unless noted otherwise.
type Deps struct {
	Codec Codec
	// Table returns the current configuration, or nil if none is loaded yet.
	Table  func() *match.Table
	Picker Picker
	// Detour passes calls on to other nodes; nil if there are none.
	Detour  Detour
	Crashes *CrashTracker
	// Began is called with the account of each call that a backend server began to run, "" for none. It may be nil.
	Began func(account string)
	// Budget returns the retry budget of a service.
	Budget  func(service string) *retry.Budget
	Metrics *metric.Set
	Log     hclog.Logger
	// Demand observes the calls of callers; nil if nobody does.
	Demand DemandObserver
	// Answers is the memory for what is held of answers; nil for no limit.
	Answers *shed.Budget
}

// Relay serves calls. It implements front.Handler.
type Relay struct {
	deps Deps
}

var (
	_ front.Handler       = (*Relay)(nil)
	_ front.HeaderChecker = (*Relay)(nil)
)

// New returns a relay with the given dependencies.
func New(d Deps) *Relay { return &Relay{deps: d} }

// Handle implements front.Handler.
func (r *Relay) Handle(ctx context.Context, req *front.Request, w *front.Writer) {
	r.handle(ctx, req, w, nil)
}

// RefuseByHeader implements front.HeaderChecker. A request is refused as it would be with its body.
func (r *Relay) RefuseByHeader(req *front.Request, w *front.Writer) bool {
	c, refusal := r.resolveHeader(req, nil)
	if refusal == nil {
		return false
	}
	r.refuse(w, c, refusal)
	return true
}

// handle handles a call of a caller, or one that another node has passed on.
func (r *Relay) handle(ctx context.Context, req *front.Request, w *front.Writer, hop *hopRequest) {
	c, refusal := r.resolve(req, hop)
	if refusal != nil {
		r.refuse(w, c, refusal)
		return
	}
	if refused, n := r.deps.Crashes.Refused(crashFingerprint(c)); refused {
		r.refuse(w, c, fault.New(fault.Overloaded, fault.NotRun, "the request has crashed backend servers").
			WithRetryAfter(retryAfterCrash).WithCause(errors.Newf("%d servers died while running it", n)))
		return
	}
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	if r.deps.Demand != nil && hop == nil { // The node that passed a call on observes it.
		r.deps.Demand.Arrived(c)
	}
	r.serve(ctx, c, w)
}

// Values of Retry-After and the default timeout.
const (
	// retryAfterNotReady is for a node without a configuration and for a route without a service.
	retryAfterNotReady = 500 * time.Millisecond
	// retryAfterCrash is for a request that crashes backend servers. It is long to protect other requests from retries.
	retryAfterCrash = 30 * time.Second
	// minDelay is the time at the node that passed a call on from which the call counts as delayed.
	minDelay = 50 * time.Millisecond
	// defaultTimeout is for requests without a timeout on routes without one.
	defaultTimeout = 10 * time.Second
)

// resolve finds the route, the account and the service of a request. On an error, the call holds the fields that were
// resolved before it.
func (r *Relay) resolve(req *front.Request, hop *hopRequest) (*Call, *fault.Error) {
	c, refusal := r.resolveHeader(req, hop)
	if refusal == nil {
		c.Fingerprint = fingerprint(c.Account, req)
	}
	return c, refusal
}

// resolveHeader does what resolve does without the body of the request.
func (r *Relay) resolveHeader(req *front.Request, hop *hopRequest) (*Call, *fault.Error) {
	c := &Call{Arrived: req.Arrived, req: req, hop: hop, began: new(atomic.Bool)}
	table := r.deps.Table()
	if table == nil {
		return c, fault.New(fault.NodeIsolated, fault.NotRun, "the node has no configuration yet").WithRetryAfter(retryAfterNotReady)
	}
	m, err := r.deps.Codec.DecodeRequest(req.Header)
	if err != nil {
		return c, fault.New(fault.BadRequest, fault.NotRun, "a header is missing or malformed").WithCause(err)
	}
	c.RequestInfo, c.config = m, table.Version()
	if hop != nil {
		// The timeout that arrives is what is left.
		c.Arrived = c.Arrived.Add(-hop.elapsed)
		c.Timeout += hop.elapsed
		c.Delayed = hop.attempts > 0 || hop.elapsed >= minDelay
	}
	route := table.Route(string(req.Header.Host()), requestPath(req.Header.RequestURI()))
	if route == nil {
		return c, fault.New(fault.NotFound, fault.NotRun, "no route for this host and path")
	}
	c.Route, c.Priority = route, route.Priority
	if table.HasAccounts() && !route.Public {
		a := table.Account(m.Key)
		if a == nil {
			return c, fault.New(fault.Unauthorized, fault.NotRun, "the key is not known")
		}
		c.Account = a.Name
		if a.HasPriority {
			c.Priority = a.Priority
		}
	}
	c.Service = table.Service(route.PickService(rand.Float64()))
	if c.Service == nil {
		return c, fault.New(fault.NoBackend, fault.NotRun, "the route leads to no service").WithRetryAfter(retryAfterNotReady)
	}
	c.Prioritized = table.Prioritized(c.Service.Name)
	c.Deadline = callDeadline(c)
	return c, nil
}

func callDeadline(c *Call) time.Time {
	timeout := c.Timeout
	if t := c.Route.Timeout; t > 0 && (timeout <= 0 || t < timeout) {
		timeout = t
	}
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	return c.Arrived.Add(timeout)
}

// refuse responds with an error that this node generated.
func (r *Relay) refuse(w *front.Writer, c *Call, ferr *fault.Error) {
	d := time.Since(c.Arrived)
	r.deps.Metrics.Refused(ferr.Code())
	r.requestEnded(c, ferr.Code(), d)
	route, version := "", uint64(0)
	if c.Route != nil {
		route = c.Route.Name
	}
	if t := r.deps.Table(); t != nil {
		version = t.Version()
	}
	r.deps.Log.Info("refused a request", "request", c.ID, "route", route, "code", ferr.Code(), "outcome", ferr.Outcome(),
		"retry_after_ms", ferr.RetryAfter().Milliseconds(), "returned", c.Route != nil && c.IsCallerRetry(), "config", version,
		"ms", d.Milliseconds(), "reason", ferr)
	if c.hop != nil {
		RefuseForwarded(w, ferr)
		return
	}
	w.Refuse(ferr.Status(), func(h *fasthttp.ResponseHeader) {
		if after := ferr.RetryAfter(); after > 0 {
			h.Set(fasthttp.HeaderRetryAfter, formatSeconds(after))
		}
	}, []byte(ferr.Message()))
}

// requestEnded counts a call of a caller that has ended.
func (r *Relay) requestEnded(c *Call, code fault.Code, d time.Duration) {
	// The node that passed a call on counts it.
	if c.hop == nil {
		r.deps.Metrics.RequestEnded(code, d)
	}
}
