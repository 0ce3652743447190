package front

import (
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// Writer writes the answer to one request. It is used by one goroutine.
type Writer struct {
	c *conn
	// head says that the answer has no body because the request was a HEAD.
	head bool
	// last says that the connection ends after this answer.
	last bool
	// plain says that the caller speaks HTTP/1.0, which has no chunks: a body of unknown length ends with
	// the connection.
	plain bool
	// broken says that the answer is incomplete and the connection must not look as if it were whole.
	broken  bool
	begun   bool
	ended   bool
	chunked bool
	left    int
	buf     []byte
}

// Begun reports whether a part of the answer may have been sent.
func (w *Writer) Begun() bool { return w.begun }

// Begin starts an answer with the status and headers of h. The length of its body is taken from h: a
// number of bytes, or unknown if it is negative. The header leaves with the first bytes of the body.
func (w *Writer) Begin(h *fasthttp.ResponseHeader) {
	w.begun = true
	w.last = w.last || w.c.srv.last.Load()
	h.SetNoDefaultContentType(true)
	h.Del(fasthttp.HeaderKeepAlive)
	h.ResetConnectionClose()
	h.Del(fasthttp.HeaderConnection)
	w.left = h.ContentLength()
	unknown := w.left < 0 && !w.head && bodyAllowed(h.StatusCode())
	w.chunked = unknown && !w.plain
	w.last = w.last || (unknown && w.plain)
	if w.chunked {
		h.SetContentLength(-1)
	}
	if w.last {
		h.SetConnectionClose()
	}
	w.buf = h.AppendBytes(w.buf[:0])
}

func bodyAllowed(status int) bool {
	return status >= fasthttp.StatusOK && status != fasthttp.StatusNoContent && status != fasthttp.StatusNotModified
}

// Write sends bytes of the body at once.
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
		w.left -= len(b)
		w.buf = append(w.buf, b...)
	}
	return w.flush()
}

// End completes the answer.
func (w *Writer) End() error {
	if w.chunked {
		w.buf = append(w.buf, "0\r\n\r\n"...)
	}
	w.ended = true
	return w.flush()
}

// Abort ends the answer so that the caller sees that it is incomplete.
func (w *Writer) Abort() { w.broken = true }

// Refuse answers with a status, headers and a small body of the node's own.
func (w *Writer) Refuse(status int, header func(h *fasthttp.ResponseHeader), body []byte) {
	var h fasthttp.ResponseHeader
	h.SetStatusCode(status)
	h.SetContentLength(len(body))
	if header != nil {
		header(&h)
	}
	w.Begin(&h)
	if !w.head {
		w.buf = append(w.buf, body...)
	}
	w.left = 0
	if err := w.End(); err != nil {
		w.broken = true
	}
}

func (w *Writer) flush() error {
	if len(w.buf) == 0 {
		return nil
	}
	if err := w.c.nc.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		w.broken = true
		return errors.Newf("set deadline: %w", err)
	}
	_, err := w.c.nc.Write(w.buf)
	w.buf = w.buf[:0]
	if err != nil {
		w.broken = true
		return errors.Newf("write answer: %w", err)
	}
	return nil
}

// finish marks an answer that its handler left incomplete.
func (w *Writer) finish() {
	if !w.ended || (!w.chunked && w.left > 0 && !w.head) {
		w.broken = true
	}
}
