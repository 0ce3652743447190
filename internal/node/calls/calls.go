// Package calls serves calls of plain services: /v1/services/{name}/...
//
// A call that may be repeated is retried on another backend server when that is safe. A call that may
// not be repeated needs an Idempotency-Key and runs at most once (internal/route/claim).
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

// retryAfter is when a caller may come back after a refusal.
const retryAfter = time.Second

// Deps are what a handler works with.
type Deps struct {
	Log  hclog.Logger
	Node string
	// View returns the configuration in force.
	View   func() *view.View
	Claims *claim.Store
	Budget *retry.Budget
	// Attempted is told of each attempt that has ended; nil for nobody.
	Attempted func(a Attempted)
}

// Attempted is what became of an attempt of a call.
type Attempted struct {
	RequestID string
	Server    string
	// Number counts the attempts of the request, from 1.
	Number int
	// Failed is set when the backend server gave no answer, and NotStarted with proof that it did not
	// start the call.
	Failed     bool
	NotStarted bool
	// Again is set when another attempt follows; else Reason says why not.
	Again  bool
	Reason retry.Reason
}

// Handler serves calls. It is safe for concurrent use.
type Handler struct {
	deps  Deps
	group *tasks.Group
	loads *loads

	mu      sync.Mutex
	clients map[string]*plain.Client
}

// New returns a handler. Calls end with the context of g; final states of claims are written in g, so
// that waiting for g waits for them.
func New(g *tasks.Group, d Deps) *Handler {
	if d.Attempted == nil {
		d.Attempted = func(Attempted) {}
	}
	return &Handler{deps: d, group: g, loads: newLoads(), clients: make(map[string]*plain.Client)}
}

// Serve answers one call of an authenticated account.
func (h *Handler) Serve(rc *fasthttp.RequestCtx, requestID string, a schema.Account) {
	v := h.deps.View()
	c, ferr := parse(rc, v, requestID, a)
	if ferr != nil {
		caller.WriteFault(rc, requestID, ferr)
		return
	}
	if !c.route.Repeatable {
		h.claimed(rc, c)
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

// send makes attempts until one is answered or no other may follow.
func (h *Handler) send(ctx context.Context, c call) (plain.Answer, *fault.Error) {
	h.deps.Budget.Request(time.Now())
	tried := sets.New[string]()
	a := retry.Attempt{Idempotent: c.route.Repeatable}
	for {
		s, ferr := h.loads.take(c.servers, tried)
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
			h.deps.Attempted(Attempted{RequestID: c.id, Server: s.Name, Number: a.Number})
			return ans, nil
		}
		tried.Add(s.Name)
		a.NotStarted = errors.Is(err, plain.ErrNotStarted)
		a.Rejected = errors.Is(err, plain.ErrTooLarge)
		a.Left = c.left(time.Now())
		v := retry.Decide(time.Now(), a, h.deps.Budget)
		h.deps.Log.Info("attempt failed", "request_id", c.id, "attempt", a.Number, "backend_server", s.Name,
			"not_started", a.NotStarted, "retry", v.Retry, "reason", v.Reason, "error", err)
		h.deps.Attempted(Attempted{
			RequestID: c.id, Server: s.Name, Number: a.Number, Failed: true, NotStarted: a.NotStarted,
			Again: v.Retry, Reason: v.Reason,
		})
		if !v.Retry {
			return plain.Answer{}, attemptFault(ctx, v, err)
		}
		a.MayHaveRun = a.MayHaveRun || !a.NotStarted
	}
}

// attemptFault is what the caller is told after the last attempt. A caller that may simply send again
// is told when; a repeat that would only hear the same is not asked for.
func attemptFault(ctx context.Context, v retry.Verdict, err error) *fault.Error {
	if errors.Is(err, plain.ErrTooLarge) {
		return fault.New(fault.BackendFailed, fault.Ran, "the answer is larger than the limit").WithCause(err)
	}
	f := fault.New(fault.BackendFailed, v.Outcome, "no backend server answered the request").WithCause(err)
	if ctx.Err() != nil {
		f = fault.New(fault.Timeout, v.Outcome, "the time for the request is over").WithCause(err)
	}
	if v.Outcome == fault.NotRun || v.Reason != retry.MayHaveRun {
		return f.WithRetryAfter(retryAfter)
	}
	return f
}

// client returns the client of a backend server.
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
