package caller

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"geraniumhollow/internal/core/fault"
	"geraniumhollow/internal/core/tasks"
	"geraniumhollow/internal/node/relay"
	"geraniumhollow/internal/route/shed"
	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/valyala/fasthttp"
)

// writeBufferBytes is the size of the kernel's send buffer. The default grows to megabytes, which would hide
// a caller that reads slowly or not at all.
const writeBufferBytes = 64 << 10

// Limits of the data that is read and discarded after a request was refused. Closing a connection with unread
// data would reset it before the caller has read the response.
const (
	lingerTimeout = 500 * time.Millisecond
	lingerBytes   = 4 << 20
)

// listener limits the number of connections and their send buffers.
type listener struct {
	net.Listener
	limit int
	// headerTimeout limits the header of a request.
	headerTimeout time.Duration
	// onReject is called for each connection that is rejected.
	onReject func()

	mu    sync.Mutex
	conns map[*conn]struct{}
}

// closingShare is the part of the limit of connections that may be open beyond it while idle ones are being closed.
const closingShare = 1.0 / 16

// Accept returns the next connection. For one beyond the limit, the one that has been idle for longest is closed; if none is idle, the
// new one is rejected.
func (l *listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err //nolint:wrapcheck // The server compares the error.
		}
		tcp, ok := nc.(*net.TCPConn)
		if !ok {
			return nc, nil
		}
		_ = tcp.SetWriteBuffer(writeBufferBytes)
		c := &conn{TCPConn: tcp, headerTimeout: l.headerTimeout}
		c.onClose = func() { l.remove(c) }
		c.idleSince.Store(time.Now().UnixNano())
		if !l.add(c) {
			l.onReject()
			rejectConn(tcp)
			continue
		}
		return c, nil
	}
}

func (l *listener) add(c *conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if n := len(l.conns); n >= l.limit && (n >= l.limit+int(closingShare*float64(l.limit)) || !l.closeIdle()) {
		return false
	}
	l.conns[c] = struct{}{}
	return true
}

func (l *listener) remove(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// closeIdle closes the connection that has been idle for longest, and reports false if none is idle. The lock must be held.
func (l *listener) closeIdle() bool {
	var idle *conn
	var since int64
	for c := range l.conns {
		if at := c.idleSince.Load(); at > 0 && (idle == nil || at < since) {
			idle, since = c, at
		}
	}
	if idle == nil || !idle.idleSince.CompareAndSwap(since, 0) {
		return false
	}
	// The server closes a connection whose wait for a request has timed out.
	idle.expired.Store(true)
	_ = idle.SetReadDeadline(time.Now())
	return true
}

// stateChanged records since when a connection is idle.
func stateChanged(nc net.Conn, state fasthttp.ConnState) {
	c, ok := nc.(*conn)
	switch {
	case !ok:
	case state == fasthttp.StateIdle:
		c.idleSince.Store(time.Now().UnixNano())
	case state == fasthttp.StateActive:
		c.idleSince.Store(0)
		c.expired.Store(false)
	}
}

// rejectConn responds with an error to a connection beyond the limit. The response fits in the empty send buffer, so
// the write does not block.
func rejectConn(tcp *net.TCPConn) {
	ferr := fault.New(fault.Overloaded, fault.NotRun, "the node has too many connections").WithRetryAfter(time.Second)
	body := encode(faultBody("", ferr))
	head := "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Type: application/json\r\n" +
		"Retry-After: 1\r\n\r\n"
	_, _ = tcp.Write(append([]byte(head), body...))
	_ = tcp.Close()
}

// conn is a connection of a caller.
type conn struct {
	*net.TCPConn
	lingerOnClose atomic.Bool
	closeOnce     sync.Once
	onClose       func()
	// idleSince is when the connection became idle, in nanoseconds, or 0 while it is not or is being closed.
	idleSince atomic.Int64
	// expired is set while the wait for a request ends for another connection. headerTimeout limits the header of a request that has
	// arrived nevertheless.
	expired       atomic.Bool
	headerTimeout time.Duration
	// body is the share of the body that is being read, or nil.
	body atomic.Pointer[shed.Body]
	// reads and received are the number of reads and bytes of the body reading. Only the reader of the connection uses them.
	reading         *shed.Body
	reads, received int
}

// Close closes the connection. If lingerOnClose is set, it first gives the caller time to read the response.
func (c *conn) Close() error {
	c.closeOnce.Do(c.onClose)
	if c.lingerOnClose.Swap(false) {
		_ = c.CloseWrite()
		_ = c.SetReadDeadline(time.Now().Add(lingerTimeout))
		_, _ = io.CopyN(io.Discard, c.TCPConn, lingerBytes)
	}
	return c.TCPConn.Close() //nolint:wrapcheck // net.Conn: the server compares the error.
}

// watchInterval is the interval of the checks for disconnected callers.
const watchInterval = 250 * time.Millisecond

// disconnectWatcher detects callers that close their connection while they wait for a response. A write would also
// fail, but it comes late for a non-streamed response or a slow first token.
type disconnectWatcher struct {
	mu    sync.Mutex
	conns map[*conn]context.CancelCauseFunc
}

func newDisconnectWatcher() *disconnectWatcher {
	return &disconnectWatcher{conns: make(map[*conn]context.CancelCauseFunc)}
}

// watch cancels a request when its caller closes nc. The returned function stops watching.
func (w *disconnectWatcher) watch(nc net.Conn, cancel context.CancelCauseFunc) func() {
	c, ok := nc.(*conn)
	if !ok {
		return func() {}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.conns[c] = cancel
	return func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.conns, c)
	}
}

// run checks the connections until ctx is cancelled.
func (w *disconnectWatcher) run(ctx context.Context) error {
	return tasks.Every(ctx, watchInterval, func(context.Context) { w.check() })
}

func (w *disconnectWatcher) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for c, cancel := range w.conns {
		if c.peerClosed() {
			cancel(relay.ErrCallerDisconnected)
		}
	}
}

// peerClosed reports whether the caller has closed its side. It does not consume bytes of a next request.
func (c *conn) peerClosed() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		closed = (n == 0 && err == nil) || errors.IsAny(err, syscall.ECONNRESET, syscall.ETIMEDOUT, syscall.EPIPE)
	})
	return closed || err != nil
}

// debugLogger logs the HTTP server's messages about connections at debug level, because failing connections are
// normal.
type debugLogger struct {
	log hclog.Logger
}

// Printf implements fasthttp.Logger. It omits the arguments, which may contain text of callers.
func (l debugLogger) Printf(format string, _ ...any) { l.log.Debug("http server", "event", format) }
