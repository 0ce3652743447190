package front

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"geraniumhollow/internal/core/sock"
	"geraniumhollow/internal/core/tasks"
	"geraniumhollow/internal/route/shed"
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
	case isTimeout(err):
		return closedIdle
	case errors.Is(err, net.ErrClosed):
		return closedWithServer
	default:
		return closedByCaller
	}
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

// readRequest reads a complete request. It returns nil if the header was enough to refuse the request, or why the connection
// must be closed: a request that cannot be read ends it.
func (c *conn) readRequest() (*pendingRequest, closeReason) {
	l := c.srv.limits()
	pending := &pendingRequest{req: fasthttp.AcquireRequest(), arrived: time.Now()}
	status, err := c.readInto(pending, l)
	switch {
	case err == nil:
		return pending, ""
	case errors.Is(err, errRefused):
		return nil, c.discardBody(pending, l)
	}
	shed := pending.body != nil && pending.body.WasShed()
	if shed {
		status = fasthttp.StatusServiceUnavailable
	}
	// The buffers of the request are free before the caller has taken the response.
	pending.release()
	c.srv.unreadable.log(c.srv.cfg.Log, "refused a request that cannot be read", "status", status, "shed", shed, "error", err)
	if status != 0 {
		c.refuse(status)
	}
	return nil, closedUnreadable
}

// errRefused means that a request was refused because of its header.
var errRefused = errors.New("refused by its header")

// readInto reads a request into m. On an error, it returns the status to refuse the request with, or 0 if the
// connection has failed.
func (c *conn) readInto(pending *pendingRequest, l Limits) (int, error) {
	c.readErr = nil
	if err := c.enter(reading, time.Now().Add(l.HeaderTimeout)); err != nil {
		return 0, err
	}
	if err := pending.req.Header.Read(c.br); err != nil {
		return c.readErrorStatus(err), errors.Newf("read header: %w", err)
	}
	if hasTwoLengths(&pending.req.Header) {
		return fasthttp.StatusBadRequest, errors.New("request has both Content-Length and Transfer-Encoding")
	}
	pending.req.Header.SetNoDefaultContentType(true)
	length := pending.req.Header.ContentLength()
	if length > l.BodyBytes {
		return fasthttp.StatusRequestEntityTooLarge, fasthttp.ErrBodyTooLarge
	}
	if (length == chunkedLength || length > c.br.Buffered()) && c.refusedByHeader(pending) {
		return 0, errRefused
	}
	if err := c.enter(readingBody, time.Now().Add(l.IdleTimeout)); err != nil {
		return 0, err
	}
	if pending.req.MayContinue() {
		if _, err := io.WriteString(c.nc, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return 0, errors.Newf("write interim response: %w", err)
		}
	}
	if err := c.readBody(pending, length, l); err != nil {
		return c.readErrorStatus(err), errors.Newf("read body: %w", err)
	}
	return 0, nil
}

// chunkedLength is the length that the parser gives for a chunked body.
const chunkedLength = -1

// readBody reads the body of a request, which draws on the budget of the process until the request is released.
func (c *conn) readBody(pending *pendingRequest, length int, l Limits) error {
	if length != chunkedLength && length <= 0 {
		// It has none.
		return pending.req.ContinueReadBody(c.br, l.BodyBytes, false) //nolint:wrapcheck // The caller wraps it.
	}
	pending.body = c.srv.cfg.Bodies.Open(pending.arrived, c.client, length, l.BodyBytes, c)
	r := bodyReader{br: c.br, share: pending.body, limit: l.BodyBytes}
	var err error
	if length == chunkedLength {
		err = r.readChunked(&pending.req.Header)
	} else {
		err = r.read(length, length)
	}
	if err == nil && !pending.body.Complete() {
		err = errShed
	}
	if err != nil {
		return err
	}
	pending.bytes = r.buf
	return nil
}

