package front

import (
	"bufio"
	"context"
	"io"
	"net"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"geraniumhollow/internal/core/sock"
	"geraniumhollow/internal/core/tasks"
	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// Limits of the data that is read and discarded after the last response of a connection. Closing a connection
// with unread data resets it, which can discard the response before the caller has received it.
const (
	lingerTimeout = 500 * time.Millisecond
	lingerBytes   = 4 << 20
)

// writeTimeout bounds a write to a caller that reads nothing.
const writeTimeout = 10 * time.Second

// closeReason is why the server closes a connection.
type closeReason string

// Reasons for closing a connection.
const (
	// closedByCaller includes connections that the caller asked to close after the response.
	closedByCaller     closeReason = "caller closed it"
	closedIdle         closeReason = "idle"
	closedForOthers    closeReason = "too many connections"
	closedDraining     closeReason = "draining"
	closedWithServer   closeReason = "server ended"
	closedUnreadable   closeReason = "request cannot be read"
	closedLastResponse closeReason = "last response"
	closedIncomplete   closeReason = "incomplete response"
)

// drainReadTime is how long a draining server reads on a request that has begun to arrive.
const drainReadTime = 500 * time.Millisecond

// firstRequestTime is how long a draining server waits for the first request of a connection, which its caller may have just opened.
const firstRequestTime = 200 * time.Millisecond

// phase is what a connection does.
type phase int

// Phases of a connection, which repeat with each request.
const (
	// awaiting means that no byte of a request has arrived.
	awaiting phase = iota
	// reading means that part of a header has arrived, and readingBody that the header has.
	reading
	readingBody
	// handling means that a request is handled.
	handling
	// lingering means that the last response has been sent.
	lingering
)

// conn is a connection of a caller.
type conn struct {
	nc net.Conn
	// client is the IP address of the caller.
	client string
	br     *bufio.Reader
	srv    *Server
	// readErr is the last error of reading from nc.
	readErr error
	// mu guards phase, entered, expired, served and deadline, the read deadline of the phase if the server does not drain.
	mu       sync.Mutex
	phase    phase
	deadline time.Time
	// entered is when the phase began. expired is set once the connection has to end the phase for others.
	entered time.Time
	expired bool
	// served is set once a request has been handled.
	served bool
	// answering is set once part of the response may have been sent, and cancel cancels the context of the request.
	answering atomic.Bool
	cancel    atomic.Pointer[context.CancelCauseFunc]
	// requests is the number of requests that were handled, lastActive when the last one ended or the connection was
	// accepted.
	requests   int
	lastActive time.Time
}

// serve serves the connection until it closes it.
func (c *conn) serve(ctx context.Context, g *tasks.Group) {
	defer func() { _ = c.nc.Close() }()
	c.lastActive = time.Now()
	c.br = newReader(connReader{c}, c.srv.limits())
	c.logClosed(c.serveRequests(ctx, g))
}

// serveRequests reads requests and handles them one after another. It returns why the connection must be closed. While a
// request is handled, it waits for more data, so that it detects when the caller disconnects.
func (c *conn) serveRequests(ctx context.Context, g *tasks.Group) closeReason {
	for {
		if err := c.awaitRequest(); err != nil {
			return c.readErrorReason(err)
		}
		req, reason := c.readRequest()
		if reason != "" {
			return reason
		}
		if req == nil {
			continue // Its header was enough to refuse it.
		}
		if reason, closes := c.handleRequest(ctx, g, req); closes {
			return reason
		}
	}
}

// enter begins a phase with a read deadline, or none.
func (c *conn) enter(p phase, deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if c.expired = c.expired && p == awaiting; c.expired {
		deadline = now
	}
	c.phase, c.deadline, c.entered = p, deadline, now
	c.served = c.served || p == handling
	return c.applyDeadline()
}

// drain applies the deadline of a draining server.
func (c *conn) drain() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.applyDeadline()
}

// applyDeadline sets the read deadline of the phase. While the server drains, no request may begin, unless the caller has opened
// the connection for it, and one that has begun must arrive soon. The lock must be held.
func (c *conn) applyDeadline() error {
	t := c.deadline
	if since := c.srv.draining.Load(); since != nil {
		switch {
		case c.phase == awaiting && c.served:
			t = *since
		case c.phase == awaiting:
			t = earlier(t, since.Add(firstRequestTime))
		case c.phase == reading || c.phase == readingBody:
			t = earlier(t, since.Add(drainReadTime))
		}
	}
	if err := c.nc.SetReadDeadline(t); err != nil {
		return errors.Newf("set deadline: %w", err)
	}
	return nil
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// busy reports whether a request is being handled.
func (c *conn) busy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase == handling
}

// readErrorReason returns the reason for closing a connection on which waiting for a request failed.
func (c *conn) readErrorReason(err error) closeReason {
	switch {
	case isTimeout(err) && c.srv.draining.Load() != nil:
		return closedDraining
	case isTimeout(err) && c.ended():
		return closedForOthers
	case isTimeout(err):
		return closedIdle
	case errors.Is(err, net.ErrClosed):
		return closedWithServer
	default:
		return closedByCaller
	}
}

// ended reports whether the connection had to end its phase for others.
func (c *conn) ended() bool {
	_, _, expired := c.state()
	return expired
}

