// Package front accepts connections of callers and reads their HTTP/1.1 requests. A Handler writes the
// responses incrementally, as the bytes of a backend server arrive.
//
// It replaces fasthttp's server, whose parser it uses, because a relay of long responses must detect at once
// that a caller has disconnected, must send each event without delay, and must be able to end a response in a
// way that shows that it is incomplete.
package front

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"geraniumhollow/internal/core/logbuf"
	"geraniumhollow/internal/core/sock"
	"geraniumhollow/internal/core/tasks"
	"geraniumhollow/internal/route/shed"
	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/valyala/fasthttp"
)

// ErrCallerDisconnected is the cancellation cause of a request's context if the caller has disconnected.
var ErrCallerDisconnected = errors.New("caller closed the connection")

// TCPLimits holds the TCP limits of caller connections: a caller whose host is unreachable is detected within about
// 10 s, and unacknowledged data is kept no longer than that.
var TCPLimits = sock.Limits{Unacknowledged: 10 * time.Second, KeepAlive: 4 * time.Second}

// Limits holds the limits of requests. Zero values have defaults.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Defaults of Limits, which apply until a configuration is loaded.
const (
	defaultHeaderBytes   = 16 << 10
	defaultBodyBytes     = 4 << 20
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 15 * time.Second
)

func (l Limits) withDefaults() Limits {
	if l.HeaderBytes <= 0 {
		l.HeaderBytes = defaultHeaderBytes
	}
	if l.BodyBytes <= 0 {
		l.BodyBytes = defaultBodyBytes
	}
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = defaultHeaderTimeout
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = defaultIdleTimeout
	}
	return l
}

// Request is a completely read request.
type Request struct {
	Header *fasthttp.RequestHeader
	Body   []byte
	// Arrived is when the first byte of the request was available.
	Arrived time.Time
}

// Handler handles requests. It must call Writer.Start and Writer.End, or Writer.Abort, before it
// returns. When the caller disconnects, ctx is cancelled with the cause ErrCallerDisconnected.
type Handler interface {
	Handle(ctx context.Context, r *Request, w *Writer)
}

// HeaderChecker is implemented by handlers that can tell from the header that a request is refused.
type HeaderChecker interface {
	// RefuseByHeader responds to a request whose body has not been read if its header is enough to refuse it, and reports whether it
	// did. The request is not handled then.
	RefuseByHeader(r *Request, w *Writer) bool
}

// Config holds the settings and dependencies of a server.
type Config struct {
	Handler Handler
	// Limits returns the current limits.
	Limits func() Limits
	// MaxConnections limits the number of open connections. For one beyond it, the one that has been idle for longest is closed, or
	// one that is slow to send its request; if there is none, the new one is closed. 0 means no limit.
	MaxConnections int
	// Bodies is the memory for request bodies, or nil for no limit.
	Bodies *shed.Budget
	// MarkShed adds headers to the refusal of a request whose body gave way to others. Nil adds none.
	MarkShed func(h *fasthttp.ResponseHeader)
	Log      hclog.Logger
}

// Server serves the callers of a node. It is safe for concurrent use.
type Server struct {
	cfg Config
	// closeAfterResponse is set if each connection is closed after its next response. draining is when Drain was called, after
	// which connections without a request are closed, new ones after firstRequestTime.
	closeAfterResponse atomic.Bool
	draining           atomic.Pointer[time.Time]
	// stopped is closed when no connections are accepted any more.
	stopped chan struct{}
	// ending is set once CancelUnanswered was called.
	ending atomic.Bool
	// unreadable and refused limit the log lines of requests that cannot be read and of connections beyond the limit.
	unreadable, refused logbuf.Limited

	// shedConns counts the connections that were closed for others or refused.
	shedConns atomic.Uint64

	mu    sync.Mutex
	ln    net.Listener
	conns map[*conn]struct{}
}

// New returns a server that does not accept connections until Run is called.
func New(cfg Config) *Server {
	if cfg.Bodies == nil {
		cfg.Bodies = shed.New(0)
	}
	return &Server{cfg: cfg, stopped: make(chan struct{}), conns: make(map[*conn]struct{})}
}

// Run accepts connections on ln until ctx is cancelled. It returns after all connections have been closed. It is called once.
func (s *Server) Run(ctx context.Context, ln net.Listener) error {
	s.mu.Lock()
	s.ln = ln
	s.mu.Unlock()
	g := tasks.New(ctx)
	g.Go("accept", func(ctx context.Context) error { return s.accept(ctx, g, ln) })
	g.Go("close", func(ctx context.Context) error {
		<-ctx.Done()
		s.closeAll()
		if err := ln.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
			return errors.Newf("close listener: %w", err)
		}
		return nil
	})
	if err := g.Wait(); err != nil {
		return errors.Newf("serve callers: %w", err)
	}
	return nil
}