// refusedByHeader lets the handler refuse a request whose body has not arrived yet. The connection can be used further only if
// little of the body is to come.
func (c *conn) refusedByHeader(pending *pendingRequest) bool {
	checker, ok := c.srv.cfg.Handler.(HeaderChecker)
	if !ok {
		return false
	}
	h := &pending.req.Header
	length := h.ContentLength()
	// A caller that waits for an interim response may not send the body.
	short := length != chunkedLength && length <= maxDiscardBytes && !pending.req.MayContinue()
	w := &Writer{conn: c, headRequest: h.IsHead(), closeAfter: h.ConnectionClose() || !short, http10: !h.IsHTTP11()}
	if !checker.RefuseByHeader(&Request{Header: h, Arrived: pending.arrived}, w) {
		return false
	}
	w.finish()
	pending.closes = w.closeAfter || w.incomplete
	c.requests++
	return true
}

// maxDiscardBytes is the length up to which the body of a refused request is read, so that the connection can be used further.
const maxDiscardBytes = shed.SmallBytes

// discardBody reads past the body of a request that was refused because of its header. It returns why the connection must be closed.
func (c *conn) discardBody(pending *pendingRequest, l Limits) closeReason {
	defer pending.release()
	if pending.closes {
		c.linger()
		return closedLastResponse
	}
	if err := c.enter(readingBody, time.Now().Add(l.IdleTimeout)); err != nil {
		return closedByCaller
	}
	if _, err := c.br.Discard(pending.req.Header.ContentLength()); err != nil {
		return c.readErrorReason(err)
	}
	c.lastActive = time.Now()
	return ""
}

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

// hasTwoLengths reports whether a header has both Content-Length and Transfer-Encoding. Proxies that use different ones
// see different requests (request smuggling).
func hasTwoLengths(h *fasthttp.RequestHeader) bool {
	chunks, length := false, false
	for line := range bytes.Lines(h.RawHeaders()) {
		name, _, _ := bytes.Cut(line, []byte(":"))
		chunks = chunks || bytes.EqualFold(name, []byte(fasthttp.HeaderTransferEncoding))
		length = length || bytes.EqualFold(name, []byte(fasthttp.HeaderContentLength))
	}
	return chunks && length
}

// readErrorStatus returns the status to refuse a request with that cannot be read, or 0 if the connection has failed.
func (c *conn) readErrorStatus(err error) int {
	var small *fasthttp.ErrSmallBuffer
	switch {
	case errors.Is(err, errShed):
		return fasthttp.StatusServiceUnavailable
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return fasthttp.StatusRequestEntityTooLarge
	case isTimeout(c.readErr):
		return fasthttp.StatusRequestTimeout
	case c.readErr != nil:
		return 0
	case errors.As(err, &small):
		return fasthttp.StatusRequestHeaderFieldsTooLarge
	default:
		return fasthttp.StatusBadRequest
	}
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

// retryAfterShed is the value of Retry-After, in seconds, for a request whose body gave way to others.
const retryAfterShed = "1"

// refuse responds to a request that could not be read. The caller of refuse closes the connection.
func (c *conn) refuse(status int) {
	w := &Writer{conn: c, closeAfter: true}
	w.Refuse(status, func(h *fasthttp.ResponseHeader) {
		if status == fasthttp.StatusServiceUnavailable {
			h.Set(fasthttp.HeaderRetryAfter, retryAfterShed)
		}
	}, nil)
	c.linger()
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

// callHandler calls the handler. A panic ends the response, but not those to other callers.
func (c *conn) callHandler(ctx context.Context, r *Request, w *Writer) {
	defer func() {
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
	}()
	c.srv.cfg.Handler.Handle(ctx, r, w)
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

// pendingRequest is a request that is being read or handled.
type pendingRequest struct {
	req     *fasthttp.Request
	arrived time.Time
	// bytes is the body, and body its share of the budget, or nil if it has none.
	bytes []byte
	body  *shed.Body
	// closes is set if the connection must be closed after the request was refused because of its header.
	closes bool
}

func (p *pendingRequest) release() {
	fasthttp.ReleaseRequest(p.req)
	p.bytes = nil
	if p.body != nil {
		p.body.Close()
	}
}
