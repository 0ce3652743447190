// Package caller implements the HTTP API for callers: completions, models, services without an engine, and
// the outcome of requests.
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
	"geraniumhollow/internal/core/logbuf"
	"geraniumhollow/internal/core/tasks"
	"geraniumhollow/internal/node/relay"
	"geraniumhollow/internal/route/shed"
	"github.com/cockroachdb/errors"
	"github.com/fasthttp/router"
	"github.com/hashicorp/go-hclog"
	"github.com/valyala/fasthttp"
)

// Limits of the HTTP server.
const (
	maxHeaderBytes = 8 << 10
	idleTimeout    = 60 * time.Second
	maxConnections = 16 << 10
)

// Defaults of Timeouts.
const (
	defaultHeaderTimeout = 5 * time.Second
	defaultBodyTimeout   = 30 * time.Second
	defaultWriteTimeout  = 60 * time.Second
)

// Timeouts bound how long the server waits for a caller. Zero values have defaults.
type Timeouts struct {
	// Header bounds the time to read a request header.
	Header time.Duration
	// Body bounds the time to read a request body.
	Body time.Duration
	// Write is how long a caller may read nothing of its response before its connection is closed.
	Write time.Duration
}

func (t Timeouts) withDefaults() Timeouts {
	if t.Header == 0 {
		t.Header = defaultHeaderTimeout
	}
	if t.Body == 0 {
		t.Body = defaultBodyTimeout
	}
	if t.Write == 0 {
		t.Write = defaultWriteTimeout
	}
	return t
}

// Option configures a Server.
type Option func(*Server)

// WithTimeouts replaces the default timeouts.
func WithTimeouts(t Timeouts) Option { return func(s *Server) { s.timeouts = t.withDefaults() } }

// WithMemory sets the memory for request bodies and the limit of connections.
func WithMemory(bodies *shed.Budget, maxConns int) Option {
	return func(s *Server) { s.bodies, s.maxConns = bodies, min(maxConns, maxConnections) }
}

// ServiceHandler handles a request of an authenticated account to a service without an engine.
type ServiceHandler func(rc *fasthttp.RequestCtx, requestID string, a schema.Account)

// FinishedRequest describes a finished request of a caller.
type FinishedRequest struct {
	// RequestID is set for streams and for failed requests that have an ID, and empty otherwise.
	RequestID string
	// Err is the error that the request ended with, or nil.
	Err *fault.Error
	// Elapsed is the time from the arrival of the request to the end of the response; 0 if the request could not be
	// read.
	Elapsed time.Duration
}

// WithRequestObserver makes the server call f once for each finished request. f must not block.
func WithRequestObserver(f func(e FinishedRequest)) Option {
	return func(s *Server) { s.onEnded = f }
}

// WithServices serves the paths of services without an engine.
func WithServices(h ServiceHandler) Option { return func(s *Server) { s.services = h } }

// Server serves the API for callers.
type Server struct {
	ctx         context.Context
	log         hclog.Logger
	node        string
	view        func() *view.View
	relay       *relay.Relay
	timeouts    Timeouts
	services    ServiceHandler
	onEnded     func(e FinishedRequest)
	disconnects *disconnectWatcher
	bodies      *shed.Budget
	maxConns    int
	// shedLog and refusedLog limit the log lines of bodies that were shed and of connections beyond the limit.
	shedLog, refusedLog logbuf.Limited
	srv                 *fasthttp.Server
}

// New returns a server whose requests are cancelled with ctx. node is the node name in request IDs.
func New(
	ctx context.Context, log hclog.Logger, node string, current func() *view.View, rl *relay.Relay, opts ...Option,
) *Server {
	s := &Server{
		ctx: ctx, log: log, node: node, view: current, relay: rl, timeouts: Timeouts{}.withDefaults(), disconnects: newDisconnectWatcher(),
		onEnded: func(FinishedRequest) {}, bodies: shed.New(0), maxConns: maxConnections,
	}
	for _, o := range opts {
		o(s)
	}
	s.srv = &fasthttp.Server{
		Handler:        s.withEndReport(s.routes().Handler),
		ErrorHandler:   s.handleReadError,
		HeaderReceived: s.headerReceived,
		ConnState:      stateChanged,
		// A body is read once the header has told that it is wanted, see readBody.
		StreamRequestBody:            true,
		DisablePreParseMultipartForm: true,
		ReadBufferSize:               maxHeaderBytes,
		ReadTimeout:                  s.timeouts.Header,
		WriteTimeout:                 s.timeouts.Write,
		IdleTimeout:                  idleTimeout,
		Concurrency:                  2 * maxConnections, // The listener rejects connections earlier, with a JSON error.
		NoDefaultServerHeader:        true,
		CloseOnShutdown:              true,
		Logger:                       debugLogger{log: log},
	}
	return s
}