// logClosed logs that the server closes the connection. Data that was not read may be a request.
func (c *conn) logClosed(reason closeReason) {
	if reason == closedByCaller {
		return
	}
	unread := c.br.Buffered() > 0 || sock.HasUnread(c.nc)
	c.srv.cfg.Log.Info("closing a caller's connection", "reason", reason, "requests", c.requests,
		"idle_ms", time.Since(c.lastActive).Milliseconds(), "unread", unread)
}

// awaitRequest waits for the first byte of a request.
func (c *conn) awaitRequest() error {
	for c.br.Buffered() == 0 {
		idleUntil := c.idleUntil()
		if err := c.enter(awaiting, idleUntil); err != nil {
			return err
		}
		_, err := c.br.Peek(1)
		if isTimeout(err) && sock.HasUnread(c.nc) {
			// A deadline that passes while the process does not run hides data that arrived in time.
			if err := c.enter(reading, time.Now().Add(c.srv.limits().HeaderTimeout)); err != nil {
				return err
			}
			_, err = c.br.Peek(1)
		}
		// A new configuration may have extended the idle timeout, on which callers rely.
		extended := isTimeout(err) && c.srv.draining.Load() == nil && c.idleUntil().After(idleUntil)
		if err != nil && !extended {
			return errors.Newf("wait for a request: %w", err)
		}
	}
	return nil
}

// idleUntil returns when the connection has been idle for the idle timeout.
func (c *conn) idleUntil() time.Time { return c.lastActive.Add(c.srv.limits().IdleTimeout) }

// Shed implements shed.Source. It ends the wait for more of a body.
func (c *conn) Shed() { c.expire(readingBody) }

// expire ends the current wait of the connection if it is in a phase.
func (c *conn) expire(p phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != p {
		return
	}
	c.deadline, c.expired = time.Now(), true
	_ = c.applyDeadline()
}

// connReader reads from the connection and records the error, which the parser hides in its own.
type connReader struct{ c *conn }

// Read implements io.Reader.
func (r connReader) Read(b []byte) (int, error) {
	n, err := r.c.nc.Read(b)
	if err != nil {
		r.c.readErr = err
	}
	return n, err //nolint:wrapcheck // io.Reader: callers compare the error.
}

func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}

// handleRequest calls the handler for a request, and reports whether the connection must be closed and why.
func (c *conn) handleRequest(ctx context.Context, g *tasks.Group, pending *pendingRequest) (closeReason, bool) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	c.answering.Store(false)
	c.cancel.Store(&cancel)
	callerCloses := pending.req.Header.ConnectionClose()
	w := &Writer{
		conn: c, headRequest: pending.req.Header.IsHead(), closeAfter: callerCloses, http10: !pending.req.Header.IsHTTP11(),
	}
	if err := c.enter(handling, time.Time{}); err != nil {
		pending.release()
		return c.readErrorReason(err), true
	}
	if c.srv.ending.Load() {
		cancel(ErrServerEnds)
	}
	done := make(chan struct{})
	g.Go("request", func(context.Context) error {
		defer close(done)
		c.callHandler(ctx, &Request{Header: &pending.req.Header, Body: pending.bytes, Arrived: pending.arrived}, w)
		w.finish()
		pending.release()
		c.requests++
		c.lastActive = time.Now()
		// After the response, the reader waits for the next request or the idle timeout.
		_ = c.enter(awaiting, c.nextDeadline(w))
		return nil
	})
	_, err := c.br.Peek(1)
	switch {
	case errors.Is(err, net.ErrClosed):
		cancel(ErrServerEnds)
	case err != nil && !isTimeout(err):
		cancel(ErrCallerDisconnected)
	}
	<-done
	switch {
	case w.incomplete:
		if w.endsWithConn {
			c.resetOnClose()
		}
		return closedIncomplete, true
	case callerCloses:
		c.linger()
		return closedByCaller, true
	case w.closeAfter:
		c.linger()
		return closedLastResponse, true
	case err != nil && !isTimeout(err):
		return c.readErrorReason(err), true
	default:
		return "", false
	}
}

// callHandler calls the handler.
func (c *conn) callHandler(ctx context.Context, r *Request, w *Writer) {
	defer c.endAfterPanic(w)
	c.srv.cfg.Handler.Handle(ctx, r, w)
}

// endAfterPanic is to be deferred around calls of the handler. A panic ends the response, but not those to other callers.
func (c *conn) endAfterPanic(w *Writer) {
	p := recover()
	if p == nil {
		return
	}
	c.srv.cfg.Log.Error("a request caused a panic", "panic", p, "stack", string(debug.Stack()))
	w.closeAfter = true
	if w.Started() {
		w.Abort()
		return
	}
	w.Refuse(fasthttp.StatusInternalServerError, nil, nil)
}

// nextDeadline returns the read deadline after a response.
func (c *conn) nextDeadline(w *Writer) time.Time {
	if w.closeAfter || w.incomplete {
		return time.Now()
	}
	return time.Now().Add(c.srv.limits().IdleTimeout)
}

// resetOnClose makes the close of the connection a reset.
func (c *conn) resetOnClose() {
	if tcp, ok := c.nc.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}

// linger gives the caller time to read the last response before the connection is closed.
func (c *conn) linger() {
	if tcp, ok := c.nc.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	_ = c.enter(lingering, time.Now().Add(lingerTimeout))
	_, _ = io.CopyN(io.Discard, c.nc, lingerBytes)
}
