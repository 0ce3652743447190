// Package pass relays requests whose content it does not read: it finds the route of a request and the
// account of its caller, has a backend server chosen, and passes on the answer as it arrives.
//
// An answer of events that breaks off is resumed at another backend server within the same answer, if
// the route allows it. Only proof that a request did not start lets one run again that may run only once.
package pass

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"geraniumhollow/internal/core/fault"
	"geraniumhollow/internal/core/sets"
	"geraniumhollow/internal/fleet/index"
	"geraniumhollow/internal/node/front"
	"geraniumhollow/internal/plat/conns"
	"geraniumhollow/internal/report/metric"
	"geraniumhollow/internal/route/match"
	"geraniumhollow/internal/route/retry"
	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/valyala/fasthttp"
)

// Seat is a place at a backend server that a call has been given.
type Seat interface {
	// Entry is the server.
	Entry() *index.Entry
	// Conns are the connections to it.
	Conns() *conns.Pool
	// Progress notes that bytes of the answer have arrived.
	Progress()
	// Answered notes what the headers of the answer say.
	Answered(a Answer)
	// Leave gives the place back.
	Leave(o Outcome)
	// Facts returns what the choice of the server was based on, and what came of it.
	Facts() Facts
}

// Facts are what a place was chosen by.
type Facts struct {
	Group string
	Epoch uint64
	// Estimate is the time to the first bytes that was expected.
	Estimate time.Duration
	// Running and Waiting are the requests at the server as it last said, LoadAge is how old that was.
	Running int
	Waiting int
	LoadAge time.Duration
	// First is the time to the first bytes, 0 for none.
	First time.Duration
}

// Outcome is how an attempt ended.
type Outcome string

// Outcomes of attempts.
const (
	// Served means that the whole answer arrived.
	Served Outcome = "served"
	// NotRun is proof that the server did not start the request.
	NotRun Outcome = "not_run"
	// Failed means that the server broke off, or answered that it failed.
	Failed Outcome = "failed"
	// Withdrawn means that the attempt was ended here, because the caller left.
	Withdrawn Outcome = "withdrawn"
	// Stalled means that nothing came for too long.
	Stalled Outcome = "stalled"
)

// Seats gives calls places at backend servers. It is safe for concurrent use.
type Seats interface {
	// Take returns a place, or why there is none. It may wait. cancel is called when the server of the
	// seat is found to make no progress.
	Take(ctx context.Context, c *Call, tried sets.Set[string], cancel context.CancelCauseFunc) (Seat, *fault.Error)
}

// Deps are the parts of a relay. All are required.
type Deps struct {
	Codec Codec
	// Table returns the configuration in force, or nil before there is one.
	Table   func() *match.Table
	Seats   Seats
	Crashes *Crashes
	// Budget bounds the attempts beyond the first of each request, by service.
	Budget  func(service string) *retry.Budget
	Metrics *metric.Set
	Log     hclog.Logger
}

// Relay serves calls. It implements front.Handler.
type Relay struct {
	deps Deps
}

var _ front.Handler = (*Relay)(nil)

// New returns a relay.
func New(d Deps) *Relay { return &Relay{deps: d} }

// Handle implements front.Handler.
func (r *Relay) Handle(ctx context.Context, req *front.Request, w *front.Writer) {
	c, refusal := r.call(req)
	if refusal != nil {
		r.refuse(w, c, refusal)
		return
	}
	if refused, n := r.deps.Crashes.Refused(printOf(c)); refused {
		r.refuse(w, c, fault.New(fault.Overloaded, fault.NotRun, "the request has crashed backend servers").
			WithRetryAfter(retryCrash).WithCause(errors.Newf("%d servers died while they ran it", n)))
		return
	}
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	r.serve(ctx, c, w)
}

// Waits that refused callers are told.
const (
	// retryUnready is for a node that has no configuration yet.
	retryUnready = 500 * time.Millisecond
	// retryCrash is for a request that crashes backend servers: others must not suffer from its returns.
	retryCrash = 30 * time.Second
	// defaultPatience is for requests that do not say how long they wait, on routes without a timeout.
	defaultPatience = 10 * time.Second
)

// call finds the route and the account of a request. With an error, the call holds what is known of it.
func (r *Relay) call(req *front.Request) (*Call, *fault.Error) {
	c := &Call{Arrived: req.Arrived, req: req}
	t := r.deps.Table()
	if t == nil {
		return c, fault.New(fault.NodeIsolated, fault.NotRun, "the node has no configuration yet").WithRetryAfter(retryUnready)
	}
	m, err := r.deps.Codec.Meta(req.Header)
	if err != nil {
		return c, fault.New(fault.BadRequest, fault.NotRun, "a header is missing or malformed").WithCause(err)
	}
	c.Meta = m
	route := t.Route(string(req.Header.Host()), pathOf(req.Header.RequestURI()))
	if route == nil {
		return c, fault.New(fault.NotFound, fault.NotRun, "no route for this host and path")
	}
	c.Route, c.Priority = route, route.Priority
	if t.HasAccounts() && !route.Public {
		a := t.Account(m.Key)
		if a == nil {
			return c, fault.New(fault.Unauthorized, fault.NotRun, "the key is not known")
		}
		c.Account = a.Name
		if a.HasPriority {
			c.Priority = a.Priority
		}
	}
	c.Service = t.Service(route.Target(rand.Float64()))
	if c.Service == nil {
		return c, fault.New(fault.NoBackend, fault.NotRun, "the route leads to no service").WithRetryAfter(retryUnready)
	}
	c.Deadline = deadline(c)
	c.Fingerprint = fingerprint(c.Account, req)
	return c, nil
}

func deadline(c *Call) time.Time {
	patience := c.Patience
	if t := c.Route.Timeout; t > 0 && (patience <= 0 || t < patience) {
		patience = t
	}
	if patience <= 0 {
		patience = defaultPatience
	}
	return c.Arrived.Add(patience)
}

// refuse answers with an error of the node's own.
func (r *Relay) refuse(w *front.Writer, c *Call, ferr *fault.Error) {
	d := time.Since(c.Arrived)
	r.deps.Metrics.Refused(ferr.Code())
	r.deps.Metrics.RequestEnded(ferr.Code(), d)
	route, version := "", uint64(0)
	if c.Route != nil {
		route = c.Route.Name
	}
	if t := r.deps.Table(); t != nil {
		version = t.Version()
	}
	r.deps.Log.Info("refused a request", "request", c.ID, "route", route, "code", ferr.Code(), "outcome", ferr.Outcome(),
		"retry_after_ms", ferr.RetryAfter().Milliseconds(), "returned", c.Route != nil && c.Returned(), "config", version,
		"ms", d.Milliseconds(), "reason", ferr)
	w.Refuse(ferr.Status(), func(h *fasthttp.ResponseHeader) {
		if after := ferr.RetryAfter(); after > 0 {
			h.Set(fasthttp.HeaderRetryAfter, strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
		}
	}, []byte(ferr.Message()))
}
