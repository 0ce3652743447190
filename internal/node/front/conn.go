package front

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"sync/atomic"
	"time"

	"geraniumhollow/internal/core/tasks"
	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// Bounds of what is read and thrown away after the last answer of a connection. A connection that is
// closed with unread bytes is reset, which can destroy the answer on its way.
const (
	lingerTimeout = 500 * time.Millisecond
	lingerBytes   = 4 << 20
)

// writeTimeout bounds a write to a caller that takes nothing.
const writeTimeout = 10 * time.Second

// conn is one connection of a caller.
type conn struct {
	nc  net.Conn
	br  *bufio.Reader
	srv *Server
	// busy is set while a request is answered.
	busy atomic.Bool
}

// run reads requests and has them answered one after the other. It reads on while a request is answered, so
// that it notices when the caller leaves.
func (c *conn) run(ctx context.Context, g *tasks.Group) {
	defer func() { _ = c.nc.Close() }()
	c.br = newReader(c.nc, c.srv.limits())
	for c.awaitRequest() {
		req, ok := c.read()
		if !ok {
			return
		}
		if !c.answer(ctx, g, req) {
			return
		}
	}
}

// awaitRequest waits for the first byte of a request. It returns false when none comes.
func (c *conn) awaitRequest() bool {
	if c.br.Buffered() > 0 {
		return true
	}
	if err := c.nc.SetReadDeadline(time.Now().Add(c.srv.limits().IdleTimeout)); err != nil {
		return false
	}
	if c.srv.draining.Load() {
		// Set after the deadline, so that a drain that begins meanwhile is not missed.
		_ = c.nc.SetReadDeadline(time.Now())
	}
	_, err := c.br.Peek(1)
	return err == nil
}

// read reads a whole request. A request that cannot be read is refused and ends the connection.
func (c *conn) read() (*message, bool) {
	l := c.srv.limits()
	m := &message{req: fasthttp.AcquireRequest(), arrived: time.Now()}
	status, err := c.readInto(m, l)
	if err == nil {
		return m, true
	}
	c.srv.cfg.Log.Info("refused a request that cannot be read", "status", status, "error", err)
	if status != 0 {
		c.refuse(status)
	}
	m.release()
	return nil, false
}

// readInto reads a request and returns the status of a refusal, or 0 if the caller has gone.
func (c *conn) readInto(m *message, l Limits) (int, error) {
	if err := c.nc.SetReadDeadline(time.Now().Add(l.HeaderTimeout)); err != nil {
		return 0, errors.Newf("set deadline: %w", err)
	}
	if err := m.req.Header.Read(c.br); err != nil {
		return headerStatus(err), errors.Newf("read header: %w", err)
	}
	if twoLengths(&m.req.Header) {
		return fasthttp.StatusBadRequest, errors.New("a request with a length and chunks")
	}
	m.req.Header.SetNoDefaultContentType(true)
	if err := c.nc.SetReadDeadline(time.Now().Add(l.IdleTimeout)); err != nil {
		return 0, errors.Newf("set deadline: %w", err)
	}
	if m.req.Header.ContentLength() > l.BodyBytes {
		return fasthttp.StatusRequestEntityTooLarge, fasthttp.ErrBodyTooLarge
	}
	if m.req.MayContinue() {
		if _, err := io.WriteString(c.nc, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return 0, errors.Newf("write interim answer: %w", err)
		}
	}
	if err := m.req.ContinueReadBody(c.br, l.BodyBytes, false); err != nil {
		if errors.Is(err, fasthttp.ErrBodyTooLarge) {
			return fasthttp.StatusRequestEntityTooLarge, err
		}
		if gone(err) {
			return 0, errors.Newf("read body: %w", err)
		}
		return fasthttp.StatusBadRequest, errors.Newf("read body: %w", err)
	}
	return 0, nil
}

// twoLengths reports whether a header says in two ways where its body ends. Hops that take different ones see
// different requests.
func twoLengths(h *fasthttp.RequestHeader) bool {
	chunks, length := false, false
	for line := range bytes.Lines(h.RawHeaders()) {
		name, _, _ := bytes.Cut(line, []byte(":"))
		chunks = chunks || bytes.EqualFold(name, []byte(fasthttp.HeaderTransferEncoding))
		length = length || bytes.EqualFold(name, []byte(fasthttp.HeaderContentLength))
	}
	return chunks && length
}

func headerStatus(err error) int {
	var small *fasthttp.ErrSmallBuffer
	switch {
	case errors.As(err, &small):
		return fasthttp.StatusRequestHeaderFieldsTooLarge
	case timedOut(err):
		return fasthttp.StatusRequestTimeout
	case gone(err):
		return 0
	default:
		return fasthttp.StatusBadRequest
	}
}

func timedOut(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}

// gone reports whether the connection, not the request, is the reason of an error.
func gone(err error) bool {
	var op *net.OpError
	return errors.IsAny(err, io.EOF, io.ErrUnexpectedEOF, net.ErrClosed) || errors.As(err, &op)
}

// refuse answers a request that could not be read and closes the connection.
func (c *conn) refuse(status int) {
	w := &Writer{c: c, last: true}
	w.Refuse(status, nil, nil)
	c.linger()
}

// answer has a request answered and reports whether the connection can be used again.
func (c *conn) answer(ctx context.Context, g *tasks.Group, m *message) bool {
	c.busy.Store(true)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	w := &Writer{
		c: c, head: m.req.Header.IsHead(), last: m.req.Header.ConnectionClose(), plain: !m.req.Header.IsHTTP11(),
	}
	if err := c.nc.SetReadDeadline(time.Time{}); err != nil {
		m.release()
		return false
	}
	done := make(chan struct{})
	g.Go("request", func(context.Context) error {
		defer close(done)
		c.srv.cfg.Handler.Handle(ctx, &Request{Header: &m.req.Header, Body: m.req.Body(), Arrived: m.arrived}, w)
		w.finish()
		m.release()
		// Once there is an answer, the reader waits for a next request or the idle timeout.
		c.busy.Store(false)
		_ = c.nc.SetReadDeadline(c.nextDeadline(w))
		return nil
	})
	_, err := c.br.Peek(1)
	if err != nil && !timedOut(err) {
		cancel(ErrCallerGone)
	}
	<-done
	if w.last && !w.broken {
		c.linger()
	}
	return err == nil && !w.last && !w.broken
}

// nextDeadline returns until when the reader waits after an answer.
func (c *conn) nextDeadline(w *Writer) time.Time {
	if w.last || w.broken || c.srv.draining.Load() {
		return time.Now()
	}
	return time.Now().Add(c.srv.limits().IdleTimeout)
}

// linger lets the caller read the last answer before the connection is closed.
func (c *conn) linger() {
	if tcp, ok := c.nc.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	_ = c.nc.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.CopyN(io.Discard, c.nc, lingerBytes)
}

// message is a request that is being read or answered.
type message struct {
	req     *fasthttp.Request
	arrived time.Time
}

func (m *message) release() { fasthttp.ReleaseRequest(m.req) }
