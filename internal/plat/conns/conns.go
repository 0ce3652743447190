// Package conns holds a pool of HTTP/1.1 connections to one server.
//
// It exists beside fasthttp's own client because a sender must know three things that a general
// client hides: whether any byte of a request was written, which connection carries it, and that a
// connection with unread bytes is never used again.
package conns

import (
	"bufio"
	"context"
	"io"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// ErrNotSent marks an error of a request of which no byte was written.
var ErrNotSent = errors.New("request not sent")

// Defaults of Options.
const (
	defaultDialTimeout = time.Second
	defaultIdleTimeout = 20 * time.Second
	defaultMaxIdle     = 64
	bufferBytes        = 4 << 10
)

// Options shape a pool. Zero values have defaults.
type Options struct {
	// DialTimeout bounds making a connection, hello included.
	DialTimeout time.Duration
	// IdleTimeout is how long a connection may wait in the pool. It must be shorter than the
	// server's own, or a request can meet a connection that the server is closing.
	IdleTimeout time.Duration
	// MaxIdle bounds the connections that wait in the pool.
	MaxIdle int
	// Hello checks a new connection before its first request. An error closes the connection.
	Hello func(c *Conn) error
}

// Conn is one connection.
type Conn struct {
	nc       net.Conn
	br       *bufio.Reader
	bw       *bufio.Writer
	wrote    bool
	idleFrom time.Time
}

// Pool keeps connections to one address. It is safe for concurrent use.
type Pool struct {
	addr string
	opts Options

	mu     sync.Mutex
	idle   []*Conn
	closed bool
}

// New returns a pool for the server at addr, an IP and port.
func New(addr string, opts Options) *Pool {
	if opts.DialTimeout == 0 {
		opts.DialTimeout = defaultDialTimeout
	}
	if opts.IdleTimeout == 0 {
		opts.IdleTimeout = defaultIdleTimeout
	}
	if opts.MaxIdle == 0 {
		opts.MaxIdle = defaultMaxIdle
	}
	return &Pool{addr: addr, opts: opts}
}

// Response is an answer whose body has not been read. Close must be called.
type Response struct {
	// Header is the status and the headers.
	Header *fasthttp.ResponseHeader

	resp *fasthttp.Response
	conn *Conn
	pool *Pool
	stop func() bool
	eof  bool
	once sync.Once
}

// Do sends req and returns when the headers of the answer have been read. An error that is marked
// ErrNotSent proves that no byte of the request left; any other error leaves that open. The
// connection is closed when ctx ends. With a non-zero sendBy, the request is not sent after that time.
func (p *Pool) Do(ctx context.Context, req *fasthttp.Request, sendBy time.Time) (*Response, error) {
	c, err := p.take(ctx)
	if err != nil {
		return nil, errors.Mark(err, ErrNotSent)
	}
	if !sendBy.IsZero() && time.Now().After(sendBy) {
		p.put(c)
		return nil, errors.Mark(errors.New("too late to send"), ErrNotSent)
	}
	stop := context.AfterFunc(ctx, func() { _ = c.nc.Close() })
	resp, err := c.exchange(req)
	if err != nil {
		stop()
		_ = c.nc.Close()
		if ctxErr := ctx.Err(); ctxErr != nil {
			err = errors.Newf("%w: %w", ctxErr, err)
		}
		if !c.wrote {
			return nil, errors.Mark(err, ErrNotSent)
		}
		return nil, err
	}
	return &Response{Header: &resp.Header, resp: resp, conn: c, pool: p, stop: stop}, nil
}

// Read reads the body.
func (r *Response) Read(b []byte) (int, error) {
	body := r.resp.BodyStream()
	if body == nil { // An answer to HEAD, or a status that has no body.
		r.eof = true
		return 0, io.EOF
	}
	n, err := body.Read(b)
	if errors.Is(err, io.EOF) {
		r.eof = true
		return n, io.EOF
	}
	return n, err //nolint:wrapcheck // io.Reader: callers compare the error.
}

// drainTimeout bounds the wait for the end of a body whose content is already complete. Nobody waits for
// it; on a busy machine, 20 ms closed connections that could have been kept.
const drainTimeout = 250 * time.Millisecond

// drainBytes bounds what Drain reads.
const drainBytes = 512

// Drain reads the end of a body whose content is known to be complete, so that Close can keep the
// connection. It gives up after a short time.
func (r *Response) Drain() {
	if r.eof {
		return
	}
	_ = r.conn.nc.SetReadDeadline(time.Now().Add(drainTimeout))
	_, _ = io.CopyN(io.Discard, r, drainBytes)
	_ = r.conn.nc.SetReadDeadline(time.Time{})
}

// Close gives the connection back to the pool if the body was read to its end, else closes it.
func (r *Response) Close() {
	r.once.Do(func() {
		ended := !r.stop()
		_ = r.resp.CloseBodyStream()
		if !r.eof || ended || r.Header.ConnectionClose() {
			_ = r.conn.nc.Close()
			return
		}
		r.pool.put(r.conn)
	})
}

// Close closes the waiting connections; later requests fail.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		_ = c.nc.Close()
	}
	p.idle = nil
}