// acceptRetryDelay is the delay after a failed accept, for example if there is no free file descriptor.
const acceptRetryDelay = 20 * time.Millisecond

func (s *Server) accept(ctx context.Context, g *tasks.Group, ln net.Listener) error {
	defer close(s.stopped)
	for s.draining.Load() == nil {
		nc, err := ln.Accept()
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			if err == nil {
				_ = nc.Close()
			}
			return nil
		}
		switch {
		case err == nil:
			s.serve(g, nc)
		case !isTimeout(err): // beginDrain sets a deadline.
			s.cfg.Log.Warn("cannot accept connection", "error", err)
			tasks.Sleep(ctx, acceptRetryDelay)
		}
	}
	s.acceptPending(g, ln)
	_ = ln.Close()
	return nil
}

// maxPending limits the connections that a draining server still accepts, so that it stops while callers go on to connect.
const maxPending = 4096

// acceptPending accepts the connections that callers have already made, which closing the listener would reset.
func (s *Server) acceptPending(g *tasks.Group, ln net.Listener) {
	if d, ok := ln.(deadliner); ok { // The deadline of beginDrain has passed.
		_ = d.SetDeadline(time.Now().Add(firstRequestTime))
	}
	for range maxPending {
		if !sock.HasPending(ln) {
			return
		}
		nc, err := ln.Accept()
		if err != nil {
			s.cfg.Log.Warn("cannot accept connection", "error", err)
			return
		}
		s.serve(g, nc)
	}
}

// serve starts serving a connection, or closes it if there are too many.
func (s *Server) serve(g *tasks.Group, nc net.Conn) {
	c := &conn{nc: nc, client: clientAddress(nc), srv: s, entered: time.Now()}
	if !s.addConn(c) {
		s.refused.Log(s.cfg.Log, hclog.Warn, "closed a connection beyond the connection limit", "limit", s.cfg.MaxConnections)
		_ = nc.Close()
		return
	}
	g.Go("connection", func(ctx context.Context) error {
		defer s.removeConn(c)
		c.serve(ctx, g)
		return nil
	})
}

// deadliner is a listener whose Accept can be ended without closing it.
type deadliner interface {
	SetDeadline(t time.Time) error
}

// Drain stops accepting connections, closes each connection after the current response, and closes idle connections. A request
// that has begun to arrive is still read and handled, and so is the first one of a connection that the caller has already made.
func (s *Server) Drain() {
	s.closeAfterResponse.Store(true)
	if s.beginDrain() {
		<-s.stopped
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.drain()
	}
}

// beginDrain makes accept end, and reports whether it has begun.
func (s *Server) beginDrain() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ln != nil && s.draining.Load() == nil {
		// accept replaces this deadline once it sees that the server drains, so it must be set before.
		d, ok := s.ln.(deadliner)
		if !ok || d.SetDeadline(time.Now()) != nil {
			_ = s.ln.Close()
		}
	}
	s.draining.CompareAndSwap(nil, new(time.Now()))
	return s.ln != nil
}

// ErrServerEnds is the cancellation cause of a request's context if its server has no time left for it.
var ErrServerEnds = errors.New("server ends")

// CancelUnanswered cancels the requests that have got no part of a response yet, and those that arrive later, so that their
// callers get one before the server ends.
func (s *Server) CancelUnanswered() {
	s.ending.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if cancel := c.cancel.Load(); cancel != nil && c.busy() && !c.answering.Load() {
			(*cancel)(ErrServerEnds)
		}
	}
}

// CloseAfterResponse closes each connection after its next response, but keeps idle connections open.
func (s *Server) CloseAfterResponse() { s.closeAfterResponse.Store(true) }

// OpenConnections returns the number of open connections.
func (s *Server) OpenConnections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// ShedConnections returns the number of connections that were closed for others, or refused, because there were too many.
func (s *Server) ShedConnections() uint64 { return s.shedConns.Load() }

// ActiveRequests returns the number of requests that are being handled.
func (s *Server) ActiveRequests() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for c := range s.conns {
		if c.busy() {
			n++
		}
	}
	return n
}

func (s *Server) removeConn(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

func (s *Server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.nc.Close()
	}
}

func (s *Server) limits() Limits { return s.cfg.Limits().withDefaults() }

// newReader returns a reader whose buffer holds a header of the maximum size.
func newReader(r io.Reader, l Limits) *bufio.Reader { return bufio.NewReaderSize(r, l.HeaderBytes) }
