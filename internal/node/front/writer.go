package front

import (
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// Writer writes the response to one request. It is not safe for concurrent use.
type Writer struct {
	conn *conn
	// headRequest is set if the response has no body because the request method is HEAD.
	headRequest bool
	// closeAfter is set if the connection is closed after this response.
	closeAfter bool
	// http10 is set if the caller uses HTTP/1.0, which has no chunked encoding: the end of the connection ends a
	// body of unknown length.
	http10 bool
	// incomplete is set if the response is incomplete. The connection is then closed without a normal end of the
	// response.
	incomplete bool
	// sent is set once part of the response may have been sent.
	sent    bool
	ended   bool
	chunked bool
	// endsWithConn is set if the end of the connection ends the body.
	endsWithConn bool
	remaining    int
	buf          []byte
}

// Started reports whether part of the response may have been sent.
func (w *Writer) Started() bool { return w.sent }

// Stopping reports whether the server closes its connections after their responses.
func (w *Writer) Stopping() bool { return w.conn.srv.closeAfterResponse.Load() }

// Start starts a response with the status and headers of h. The content length of h is the length of the body in
// bytes, or negative if it is unknown. The header is sent together with the first bytes of the body. Until then, another
// response can be started in its place.
func (w *Writer) Start(h *fasthttp.ResponseHeader) {
	w.closeAfter = w.closeAfter || w.conn.srv.closeAfterResponse.Load()
	h.SetNoDefaultContentType(true)
	h.SetProtocol(protocol) // The version is that of the sender of this message, also if another one sent the response.
	h.Del(fasthttp.HeaderKeepAlive)
	h.ResetConnectionClose()
	h.Del(fasthttp.HeaderConnection)
	w.remaining = h.ContentLength()
	unknown := w.remaining < 0 && !w.headRequest && bodyAllowed(h.StatusCode())
	w.chunked = unknown && !w.http10
	if w.endsWithConn = unknown && w.http10; w.endsWithConn {
		w.closeAfter = true
		h.Del(fasthttp.HeaderTransferEncoding)
	}
	if w.chunked {
		h.SetContentLength(-1)
	}
	if w.closeAfter {
		h.SetConnectionClose()
	}
	w.buf = h.AppendBytes(w.buf[:0])
}

// protocol is the version of all responses.
var protocol = []byte("HTTP/1.1")

func bodyAllowed(status int) bool {
	return status >= fasthttp.StatusOK && status != fasthttp.StatusNoContent && status != fasthttp.StatusNotModified
}

// Write sends bytes of the body without delay.
func (w *Writer) Write(b []byte) error {
	if len(b) == 0 {
		return nil
	}
	if w.chunked {
		w.buf = strconv.AppendInt(w.buf, int64(len(b)), 16)
		w.buf = append(w.buf, "\r\n"...)
		w.buf = append(w.buf, b...)
		w.buf = append(w.buf, "\r\n"...)
	} else {
		w.remaining -= len(b)
		w.buf = append(w.buf, b...)
	}
	return w.flush()
}

// End completes the response.
func (w *Writer) End() error {
	if w.chunked {
		w.buf = append(w.buf, "0\r\n\r\n"...)
	}
	w.ended = true
	return w.flush()
}

// Abort ends the response in a way that lets the caller detect that it is incomplete.
func (w *Writer) Abort() { w.incomplete = true }

// Refuse responds with a status, headers and a small body that this node generated.
func (w *Writer) Refuse(status int, header func(h *fasthttp.ResponseHeader), body []byte) {
	var h fasthttp.ResponseHeader
	h.SetStatusCode(status)
	h.SetContentLength(len(body))
	if header != nil {
		header(&h)
	}
	w.Start(&h)
	if !w.headRequest {
		w.buf = append(w.buf, body...)
	}
	w.remaining = 0
	if err := w.End(); err != nil {
		w.incomplete = true
	}
}

func (w *Writer) flush() error {
	if len(w.buf) == 0 {
		return nil
	}
	if err := w.conn.nc.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		w.incomplete = true
		return errors.Newf("set deadline: %w", err)
	}
	w.sent = true
	w.conn.answering.Store(true)
	_, err := w.conn.nc.Write(w.buf)
	w.buf = w.buf[:0]
	if err != nil {
		w.incomplete = true
		return errors.Newf("write response: %w", err)
	}
	return nil
}

// finish marks a response as incomplete if its handler did not complete it.
func (w *Writer) finish() {
	if !w.ended || (!w.chunked && w.remaining > 0 && !w.headRequest) {
		w.incomplete = true
	}
}
