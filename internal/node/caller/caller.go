// Package caller is the HTTP interface for callers: completions, models, plain services and the
// outcome of requests.
package caller

import (
	"context"
	"net"
	"net/http"
	"strings"
	"time"

	"geraniumhollow/internal/conf/schema"
	"geraniumhollow/internal/conf/view"
	"geraniumhollow/internal/core/fault"
	"geraniumhollow/internal/core/httpd"
	"geraniumhollow/internal/core/tasks"
	"geraniumhollow/internal/node/relay"
	"github.com/cockroachdb/errors"
	"github.com/fasthttp/router"
	"github.com/hashicorp/go-hclog"
	"github.com/valyala/fasthttp"
)

// Bounds of the HTTP server.
const (
	maxHeaderBytes = 8 << 10
	idleTimeout    = 60 * time.Second
	maxConnections = 16 << 10
)

// Defaults of Timeouts.
const (
	defaultHeader = 5 * time.Second
	defaultBody   = 30 * time.Second
	defaultStall  = 60 * time.Second
)

// Timeouts bound the waits for a caller. Zero values have defaults.
type Timeouts struct {
	// Header is the longest time in which a request header may arrive.
	Header time.Duration
	// Body is the longest time in which a request body may arrive.
	Body time.Duration
	// Stall is how long a caller may read nothing of its answer before its connection is closed.
	Stall time.Duration
}

func (t Timeouts) withDefaults() Timeouts {
	if t.Header == 0 {
		t.Header = defaultHeader
	}
	if t.Body == 0 {
		t.Body = defaultBody
	}
	if t.Stall == 0 {
		t.Stall = defaultStall
	}
	return t
}

// Option changes a server that New makes.
type Option func(*Server)

// WithTimeouts replaces the default waits.
func WithTimeouts(t Timeouts) Option { return func(s *Server) { s.timeouts = t.withDefaults() } }

// ServiceHandler answers a call of a plain service by an authenticated account.
type ServiceHandler func(rc *fasthttp.RequestCtx, requestID string, a schema.Account)

// Ended is a request of a caller that has ended.
type Ended struct {
	// RequestID is empty for a request that was refused before it had one.
	RequestID string
	// Err is the error that it ended with, or nil.
	Err *fault.Error
	// Elapsed is the time from its arrival to the last byte of its answer.
	Elapsed time.Duration
}

// WithEnded calls f once for each request of a caller that has ended. It returns at once.
func WithEnded(f func(e Ended)) Option {
	return func(s *Server) { s.ended = f }
}

// WithServices serves the paths of plain services.
func WithServices(h ServiceHandler) Option { return func(s *Server) { s.services = h } }

// Server answers callers.
type Server struct {
	ctx      context.Context
	log      hclog.Logger
	node     string
	view     func() *view.View
	relay    *relay.Relay
	timeouts Timeouts
	services ServiceHandler
	ended    func(e Ended)
	watch    *watch
	srv      *fasthttp.Server
}

// New returns a server whose requests end with ctx. node is the name that request ids carry.
func New(
	ctx context.Context, log hclog.Logger, node string, current func() *view.View, rl *relay.Relay, opts ...Option,
) *Server {
	s := &Server{
		ctx: ctx, log: log, node: node, view: current, relay: rl, timeouts: Timeouts{}.withDefaults(), watch: newWatch(),
		ended: func(Ended) {},
	}
	for _, o := range opts {
		o(s)
	}
	s.srv = &fasthttp.Server{
		Handler:               s.observed(s.routes().Handler),
		ErrorHandler:          s.receiveError,
		HeaderReceived:        s.headerReceived,
		ReadBufferSize:        maxHeaderBytes,
		ReadTimeout:           s.timeouts.Header,
		WriteTimeout:          s.timeouts.Stall,
		IdleTimeout:           idleTimeout,
		Concurrency:           2 * maxConnections, // The listener refuses earlier, in the JSON form.
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
		Logger:                quiet{log: log},
	}
	return s
}

func (s *Server) routes() *router.Router {
	rt := router.New()
	rt.RedirectTrailingSlash, rt.RedirectFixedPath, rt.HandleOPTIONS = false, false, false
	rt.GET(pathHealth, func(rc *fasthttp.RequestCtx) { rc.SetStatusCode(http.StatusOK) })
	rt.GET("/v1/models", s.withAccount(s.models))
	rt.POST("/v1/completions", s.withAccount(s.completion(completionShape{})))
	rt.POST("/v1/chat/completions", s.withAccount(s.completion(chatShape{})))
	rt.GET("/v1/requests/{id}", s.withAccount(s.outcome))
	if s.services != nil {
		rt.ANY("/v1/services/{name}/{path:*}", s.withAccount(handler(s.services)))
	}
	rt.NotFound = func(rc *fasthttp.RequestCtx) {
		writeFault(rc, "", fault.New(fault.NotFound, fault.NotRun, "no such path"))
	}
	rt.MethodNotAllowed = func(rc *fasthttp.RequestCtx) {
		writeFault(rc, "", fault.New(fault.MethodNotAllowed, fault.NotRun, "the path does not have this method"))
	}
	rt.PanicHandler = func(rc *fasthttp.RequestCtx, p any) {
		s.log.Error("request handler panicked", "panic", p)
		writeFault(rc, "", fault.New(fault.Internal, fault.Unknown, "the request failed inside the node"))
	}
	return rt
}

