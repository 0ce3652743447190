// Package calls serves calls to plain services: /v1/services/{name}/...
//
// A call on a repeatable route is retried on another backend server when that is safe. A call on any other
// route needs an Idempotency-Key and runs at most once (see internal/route/claim).
package calls

import (
	"context"
	"sync"
	"time"

	"geraniumhollow/internal/conf/schema"
	"geraniumhollow/internal/conf/view"
	"geraniumhollow/internal/core/fault"
	"geraniumhollow/internal/core/sets"
	"geraniumhollow/internal/core/tasks"
	"geraniumhollow/internal/node/caller"
	"geraniumhollow/internal/plat/plain"
	"geraniumhollow/internal/route/claim"
	"geraniumhollow/internal/route/retry"
	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/valyala/fasthttp"
)

// retryAfter is the delay after which a caller may retry a refused call.
const retryAfter = time.Second

// Deps are the dependencies of a Handler.
type Deps struct {
	Log  hclog.Logger
	Node string
	// View returns the configuration in force.
	View   func() *view.View
	Claims *claim.Store
	Budget *retry.Budget
	// OnAttempt is called after each attempt. It may be nil.
	OnAttempt func(a AttemptResult)
}

// AttemptResult describes a finished attempt at a call.
type AttemptResult struct {
	RequestID string
	Server    string
	// Number counts the attempts of the request, from 1.
	Number int
	// Failed is true if the backend server gave no usable answer. NotStarted is true if it is proven that the
	// server did not start the call.
	Failed     bool
	NotStarted bool
	// WillRetry is true if another attempt follows. If a failed attempt is not retried, Reason says why.
	WillRetry bool
	Reason    retry.Reason
}

// Handler serves calls to plain services. It is safe for concurrent use.
type Handler struct {
	deps  Deps
	group *tasks.Group
	loads *loads

	mu      sync.Mutex
	clients map[string]*plain.Client
}

// New returns a handler. Cancelling the context of g ends its calls. The final states of claims are written by
// tasks of g, so waiting for g also waits for these writes.
func New(g *tasks.Group, d Deps) *Handler {
	if d.OnAttempt == nil {
		d.OnAttempt = func(AttemptResult) {}
	}
	return &Handler{deps: d, group: g, loads: newLoads(), clients: make(map[string]*plain.Client)}
}

// Serve handles one call of an authenticated client account.
func (h *Handler) Serve(rc *fasthttp.RequestCtx, requestID string, a schema.Account) {
	v := h.deps.View()
	c, ferr := parse(rc, v, requestID, a)
	if ferr != nil {
		caller.WriteFault(rc, requestID, ferr)
		return
	}
	if !c.route.Repeatable {
		h.serveClaimed(rc, c)
		return
	}
	ctx, cancel := context.WithTimeout(h.group.Context(), c.timeout())
	defer cancel()
	ans, ferr := h.send(ctx, c)
	if ferr != nil {
		caller.WriteFault(rc, requestID, ferr)
		return
	}
	writeAnswer(rc, requestID, ans.Status, ans.ContentType, ans.Body)
}

func writeAnswer(rc *fasthttp.RequestCtx, requestID string, status int, contentType string, body []byte) {
	rc.Response.Header.Set("X-Request-Id", requestID)
	rc.SetStatusCode(status)
	rc.SetContentType(contentType)
	rc.SetBody(body)
}

// send makes attempts until one is answered or no further attempt is allowed.
func (h *Handler) send(ctx context.Context, c call) (plain.Answer, *fault.Error) {
	h.deps.Budget.Request(time.Now())
	tried := sets.New[string]()
	a := retry.Attempt{Idempotent: c.route.Repeatable}
	for {
		s, ferr := h.loads.acquire(c.servers, tried)
		if ferr != nil {
			if a.MayHaveRun {
				ferr = fault.New(fault.BackendFailed, fault.Unknown, "no backend server answered the request").
					WithRetryAfter(retryAfter).WithCause(ferr)
			}
			return plain.Answer{}, ferr
		}
		ans, err := h.client(s.Address).Call(ctx, c.request, c.maxAnswer)
		h.loads.release(s)
		a.Number++
		if err == nil {
			h.deps.OnAttempt(AttemptResult{RequestID: c.id, Server: s.Name, Number: a.Number})
			return ans, nil
		}
		tried.Add(s.Name)
		a.NotStarted = errors.Is(err, plain.ErrNotStarted)
		a.Rejected = errors.Is(err, plain.ErrTooLarge)
		a.TimeLeft = c.timeLeft(time.Now())
		v := retry.Decide(time.Now(), a, h.deps.Budget)
		h.deps.Log.Info("attempt failed", "request_id", c.id, "attempt", a.Number, "backend_server", s.Name,
			"not_started", a.NotStarted, "retry", v.Retry, "reason", v.Reason, "error", err)
		h.deps.OnAttempt(AttemptResult{
			RequestID: c.id, Server: s.Name, Number: a.Number, Failed: true, NotStarted: a.NotStarted,
			WillRetry: v.Retry, Reason: v.Reason,
		})
		if !v.Retry {
			return plain.Answer{}, attemptFault(ctx, v, err)
		}
		a.MayHaveRun = a.MayHaveRun || !a.NotStarted
	}
}

// attemptFault returns the caller's error after the last attempt. It has a retry delay if a retry by the caller
// can help. It has none if the call may have run and is not repeatable, or if the answer was too large: a retry
// would end with the same error.
func attemptFault(ctx context.Context, v retry.Decision, err error) *fault.Error {
	if errors.Is(err, plain.ErrTooLarge) {
		return fault.New(fault.BackendFailed, fault.Ran, "the answer is larger than the limit").WithCause(err)
	}
	f := fault.New(fault.BackendFailed, v.Outcome, "no backend server answered the request").WithCause(err)
	if ctx.Err() != nil {
		f = fault.New(fault.Timeout, v.Outcome, "the time for the request is over").WithCause(err)
	}
	if v.Outcome == fault.NotRun || v.Reason != retry.ReasonMayHaveRun {
		return f.WithRetryAfter(retryAfter)
	}
	return f
}

// client returns the client for the address of a backend server.
func (h *Handler) client(addr string) *plain.Client {
	h.mu.Lock()
	defer h.mu.Unlock()
	c, ok := h.clients[addr]
	if !ok {
		c = plain.New(addr)
		h.clients[addr] = c
	}
	return c
}
