// Package conns holds a pool of HTTP/1.1 connections to one server.
//
// It exists beside fasthttp's own client because a sender must know three things that a general
// client hides: whether any byte of a request was written, which connection carries it, and that a
// connection with unread bytes is never used again.
package conns

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"geraniumhollow/internal/core/sock"
	"geraniumhollow/internal/wire/chunk"
	"geraniumhollow/internal/wire/head"
	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// Errors of a request.
var (
	// ErrNotSent marks an error of a request of which no byte was written.
	ErrNotSent = errors.New("request not sent")
	// ErrRefused marks an error of a request for which the server's host refused the connection: nothing listens at
	// the address.
	ErrRefused = errors.New("connection refused")
	// ErrTooMany means that the pool has as many connections as it may have.
	ErrTooMany = errors.New("too many connections")
	// errDial marks an error of making a connection.
	errDial = errors.New("cannot connect")
)

// Defaults of Options.
const (
	defaultDialTimeout = time.Second
	defaultIdleTimeout = 20 * time.Second
	defaultMaxIdle     = 64
	bufferBytes        = 4 << 10
)

// userTimeout is how long sent bytes may stay unacknowledged before the kernel gives the connection up.
// The owner of a backend server's budget counts on a request not arriving more than 30 s after its
// grant, so the kernel must not keep one longer than that.
const userTimeout = 20 * time.Second

// Options shape a pool. Zero values have defaults.
type Options struct {
	// DialTimeout bounds making a connection, hello included.
	DialTimeout time.Duration
	// IdleTimeout is how long a connection may wait in the pool. It must be shorter than the
	// server's own, or a request can meet a connection that the server is closing.
	IdleTimeout time.Duration
	// MaxIdle bounds the connections that wait in the pool.
	MaxIdle int
	// MaxOpen bounds all connections of the pool; 0 is no bound.
	MaxOpen int
	// Limits bound the silence of a connection.
	Limits sock.Limits
	// DropUnsent has the kernel discard bytes that are unsent when a connection is closed. Otherwise it goes on sending them, so
	// that a request can arrive long after its context has ended.
	DropUnsent bool
	// Hello checks a new connection before its first request. An error closes the connection.
	Hello func(c *Conn) error
	// OnExchange is called when the headers of an answer have been read, and with the error if a new connection could not
	// be made or ended before that. fresh is set for the first exchange of a connection. Exchanges whose context or time
	// has ended are left out.
	OnExchange func(fresh bool, err error)
}

// Conn is one connection.
type Conn struct {
	nc       net.Conn
	br       *bufio.Reader
	bw       *bufio.Writer
	wrote    bool
	uses     int
	idleTill time.Time
}

// Pool keeps connections to one address. It is safe for concurrent use.
type Pool struct {
	addr string
	opts Options

	mu     sync.Mutex
	idle   []*Conn
	open   int
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
	if opts.Limits == (sock.Limits{}) {
		opts.Limits = sock.Limits{Unacknowledged: userTimeout}
	}
	return &Pool{addr: addr, opts: opts}
}

// Response is an answer whose body has not been read. Close must be called.
type Response struct {
	// Header is the status and the headers.
	Header *fasthttp.ResponseHeader

	resp *fasthttp.Response
	// body is nil if there is none.
	body io.Reader
	conn *Conn
	pool *Pool
	stop func() bool
	// endless and keep, how long the connection may be used again, are read from the headers as they came; callers may change them.
	endless bool
	keep    time.Duration
	eof     bool
	once    sync.Once
}

// Exchange is one request and the answer that is expected.
type Exchange struct {
	Request *fasthttp.Request
	// SendBy is the time after which the request is not sent; zero for none.
	SendBy time.Time
	// HeaderBy is when the headers of the answer must have arrived; zero for no bound.
	HeaderBy time.Time
	// Matches reports whether an answer belongs to the request. Others, such as a late second answer to an
	// earlier request, are skipped. Nil takes the first answer.
	Matches func(h *fasthttp.ResponseHeader) bool
}

// Do sends req and returns when the headers of the answer have been read. With a non-zero sendBy, the
// request is not sent after that time. See Exchange for errors.
func (p *Pool) Do(ctx context.Context, req *fasthttp.Request, sendBy time.Time) (*Response, error) {
	return p.Exchange(ctx, Exchange{Request: req, SendBy: sendBy})
}