// pathHealth is what the balancer asks; it is no request of a caller.
const pathHealth = "/healthz"

// faultKey is where writeFault notes the error that a request is answered with.
type faultKey struct{}

// observed tells of the end of each request. A streamed answer tells of its own end.
func (s *Server) observed(next fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(rc *fasthttp.RequestCtx) {
		next(rc)
		if rc.Response.IsBodyStream() || string(rc.Path()) == pathHealth {
			return
		}
		e, _ := rc.UserValue(faultKey{}).(Ended)
		e.Elapsed = time.Since(rc.Time())
		s.ended(e)
	}
}

// Serve answers callers on ln until the context of the server ends.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	g := tasks.New(ctx)
	g.Go("watch callers", s.watch.run)
	g.Go("serve callers", func(ctx context.Context) error { return httpd.Serve(ctx, s.srv, &listener{Listener: ln}) })
	return g.Wait()
}

// headerReceived sets the bounds of a body by the limits in force.
func (s *Server) headerReceived(*fasthttp.RequestHeader) fasthttp.RequestConfig {
	return fasthttp.RequestConfig{MaxRequestBodySize: s.view().Limits.BodyBytes, ReadTimeout: s.timeouts.Body}
}

// receiveError answers a request that could not be read.
func (s *Server) receiveError(rc *fasthttp.RequestCtx, err error) {
	if c, ok := rc.Conn().(*conn); ok {
		c.linger.Store(true)
	}
	ferr := receiveFault(err)
	s.ended(Ended{Err: ferr})
	writeFault(rc, "", ferr)
}

func receiveFault(err error) *fault.Error {
	var small *fasthttp.ErrSmallBuffer
	var timeout net.Error
	switch {
	case errors.As(err, &small):
		return fault.New(fault.HeaderTooLarge, fault.NotRun, "the header is too large")
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return fault.New(fault.BodyTooLarge, fault.NotRun, "the body is too large")
	case errors.As(err, &timeout) && timeout.Timeout():
		return fault.New(fault.HeaderTimeout, fault.NotRun, "the request did not arrive in time")
	}
	return fault.New(fault.BadRequest, fault.NotRun, "the request is not valid HTTP")
}

// handler answers a request of an authenticated account.
type handler func(rc *fasthttp.RequestCtx, id string, a schema.Account)

// withAccount authenticates a request by its bearer key.
func (s *Server) withAccount(h handler) fasthttp.RequestHandler {
	return func(rc *fasthttp.RequestCtx) {
		key, ok := strings.CutPrefix(string(rc.Request.Header.Peek("Authorization")), "Bearer ")
		if !ok {
			writeFault(rc, "", fault.New(fault.Unauthorized, fault.NotRun, "a bearer key is required"))
			return
		}
		v := s.view()
		if v.Version == 0 {
			writeFault(rc, "", fault.New(fault.NodeIsolated, fault.NotRun, "the node has no configuration yet").
				WithRetryAfter(time.Second))
			return
		}
		a, ok := v.AccountByKey(key)
		if !ok {
			writeFault(rc, "", fault.New(fault.Unauthorized, fault.NotRun, "the bearer key is not known"))
			return
		}
		h(rc, relay.NewRequestID(s.node, a.Name), a)
	}
}

// modelEntry is one entry of the model list.
type modelEntry struct {
	ID     string `json:"id"`
	Object string `json:"object"`
}

type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

func (s *Server) models(rc *fasthttp.RequestCtx, _ string, _ schema.Account) {
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, m := range s.view().Document().Models {
		list.Data = append(list.Data, modelEntry{ID: m.Name, Object: "model"})
	}
	writeJSON(rc, http.StatusOK, list)
}

// outcome tells what is known of an earlier request of the account.
func (s *Server) outcome(rc *fasthttp.RequestCtx, _ string, a schema.Account) {
	id, _ := rc.UserValue("id").(string)
	ctx, cancel := context.WithTimeout(s.ctx, outcomeTimeout)
	defer cancel()
	status, ferr := s.relay.Outcome(ctx, id, a.Name)
	if ferr != nil {
		writeFault(rc, id, ferr)
		return
	}
	writeJSON(rc, http.StatusOK, status)
}

// outcomeTimeout bounds the question to the node that a request began on.
const outcomeTimeout = 2 * time.Second
