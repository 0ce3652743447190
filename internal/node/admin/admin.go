// Package admin serves the operator address of a node: forms and a JSON API for the configuration, the
// status of the node and the fleet, recent decisions, metrics and health.
package admin

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime/debug"
	"time"

	"geraniumhollow/internal/conf/apply"
	"geraniumhollow/internal/conf/check"
	"geraniumhollow/internal/conf/schema"
	"geraniumhollow/internal/conf/view"
	"geraniumhollow/internal/core/httpd"
	"geraniumhollow/internal/plat/table"
	"geraniumhollow/internal/report/burn"
	"geraniumhollow/internal/report/reason"
	"github.com/cockroachdb/errors"
	"github.com/fasthttp/router"
	"github.com/hashicorp/go-hclog"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"
)

// Limits of the HTTP server. The largest document at the target size has about 2.1 MB. Only API calls with
// the operator key may send bodies of that size, and only logged-in sessions may send large forms, so that
// an unauthenticated client can make the node buffer at most maxUnauthenticatedBytes per connection. Sizes
// are in bytes.
const (
	maxBodyBytes            = 16 << 20
	maxPostBytes            = 2 << 20
	maxFormBytes            = 1 << 20
	maxUnauthenticatedBytes = 16 << 10
	maxHeaderBytes          = 16 << 10
	readTimeout             = 10 * time.Second
	writeTimeout            = 30 * time.Second
	idleTimeout             = 60 * time.Second
	maxConnections          = 256
	tableTimeout            = 5 * time.Second
)

// Configs commits and reads versions of the configuration.
type Configs interface {
	Version(ctx context.Context) (uint64, table.Row, error)
	Entry(ctx context.Context, version uint64) (apply.Entry, error)
	Commit(ctx context.Context, base uint64, author string, doc *schema.Document) (apply.Entry, error)
	History(ctx context.Context, before uint64, limit int) ([]apply.Entry, error)
}

// NodeStatus is the state of a node as shown to operators.
type NodeStatus struct {
	Node       string `json:"node"`
	DataCentre string `json:"data_centre"`
	Version    uint64 `json:"config_version"`
	// AgeSeconds is the time since the table service last confirmed the version, or NotKnown.
	AgeSeconds float64 `json:"config_age_seconds"`
	Mode       string  `json:"mode"`
	Ready      bool    `json:"ready"`
	Drain      string  `json:"drain_state,omitempty"`
	// HeardSeconds is the time since the responding node last received a heartbeat from this one, 0 for the
	// responding node itself, or NotKnown.
	HeardSeconds float64 `json:"heard_seconds"`
}

// NotKnown marks a duration that is unknown to the responding node.
const NotKnown = -1

// Age returns the age of the version in human-readable form.
func (s NodeStatus) Age() string { return formatSeconds(s.AgeSeconds) }

// Heard returns the time since the last heartbeat of the node in human-readable form.
func (s NodeStatus) Heard() string { return formatSeconds(s.HeardSeconds) }

func formatSeconds(v float64) string {
	if v < 0 {
		return "not known"
	}
	return fmt.Sprintf("%.1f s", v)
}

// Node reports the state of this node and of the nodes that it knows. It is safe for concurrent use.
type Node interface {
	// Status returns the state of this node.
	Status() NodeStatus
	// Fleet returns the state of every known node, this one included.
	Fleet(ctx context.Context) []NodeStatus
	// Ready returns nil if the load balancer may send requests to this node, or the reason why not.
	Ready() error
	// MayCommit returns nil if this node is in contact with enough nodes of its roster to accept a change,
	// or the reason why not.
	MayCommit() error
	// Accepted is called with each version that was committed through this node.
	Accepted(e apply.Entry)
}

// Deps are the dependencies of the server. All except KeyHash are required.
type Deps struct {
	Log     hclog.Logger
	Configs Configs
	View    func() *view.View
	Node    Node
	Reasons *reason.Ring
	// Burn reads the burn snapshots of all nodes. Its context limits the duration.
	Burn func(ctx context.Context) (burn.Snapshots, error)
	// Metrics serves the metrics that Prometheus scrapes.
	Metrics http.Handler
	// KeyHash is the hex SHA-256 of the operator key. If it is empty, only metrics and health are served.
	KeyHash string
	Now     func() time.Time
}

// Server serves the pages and the API for operators.
type Server struct {
	Deps
	ctx     context.Context
	checker *check.Checker
	parts   []documentPart
	auth    authenticator
	srv     *fasthttp.Server
}