// take returns a waiting connection or makes one.
func (p *Pool) take(ctx context.Context) (*Conn, error) {
	c, err := p.takeIdle()
	if err != nil || c != nil {
		return c, err
	}
	return p.dial(ctx)
}

// takeIdle returns the youngest waiting connection that is still usable, or nil.
func (p *Pool) takeIdle() (*Conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, errors.New("pool is closed")
	}
	for n := len(p.idle); n > 0; n = len(p.idle) {
		c := p.idle[n-1]
		p.idle[n-1] = nil
		p.idle = p.idle[:n-1]
		if time.Since(c.idleFrom) < p.opts.IdleTimeout && c.silent() {
			c.wrote = false
			return c, nil
		}
		_ = c.nc.Close()
	}
	return nil, nil //nolint:nilnil // No waiting connection is no error.
}

// silent reports whether the server has neither closed a waiting connection nor sent bytes on it. A
// request on a closed connection would be lost without proof that it did not run.
func (c *Conn) silent() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	sc, ok := c.nc.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	silent := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		silent = errors.Is(err, syscall.EAGAIN)
	})
	return silent && err == nil
}

func (p *Pool) dial(ctx context.Context) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.opts.DialTimeout)
	defer cancel()
	d := net.Dialer{Control: limitUnacknowledged}
	nc, err := d.DialContext(ctx, "tcp", p.addr)
	if err != nil {
		return nil, errors.Newf("dial %s: %w", p.addr, err)
	}
	c := &Conn{nc: nc}
	c.br = bufio.NewReaderSize(nc, bufferBytes)
	c.bw = bufio.NewWriterSize(writeNoter{c: c}, bufferBytes)
	if p.opts.Hello == nil {
		return c, nil
	}
	if deadline, ok := ctx.Deadline(); ok {
		_ = nc.SetDeadline(deadline)
	}
	if err := p.opts.Hello(c); err != nil {
		_ = nc.Close()
		return nil, errors.Newf("hello to %s: %w", p.addr, err)
	}
	_ = nc.SetDeadline(time.Time{})
	c.wrote = false
	return c, nil
}

func (p *Pool) put(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle) >= p.opts.MaxIdle {
		_ = c.nc.Close()
		return
	}
	c.idleFrom = time.Now()
	p.dropExpired()
	p.idle = append(p.idle, c)
}

// dropExpired closes the connections that have waited too long; the oldest come first.
func (p *Pool) dropExpired() {
	n := 0
	for n < len(p.idle) && time.Since(p.idle[n].idleFrom) >= p.opts.IdleTimeout {
		_ = p.idle[n].nc.Close()
		n++
	}
	p.idle = slices.Delete(p.idle, 0, n)
}

// exchange writes a request and reads the headers of its answer.
func (c *Conn) exchange(req *fasthttp.Request) (*fasthttp.Response, error) {
	if err := req.Write(c.bw); err != nil {
		return nil, errors.Newf("write request: %w", err)
	}
	if err := c.bw.Flush(); err != nil {
		return nil, errors.Newf("flush request: %w", err)
	}
	resp := &fasthttp.Response{StreamBody: true, SkipBody: req.Header.IsHead()}
	if err := resp.Read(c.br); err != nil {
		return nil, errors.Newf("read answer: %w", err)
	}
	return resp, nil
}

// Get sends a GET for a whole small body; it serves hello checks.
func (c *Conn) Get(path, host string) (*fasthttp.ResponseHeader, []byte, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI(path)
	req.Header.SetHost(host)
	resp, err := c.exchange(req)
	if err != nil {
		return nil, nil, err
	}
	body, err := io.ReadAll(resp.BodyStream())
	if err != nil {
		return nil, nil, errors.Newf("read body: %w", err)
	}
	_ = resp.CloseBodyStream()
	return &resp.Header, body, nil
}

// writeNoter notes that bytes were handed to the kernel, whether or not the write succeeded.
type writeNoter struct {
	c *Conn
}

func (w writeNoter) Write(b []byte) (int, error) {
	w.c.wrote = true
	return w.c.nc.Write(b) //nolint:wrapcheck // Wrapped by exchange.
}
