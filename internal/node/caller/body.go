package caller

import (
	"io"
	"net"
	"os"
	"time"

	"geraniumhollow/internal/core/fault"
	"geraniumhollow/internal/core/sock"
	"geraniumhollow/internal/route/shed"
	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/valyala/fasthttp"
)

// retryAfterShed is when a caller may repeat a request whose body gave way to others.
const retryAfterShed = time.Second

// maxDiscardBytes is the announced length up to which the rest of the body of a refused request is read, so that its connection can be
// used further.
const maxDiscardBytes = shed.SmallBytes

// readBody reads the body of a request, which draws on the budget of the process until the returned function is called.
func (s *Server) readBody(rc *fasthttp.RequestCtx) (func(), *fault.Error) {
	stream := rc.RequestBodyStream()
	if stream == nil {
		return func() {}, nil
	}
	c, _ := rc.Conn().(*conn)
	if c == nil {
		c = &conn{}
	}
	limit, length := s.view().Limits.BodyBytes, rc.Request.Header.ContentLength()
	share := s.bodies.Open(time.Now(), rc.RemoteIP().String(), length, limit, c)
	c.body.Store(share)
	defer c.body.Store(nil)
	buf, err := readStream(stream, share, length, limit)
	if err == nil && share.Complete() {
		rc.Request.SetBodyRaw(buf)
		return share.Close, nil
	}
	// The body may have been shed while it waited, which ends the wait as a timeout does.
	ferr := readFault(err)
	if share.WasShed() {
		s.shedLog.Log(s.log, hclog.Info, "refused a request whose body gave way to others", "client", rc.RemoteIP().String())
		ferr = fault.New(fault.Overloaded, fault.NotRun, "the node has no memory for the body").WithRetryAfter(retryAfterShed)
	}
	share.Close()
	return nil, ferr
}

// readStream reads a body of an announced length, or of a negative one, up to a limit. The buffer doubles as the body arrives.
func readStream(stream io.Reader, share *shed.Body, length, limit int) ([]byte, error) {
	most := limit
	if length >= 0 {
		most = length
	}
	var buf []byte
	for {
		if len(buf) == cap(buf) {
			size := min(max(2*cap(buf), shed.SmallBytes), most)
			if size <= cap(buf) {
				return buf, readEnd(stream)
			}
			if !share.Grow(time.Now(), size-cap(buf)) {
				return nil, errShed
			}
			buf = append(make([]byte, 0, size), buf...)
		}
		n, err := stream.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if errors.Is(err, io.EOF) {
			if len(buf) < length {
				// The stream of an announced length reports the end of the connection in the same way as the end of the body.
				return nil, io.ErrUnexpectedEOF
			}
			return buf, nil
		}
		if err != nil {
			return nil, errors.Newf("read body: %w", err)
		}
	}
}

// readEnd reads the end of a body that has its largest size.
func readEnd(stream io.Reader) error {
	var more [1]byte
	for {
		n, err := stream.Read(more[:])
		switch {
		case n > 0:
			return fasthttp.ErrBodyTooLarge
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return errors.Newf("read end of body: %w", err)
		}
	}
}

// errShed means that a body gave way to others because the memory for bodies was short.
var errShed = errors.New("body was shed")

// refuseUnread responds to a request whose body has not been read. The rest of a body that is not long is read afterwards.
func (s *Server) refuseUnread(rc *fasthttp.RequestCtx, id string, ferr *fault.Error) {
	if rc.Request.Header.ConnectionClose() {
		closeAfter(rc)
	}
	writeFault(rc, id, ferr)
}

// closeAfter closes the connection after the response, once the caller has had time to read it.
func closeAfter(rc *fasthttp.RequestCtx) {
	if c, ok := rc.Conn().(*conn); ok {
		c.lingerOnClose.Store(true)
	}
	rc.SetConnectionClose()
}

// Reads of a body that arrives in tiny pieces are delayed, so that a read takes more of them at once: a read of one byte costs as
// much processor time as one of some kilobytes. A body that is slow for another reason is delayed by one pause at most.
const (
	tinyReadBytes = 256
	tinyReads     = 64
	tinyReadPause = 20 * time.Millisecond
)

// Read implements net.Conn. It records the progress of the body that is being read.
func (c *conn) Read(b []byte) (int, error) {
	share := c.body.Load()
	if share == nil {
		return c.readRequest(b)
	}
	if c.reading != share {
		c.reading, c.reads, c.received = share, 0, 0
	}
	c.reads++
	if c.reads > tinyReads && c.received/c.reads < tinyReadBytes {
		time.Sleep(tinyReadPause)
	}
	n, err := c.TCPConn.Read(b)
	c.received += n
	if !share.Progress(time.Now(), c.received) && err == nil {
		return 0, net.ErrClosed
	}
	return n, err //nolint:wrapcheck // net.Conn: the server compares the error.
}

// readRequest reads while no body is read. A connection whose wait was ended for another one is kept if a request has arrived: the
// deadline hides data that is still unread.
func (c *conn) readRequest(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if errors.Is(err, os.ErrDeadlineExceeded) && c.expired.Swap(false) && sock.HasUnread(c.TCPConn) {
		if err := c.SetReadDeadline(time.Now().Add(c.headerTimeout)); err != nil {
			return 0, errors.Newf("set deadline: %w", err)
		}
		n, err = c.TCPConn.Read(b)
	}
	return n, err //nolint:wrapcheck // net.Conn: the server compares the error.
}

// Shed implements shed.Source. It ends the wait for more of a body.
func (c *conn) Shed() {
	if c.TCPConn != nil {
		_ = c.SetReadDeadline(time.Now())
	}
}
