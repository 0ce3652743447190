package front

import (
	"bytes"
	"io"
	"time"

	"geraniumhollow/internal/route/shed"
	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/valyala/fasthttp"
)

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
	c.srv.unreadable.Log(c.srv.cfg.Log, hclog.Info, "refused a request that cannot be read", "status", status, "shed", shed, "error", err)
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
	if !c.callChecker(checker, &Request{Header: h, Arrived: pending.arrived}, w) {
		return false
	}
	w.finish()
	pending.closes = w.closeAfter || w.incomplete
	c.requests++
	return true
}

// callChecker reports whether the request was refused. It is if the checker panics.
func (c *conn) callChecker(checker HeaderChecker, r *Request, w *Writer) bool {
	refused := true
	func() {
		defer c.endAfterPanic(w)
		refused = checker.RefuseByHeader(r, w)
	}()
	return refused
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

// retryAfterShed is the value of Retry-After, in seconds, for a request whose body gave way to others.
const retryAfterShed = "1"

// refuse responds to a request that could not be read. The caller of refuse closes the connection.
func (c *conn) refuse(status int) {
	w := &Writer{conn: c, closeAfter: true}
	w.Refuse(status, func(h *fasthttp.ResponseHeader) {
		if status != fasthttp.StatusServiceUnavailable {
			return
		}
		h.Set(fasthttp.HeaderRetryAfter, retryAfterShed)
		if c.srv.cfg.MarkShed != nil {
			c.srv.cfg.MarkShed(h)
		}
	}, nil)
	c.linger()
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
