// Package front accepts connections of callers and reads their HTTP/1.1 requests, which a Handler
// answers with the bytes of a backend server as they arrive.
//
// It exists beside fasthttp's server, whose parser it uses, because a relay of long answers must know at
// once that a caller has left, must write each event on its own, and must be able to end an answer so
// that it does not look complete.
package front

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"geraniumhollow/internal/core/sock"
	"geraniumhollow/internal/core/tasks"
	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/valyala/fasthttp"
)

// ErrCallerGone is the cause with which the context of a request ends when its caller has left.
var ErrCallerGone = errors.New("caller closed the connection")

// Silence bounds connections of callers: one whose host has gone is noticed within about 10 s, and bytes
// that it does not acknowledge are not kept for longer.
var Silence = sock.Limits{Unacknowledged: 10 * time.Second, KeepAlive: 4 * time.Second}

// Limits bound what callers may send. Zero values have defaults.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Defaults of Limits, which hold until a configuration is known.
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

// Request is a request that has been read in full.
type Request struct {
	Header *fasthttp.RequestHeader
	Body   []byte
	// Arrived is when its first byte was read.
	Arrived time.Time
}

// Handler answers requests. It must call Writer.Begin and Writer.End, or Writer.Abort, before it
// returns. ctx ends when the caller leaves, with ErrCallerGone as its cause.
type Handler interface {
	Handle(ctx context.Context, r *Request, w *Writer)
}

// Config is what a server is made of.
type Config struct {
	Handler Handler
	// Limits returns the limits in force.
	Limits func() Limits
	// MaxConnections bounds the open connections; those beyond it are refused.
	MaxConnections int
	Log            hclog.Logger
}

// Server serves the callers of a node. It is safe for concurrent use.
type Server struct {
	cfg Config
	// last says that each connection ends with its next answer, draining that those without a request end
	// at once.
	last     atomic.Bool
	draining atomic.Bool

	mu    sync.Mutex
	ln    net.Listener
	conns map[*conn]struct{}
}

// New returns a server that does not serve yet.
func New(cfg Config) *Server {
	return &Server{cfg: cfg, conns: make(map[*conn]struct{})}
}

// Run accepts connections on ln until ctx ends. It returns when all connections have ended.
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

// acceptPause is the wait after a failed accept, such as one without a free descriptor.
const acceptPause = 20 * time.Millisecond

func (s *Server) accept(ctx context.Context, g *tasks.Group, ln net.Listener) error {
	for {
		nc, err := ln.Accept()
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			if err == nil {
				_ = nc.Close()
			}
			return nil
		}
		if err != nil {
			s.cfg.Log.Warn("cannot accept a connection", "error", err)
			tasks.Sleep(ctx, acceptPause)
			continue
		}
		c := &conn{nc: nc, srv: s}
		if !s.add(c) {
			s.cfg.Log.Warn("refused a connection beyond the limit", "limit", s.cfg.MaxConnections)
			_ = nc.Close()
			continue
		}
		g.Go("connection", func(ctx context.Context) error {
			defer s.remove(c)
			c.run(ctx, g)
			return nil
		})
	}
}

// Drain accepts no more connections, makes each connection end after the answer that it waits for, and ends
// those that wait for none.
func (s *Server) Drain() {
	s.last.Store(true)
	s.draining.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ln != nil {
		_ = s.ln.Close()
	}
	for c := range s.conns {
		if !c.busy.Load() {
			// The reader of the connection wakes up and finds that the server drains.
			_ = c.nc.SetReadDeadline(time.Now())
		}
	}
}

// AnswerLast makes each connection end after its next answer, without ending those that wait for none.
func (s *Server) AnswerLast() { s.last.Store(true) }

// Open returns the number of open connections.
func (s *Server) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Busy returns the number of requests that are answered.
func (s *Server) Busy() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for c := range s.conns {
		if c.busy.Load() {
			n++
		}
	}
	return n
}

func (s *Server) add(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cfg.MaxConnections > 0 && len(s.conns) >= s.cfg.MaxConnections {
		return false
	}
	s.conns[c] = struct{}{}
	return true
}

func (s *Server) remove(c *conn) {
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

// newReader returns a buffer that holds the largest header.
func newReader(nc net.Conn, l Limits) *bufio.Reader { return bufio.NewReaderSize(nc, l.HeaderBytes) }