// Exchange sends a request and returns when the headers of its answer have been read. An error that is
// marked ErrNotSent proves that no byte of the request left; any other error leaves that open. The
// connection is closed when ctx ends.
func (p *Pool) Exchange(ctx context.Context, x Exchange) (*Response, error) {
	c, err := p.take(ctx)
	if err != nil {
		if ctx.Err() == nil && errors.Is(err, errDial) {
			p.exchanged(true, err)
		}
		return nil, errors.Mark(err, ErrNotSent)
	}
	if !x.SendBy.IsZero() && time.Now().After(x.SendBy) {
		p.put(c, p.opts.IdleTimeout)
		return nil, errors.Mark(errors.New("too late to send"), ErrNotSent)
	}
	stop := context.AfterFunc(ctx, func() { _ = c.nc.Close() })
	resp, err := c.exchange(x)
	if err != nil {
		stop()
		p.discard(c)
		if ctxErr := ctx.Err(); ctxErr != nil {
			err = errors.Mark(errors.Newf("%v: %w", ctxErr, err), ctxErr)
		}
		if fresh := c.uses == 1; fresh && ctx.Err() == nil && !isTimeout(err) {
			p.exchanged(fresh, err)
		}
		if !c.wrote {
			return nil, errors.Mark(err, ErrNotSent)
		}
		return nil, err
	}
	p.exchanged(c.uses == 1, nil)
	return &Response{
		Header: &resp.Header, resp: resp, body: c.body(resp), conn: c, pool: p, stop: stop,
		endless: resp.Header.ContentLength() == identityLength, keep: keepFor(&resp.Header, p.opts.IdleTimeout),
	}, nil
}

// exchanged calls OnExchange.
func (p *Pool) exchanged(fresh bool, err error) {
	if p.opts.OnExchange != nil {
		p.opts.OnExchange(fresh, err)
	}
}

func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}

// SetReadDeadline bounds the next reads of the body; the zero time is no bound.
func (r *Response) SetReadDeadline(t time.Time) error {
	if err := r.conn.nc.SetReadDeadline(t); err != nil {
		return errors.Newf("set read deadline: %w", err)
	}
	return nil
}

// Buffered returns how many bytes can be read without waiting for the server.
func (r *Response) Buffered() int { return r.conn.br.Buffered() }

// UnknownLength reports whether the body ends with the connection, so that its end proves nothing.
func (r *Response) UnknownLength() bool { return r.endless }

// Reused reports whether the connection had carried an earlier request.
func (r *Response) Reused() bool { return r.conn.uses > 1 }

// Read reads the body.
func (r *Response) Read(b []byte) (int, error) {
	if r.body == nil {
		r.eof = true
		return 0, io.EOF
	}
	n, err := r.body.Read(b)
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
		if !r.eof || ended || r.endless {
			r.pool.discard(r.conn)
			return
		}
		_ = r.conn.nc.SetReadDeadline(time.Time{})
		r.pool.put(r.conn, r.keep)
	})
}

// Content lengths of a chunked body and of one that ends with its connection.
const (
	chunkedLength  = -1
	identityLength = -2
)

// body returns a reader of the body that follows the head of resp, or nil for an answer to HEAD and a status that has none.
func (c *Conn) body(resp *fasthttp.Response) io.Reader {
	stream := resp.BodyStream()
	if stream != nil && resp.Header.ContentLength() == chunkedLength {
		return chunk.NewReader(c.br)
	}
	return stream
}

// keepMargin is how much earlier than the server a connection is given up, so that no request meets the
// server's close on its way.
const keepMargin = 500 * time.Millisecond

// keepFor returns how long a connection may wait for its next request: less than the server announces, and 0 if it closes the
// connection.
func keepFor(h *fasthttp.ResponseHeader, longest time.Duration) time.Duration {
	if h.ConnectionClose() {
		return 0
	}
	_, after, ok := bytes.Cut(h.Peek(fasthttp.HeaderKeepAlive), []byte("timeout="))
	if !ok {
		return longest
	}
	seconds, _, _ := bytes.Cut(after, []byte(","))
	n, err := strconv.Atoi(string(bytes.TrimSpace(seconds)))
	if err != nil || n <= 0 {
		return longest
	}
	return min(longest, time.Duration(n)*time.Second-keepMargin)
}

// Close closes the waiting connections; later requests fail.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		p.closeLocked(c)
	}
	p.idle = nil
}

// take returns a waiting connection or makes one.
func (p *Pool) take(ctx context.Context) (*Conn, error) {
	c, err := p.takeIdle()
	if err != nil || c != nil {
		return c, err
	}
	c, err = p.dial(ctx)
	if err != nil {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.open--
	}
	return c, err
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
		if time.Now().Before(c.idleTill) && c.silent() {
			c.wrote = false
			return c, nil
		}
		p.closeLocked(c)
	}
	if p.opts.MaxOpen > 0 && p.open >= p.opts.MaxOpen {
		return nil, ErrTooMany
	}
	p.open++
	return nil, nil //nolint:nilnil // No waiting connection is no error.
}