// New returns a server. Its calls to the table service are cancelled when ctx ends.
func New(ctx context.Context, d Deps) (*Server, error) {
	checker, err := check.New()
	if err != nil {
		return nil, errors.Newf("create checker: %w", err)
	}
	parts, err := documentParts(schema.ConfigSchema)
	if err != nil {
		return nil, errors.Newf("read schema for forms: %w", err)
	}
	login, err := newAuthenticator(d.KeyHash, d.Node.Status().Node, d.Now)
	if err != nil {
		return nil, err
	}
	s := &Server{Deps: d, ctx: ctx, checker: checker, parts: parts, auth: login}
	s.srv = &fasthttp.Server{
		Handler:               withSecurityHeaders(s.recoverPanics(s.routes().Handler)),
		ErrorHandler:          withSecurityHeadersOnError(s.handleReadError),
		ReadBufferSize:        maxHeaderBytes,
		MaxRequestBodySize:    maxUnauthenticatedBytes,
		HeaderReceived:        s.bodyLimit,
		ReadTimeout:           readTimeout,
		WriteTimeout:          writeTimeout,
		IdleTimeout:           idleTimeout,
		Concurrency:           maxConnections,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
		Logger:                d.Log.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
	}
	return s, nil
}

// Serve accepts connections on ln until ctx ends.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	if err := httpd.Serve(ctx, s.srv, ln); err != nil {
		return errors.Newf("serve operators: %w", err)
	}
	return nil
}

func (s *Server) routes() *router.Router {
	rt := router.New()
	rt.GET("/healthz", func(rc *fasthttp.RequestCtx) { rc.SetBodyString("ok\n") })
	rt.GET("/readyz", s.ready)
	rt.GET("/metrics", fasthttpadaptor.NewFastHTTPHandler(s.Metrics))
	s.apiRoutes(rt)
	s.pageRoutes(rt)
	rt.NotFound = s.notFound
	return rt
}

func (s *Server) ready(rc *fasthttp.RequestCtx) {
	if err := s.Node.Ready(); err != nil {
		rc.SetStatusCode(http.StatusServiceUnavailable)
		rc.SetBodyString("not ready: " + err.Error() + "\n")
		return
	}
	rc.SetBodyString("ready\n")
}

// handleReadError answers requests that could not be read or parsed.
func (s *Server) handleReadError(rc *fasthttp.RequestCtx, err error) {
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		writeProblem(rc, tooLargeProblem())
		return
	}
	writeProblem(rc, problem(http.StatusBadRequest, "bad_request", "the request could not be read", ""))
}

// recoverPanics recovers from a panic in a handler. fasthttp does not, so the panic would end the process and
// all of its streams.
func (s *Server) recoverPanics(next fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(rc *fasthttp.RequestCtx) {
		defer func() {
			if p := recover(); p != nil {
				s.Log.Error("operator request handler panicked", "panic", p, "stack", string(debug.Stack()))
				rc.Response.Reset()
				writeProblem(rc, problem(http.StatusInternalServerError, CodeInternal,
					"the request could not be answered", "The log of the node has the reason."))
			}
		}()
		next(rc)
	}
}

// bodyLimit allows large bodies only for requests with a valid operator key or session.
func (s *Server) bodyLimit(h *fasthttp.RequestHeader) fasthttp.RequestConfig {
	limit := maxUnauthenticatedBytes
	if bytes.HasPrefix(h.RequestURI(), []byte("/api/")) {
		if s.auth.bearer(h) {
			limit = maxBodyBytes
		}
	} else if _, ok := s.auth.session(h); ok {
		limit = maxPostBytes
	}
	return fasthttp.RequestConfig{MaxRequestBodySize: limit}
}

// withSecurityHeaders adds the headers that prevent framing, scripts and caching of the pages.
func withSecurityHeaders(next fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(rc *fasthttp.RequestCtx) {
		next(rc)
		setSecurityHeaders(rc)
	}
}

func withSecurityHeadersOnError(next func(*fasthttp.RequestCtx, error)) func(*fasthttp.RequestCtx, error) {
	return func(rc *fasthttp.RequestCtx, err error) {
		next(rc, err)
		setSecurityHeaders(rc)
	}
}

func setSecurityHeaders(rc *fasthttp.RequestCtx) {
	h := &rc.Response.Header
	h.Set("Content-Security-Policy",
		"default-src 'none'; style-src 'self'; img-src 'self'; form-action 'self'; frame-ancestors 'none'; base-uri 'none'")
	h.Set("X-Content-Type-Options", "nosniff")
	h.Set("X-Frame-Options", "DENY")
	h.Set("Cross-Origin-Opener-Policy", "same-origin")
	// With no-referrer, browsers would send "Origin: null" in POST requests from forms of this server.
	h.Set("Referrer-Policy", "same-origin")
	if len(h.Peek("Cache-Control")) == 0 {
		h.Set("Cache-Control", "no-store")
	}
}

// callContext returns a context that limits the duration of the table service calls of one request.
func (s *Server) callContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(s.ctx, tableTimeout)
}