func (s *Server) routes() *router.Router {
	rt := router.New()
	rt.RedirectTrailingSlash, rt.RedirectFixedPath, rt.HandleOPTIONS = false, false, false
	rt.GET(pathHealth, func(rc *fasthttp.RequestCtx) { rc.SetStatusCode(http.StatusOK) })
	rt.GET("/v1/models", s.authenticate(s.listModels))
	rt.POST("/v1/completions", s.authenticate(s.completion(textFormat{})))
	rt.POST("/v1/chat/completions", s.authenticate(s.completion(chatFormat{})))
	rt.GET("/v1/requests/{id}", s.authenticate(s.requestOutcome))
	if s.services != nil {
		rt.ANY("/v1/services/{name}/{path:*}", s.authenticate(handler(s.services)))
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

// pathHealth is the health check of the load balancer, which does not count as a request of a caller.
const pathHealth = "/healthz"

// endedKey is the key of the user value in which writeFault stores the ID and the error of a request.
type endedKey struct{}

// withEndReport calls onEnded at the end of each request. Streams call it themselves when they are closed.
func (s *Server) withEndReport(next fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(rc *fasthttp.RequestCtx) {
		if len(rc.Request.Header.Peek(headerTooLarge)) > 0 {
			s.refuseUnread(rc, "", readFault(fasthttp.ErrBodyTooLarge))
		} else {
			next(rc)
		}
		if rc.Response.IsBodyStream() || string(rc.Path()) == pathHealth {
			return
		}
		e, _ := rc.UserValue(endedKey{}).(FinishedRequest)
		e.Elapsed = time.Since(rc.Time())
		s.onEnded(e)
	}
}

// Serve serves callers on ln until ctx is cancelled.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	g := tasks.New(ctx)
	g.Go("watch for disconnects", s.disconnects.run)
	g.Go("serve callers", func(ctx context.Context) error {
		return httpd.Serve(ctx, s.srv, s.limit(ln))
	})
	return g.Wait()
}

// limit returns a listener that limits the number of connections.
func (s *Server) limit(ln net.Listener) net.Listener {
	return &listener{Listener: ln, limit: s.maxConns, headerTimeout: s.timeouts.Header, conns: make(map[*conn]struct{}), onReject: func() {
		s.refusedLog.Log(s.log, hclog.Warn, "refused a connection beyond the connection limit", "limit", s.maxConns)
	}}
}

// headerReceived sets the limits for reading a body from the current configuration. A long body of a request that its header already
// decides is not read: the request goes on without it, and its connection is closed.
func (s *Server) headerReceived(h *fasthttp.RequestHeader) fasthttp.RequestConfig {
	limit := s.view().Limits.BodyBytes
	h.Del(headerTooLarge)
	h.Del(headerUnread)
	if length := h.ContentLength(); length == chunkedLength || length > maxDiscardBytes {
		_, ferr := s.account(h)
		if length > limit {
			h.Set(headerTooLarge, "1")
		}
		if ferr != nil {
			h.Set(headerUnread, "1")
		}
		if length > limit || ferr != nil {
			h.SetContentLength(0)
			h.Del(fasthttp.HeaderExpect)
			h.SetConnectionClose()
		}
	}
	return fasthttp.RequestConfig{MaxRequestBodySize: limit, ReadTimeout: s.timeouts.Body}
}

// headerTooLarge marks a request with a body that is announced to be larger than the limit. The server sets it; one that a caller sends
// is removed.
const headerTooLarge = "X-Announced-Too-Large"

// headerUnread marks a request whose body is not read because its account is not known. The server sets it as well.
const headerUnread = "X-Body-Unread"

// chunkedLength is the length that the parser gives for a chunked body.
const chunkedLength = -1

// handleReadError responds to a request that could not be read.
func (s *Server) handleReadError(rc *fasthttp.RequestCtx, err error) {
	if c, ok := rc.Conn().(*conn); ok {
		c.lingerOnClose.Store(true)
	}
	ferr := readFault(err)
	s.onEnded(FinishedRequest{Err: ferr})
	writeFault(rc, "", ferr)
}

func readFault(err error) *fault.Error {
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

// handler handles a request of an authenticated account.
type handler func(rc *fasthttp.RequestCtx, id string, a schema.Account)

// authenticate looks up the account of a request by its bearer key, reads the body and calls h.
func (s *Server) authenticate(h handler) fasthttp.RequestHandler {
	return func(rc *fasthttp.RequestCtx) {
		a, ferr := s.account(&rc.Request.Header)
		if ferr != nil {
			s.refuseUnread(rc, "", ferr)
			return
		}
		if len(rc.Request.Header.Peek(headerUnread)) > 0 {
			// The configuration has changed since the header arrived.
			s.refuseUnread(rc, "", fault.New(fault.NodeIsolated, fault.NotRun, "the configuration has just changed").WithRetryAfter(time.Second))
			return
		}
		release, ferr := s.readBody(rc)
		if ferr != nil {
			closeAfter(rc)
			writeFault(rc, "", ferr)
			return
		}
		defer release()
		h(rc, relay.NewRequestID(s.node, a.Name), a)
	}
}

// account returns the account of a request.
func (s *Server) account(h *fasthttp.RequestHeader) (schema.Account, *fault.Error) {
	key, ok := strings.CutPrefix(string(h.Peek("Authorization")), "Bearer ")
	if !ok {
		return schema.Account{}, fault.New(fault.Unauthorized, fault.NotRun, "a bearer key is required")
	}
	v := s.view()
	if v.Version == 0 {
		return schema.Account{}, fault.New(fault.NodeIsolated, fault.NotRun, "the node has no configuration yet").WithRetryAfter(time.Second)
	}
	a, ok := v.AccountByKey(key)
	if !ok {
		return schema.Account{}, fault.New(fault.Unauthorized, fault.NotRun, "the bearer key is not known")
	}
	return a, nil
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

func (s *Server) listModels(rc *fasthttp.RequestCtx, _ string, _ schema.Account) {
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, m := range s.view().Document().Models {
		list.Data = append(list.Data, modelEntry{ID: m.Name, Object: "model"})
	}
	writeJSON(rc, http.StatusOK, list)
}

// requestOutcome returns the status of an earlier request of the account.
func (s *Server) requestOutcome(rc *fasthttp.RequestCtx, _ string, a schema.Account) {
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

// outcomeTimeout bounds the query to the node that received the request.
const outcomeTimeout = 2 * time.Second