// silent reports whether the server has neither closed a waiting connection nor sent bytes on it. A
// request on a closed connection would be lost without proof that it did not run.
func (c *Conn) silent() bool {
	return c.br.Buffered() == 0 && sock.PeerSilent(c.nc)
}

func (p *Pool) dial(ctx context.Context) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.opts.DialTimeout)
	defer cancel()
	nc, err := p.opts.Limits.Dial(ctx, p.addr)
	if errors.Is(err, syscall.ECONNREFUSED) {
		err = errors.Mark(err, ErrRefused)
	}
	if err != nil {
		return nil, errors.Mark(errors.Newf("new connection: %w", err), errDial)
	}
	if tcp, ok := nc.(*net.TCPConn); ok && p.opts.DropUnsent {
		if err := tcp.SetLinger(0); err != nil {
			_ = nc.Close()
			return nil, errors.Newf("new connection: %w", err)
		}
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

// put keeps a connection for a later request, for at most keep.
func (p *Pool) put(c *Conn, keep time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropExpired()
	if p.closed || keep <= 0 || len(p.idle) >= p.opts.MaxIdle || c.br.Buffered() > 0 {
		p.closeLocked(c)
		return
	}
	c.idleTill = time.Now().Add(keep)
	p.idle = append(p.idle, c)
}

// discard closes a connection that cannot be used again.
func (p *Pool) discard(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeLocked(c)
}

func (p *Pool) closeLocked(c *Conn) {
	_ = c.nc.Close()
	p.open--
}

// dropExpired closes the connections that have waited too long.
func (p *Pool) dropExpired() {
	now := time.Now()
	p.idle = slices.DeleteFunc(p.idle, func(c *Conn) bool {
		expired := !now.Before(c.idleTill)
		if expired {
			p.closeLocked(c)
		}
		return expired
	})
}

// exchange writes a request and reads the headers of its answer.
func (c *Conn) exchange(x Exchange) (*fasthttp.Response, error) {
	c.uses++
	if err := x.Request.Write(c.bw); err != nil {
		return nil, errors.Newf("write request: %w", err)
	}
	if err := c.bw.Flush(); err != nil {
		return nil, errors.Newf("flush request: %w", err)
	}
	if !x.HeaderBy.IsZero() {
		if err := c.nc.SetReadDeadline(x.HeaderBy); err != nil {
			return nil, errors.Newf("set read deadline: %w", err)
		}
	}
	for range maxSkipped {
		if err := head.Await(c.br); err != nil {
			return nil, errors.Newf("await answer: %w", err)
		}
		resp := &fasthttp.Response{StreamBody: true, SkipBody: x.Request.Header.IsHead()}
		if err := resp.Read(c.br); err != nil {
			return nil, errors.Newf("read answer: %w", err)
		}
		if x.Matches == nil || x.Matches(&resp.Header) {
			return resp, nil
		}
		if err := c.skipBody(resp); err != nil {
			return nil, err
		}
	}
	return nil, errors.New("too many answers to other requests")
}

// Bounds of what is skipped on a connection before the answer to its request.
const (
	maxSkipped      = 4
	maxSkippedBytes = 1 << 20
)

// skipBody reads past the body of an answer to another request.
func (c *Conn) skipBody(resp *fasthttp.Response) error {
	if resp.Header.ContentLength() == identityLength {
		return errors.New("an answer to another request has no end")
	}
	body := c.body(resp)
	if body == nil {
		return nil
	}
	n, err := io.CopyN(io.Discard, body, maxSkippedBytes)
	if err == nil {
		return errors.Newf("an answer to another request has more than %d bytes", n)
	}
	if !errors.Is(err, io.EOF) {
		return errors.Newf("skip an answer to another request: %w", err)
	}
	return nil
}

// Get sends a GET for a whole body of at most maxBytes; it serves hello checks.
func (c *Conn) Get(path, host string, maxBytes int) (Whole, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI(path)
	req.Header.SetHost(host)
	resp, err := c.exchange(Exchange{Request: req})
	if err != nil {
		return Whole{}, err
	}
	answer := Whole{Header: &resp.Header}
	if body := c.body(resp); body != nil {
		if answer.Body, err = readBody(body, maxBytes); err != nil {
			return Whole{}, err
		}
	}
	_ = resp.CloseBodyStream()
	return answer, nil
}

// writeNoter notes that bytes were handed to the kernel, whether or not the write succeeded.
type writeNoter struct {
	c *Conn
}

func (w writeNoter) Write(b []byte) (int, error) {
	w.c.wrote = true
	return w.c.nc.Write(b) //nolint:wrapcheck // Wrapped by exchange.
}
