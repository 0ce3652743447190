// Package admin is the operators' address of a node: forms and a JSON API for the configuration, the
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

// Bounds of the HTTP server. The largest document at the target size has about 2.1 MB. Only calls of the
// API with the operator key may send one, and only sessions may send forms beyond the login, so that
// others can hold no more than maxOpenBytes for each connection.
const (
	maxBodyBytes   = 16 << 20
	maxPostBytes   = 2 << 20
	maxFormBytes   = 1 << 20
	maxOpenBytes   = 16 << 10
	maxHeaderBytes = 16 << 10
	readTimeout    = 10 * time.Second
	writeTimeout   = 30 * time.Second
	idleTimeout    = 60 * time.Second
	concurrency    = 256
	callTimeout    = 5 * time.Second
)

// Configs commits and reads versions of the configuration.
type Configs interface {
	Version(ctx context.Context) (uint64, table.Row, error)
	Entry(ctx context.Context, version uint64) (apply.Entry, error)
	Commit(ctx context.Context, base uint64, author string, doc *schema.Document) (apply.Entry, error)
	History(ctx context.Context, before uint64, limit int) ([]apply.Entry, error)
}

// NodeStatus is what operators see of one node.
type NodeStatus struct {
	Node       string `json:"node"`
	DataCentre string `json:"data_centre"`
	Version    uint64 `json:"config_version"`
	// AgeSeconds is the time since the table last confirmed the version, or NotKnown.
	AgeSeconds float64 `json:"config_age_seconds"`
	Mode       string  `json:"mode"`
	Ready      bool    `json:"ready"`
	Drain      string  `json:"drain_state,omitempty"`
	// HeardSeconds is the time since the node that answers last heard this one, 0 for itself, or NotKnown.
	HeardSeconds float64 `json:"heard_seconds"`
}

// NotKnown stands for a time that the node that answers does not know.
const NotKnown = -1

// Age returns the age of the version for a person to read.
func (s NodeStatus) Age() string { return seconds(s.AgeSeconds) }

// Heard returns the time since the node was heard for a person to read.
func (s NodeStatus) Heard() string { return seconds(s.HeardSeconds) }

func seconds(v float64) string {
	if v < 0 {
		return "not known"
	}
	return fmt.Sprintf("%.1f s", v)
}

// Node tells the state of this node and of the nodes that it hears. It is safe for concurrent use.
type Node interface {
	// Status returns the state of this node.
	Status() NodeStatus
	// Fleet returns the state of every known node, this one included.
	Fleet(ctx context.Context) []NodeStatus
	// Ready returns nil when the balancer may send requests to this node, or the reason why not.
	Ready() error
	// MayCommit returns nil when this node hears enough of its roster to accept a change, or the
	// reason why not.
	MayCommit() error
	// Accepted is told of each version that was committed through this node.
	Accepted(e apply.Entry)
}

// Deps are the parts that the operators' address shows and changes. All are required.
type Deps struct {
	Log     hclog.Logger
	Configs Configs
	View    func() *view.View
	Node    Node
	Reasons *reason.Ring
	// Burn reads the burn snapshots of all nodes; its context bounds the time.
	Burn func(ctx context.Context) (burn.Snapshots, error)
	// Metrics is the page that Prometheus reads.
	Metrics http.Handler
	// KeyHash is the lower-case hex SHA-256 of the operator key; without one, nothing can be read or
	// changed but metrics and health.
	KeyHash string
	Now     func() time.Time
}

// Server answers operators.
type Server struct {
	Deps
	ctx     context.Context
	checker *check.Checker
	parts   []part
	login   logins
	srv     *fasthttp.Server
}

// New returns a server whose calls of the table end with ctx.
func New(ctx context.Context, d Deps) (*Server, error) {
	checker, err := check.New()
	if err != nil {
		return nil, errors.Newf("make checker: %w", err)
	}
	parts, err := documentParts(schema.ConfigSchema)
	if err != nil {
		return nil, errors.Newf("read schema for forms: %w", err)
	}
	login, err := newLogins(d.KeyHash, d.Node.Status().Node, d.Now)
	if err != nil {
		return nil, err
	}
	s := &Server{Deps: d, ctx: ctx, checker: checker, parts: parts, login: login}
	s.srv = &fasthttp.Server{
		Handler:               secured(s.recovered(s.routes().Handler)),
		ErrorHandler:          securedError(s.malformed),
		ReadBufferSize:        maxHeaderBytes,
		MaxRequestBodySize:    maxOpenBytes,
		HeaderReceived:        s.bodyLimit,
		ReadTimeout:           readTimeout,
		WriteTimeout:          writeTimeout,
		IdleTimeout:           idleTimeout,
		Concurrency:           concurrency,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
		Logger:                d.Log.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
	}
	return s, nil
}

// Serve answers operators on ln until ctx ends.
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

// malformed answers requests that could not be read.
func (s *Server) malformed(rc *fasthttp.RequestCtx, err error) {
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		writeProblem(rc, tooLarge())
		return
	}
	writeProblem(rc, problem(http.StatusBadRequest, "bad_request", "the request could not be read", ""))
}

// recovered keeps a fault in one page from ending the node, and all of its streams, since fasthttp does
// not recover from panics.
func (s *Server) recovered(next fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(rc *fasthttp.RequestCtx) {
		defer func() {
			if p := recover(); p != nil {
				s.Log.Error("operators' request panicked", "panic", p, "stack", string(debug.Stack()))
				rc.Response.Reset()
				writeProblem(rc, problem(http.StatusInternalServerError, CodeInternal,
					"the request could not be answered", "The log of the node has the reason."))
			}
		}()
		next(rc)
	}
}

// bodyLimit lets only those send large bodies whose key or session is valid.
func (s *Server) bodyLimit(h *fasthttp.RequestHeader) fasthttp.RequestConfig {
	limit := maxOpenBytes
	if bytes.HasPrefix(h.RequestURI(), []byte("/api/")) {
		if s.login.bearer(h) {
			limit = maxBodyBytes
		}
	} else if _, ok := s.login.session(h); ok {
		limit = maxPostBytes
	}
	return fasthttp.RequestConfig{MaxRequestBodySize: limit}
}

// secured adds the headers that keep pages from being framed, scripted or kept.
func secured(next fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(rc *fasthttp.RequestCtx) {
		next(rc)
		setSecurityHeaders(rc)
	}
}

func securedError(next func(*fasthttp.RequestCtx, error)) func(*fasthttp.RequestCtx, error) {
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
	// With no-referrer, browsers send "Origin: null" with posts from our own forms.
	h.Set("Referrer-Policy", "same-origin")
	if len(h.Peek("Cache-Control")) == 0 {
		h.Set("Cache-Control", "no-store")
	}
}

// callContext returns a context for the calls of the table that one request makes.
func (s *Server) callContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(s.ctx, callTimeout)
}
