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
	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
)

// writeBufferBytes bounds what the kernel holds for a caller that does not read. The default grows to
// megabytes, which would hide a slow caller.
const writeBufferBytes = 64 << 10

// Bounds of what is read and thrown away of a request that has been refused. Without that, the
// connection would be reset before the caller has read the refusal.
const (
	lingerTimeout = 500 * time.Millisecond
	lingerBytes   = 4 << 20
)

// listener bounds the number of connections and what each of them holds.
type listener struct {
	net.Listener
	open atomic.Int64
}

// Accept returns the next connection within the bound. Those past it are refused.
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
		if l.open.Add(1) > maxConnections {
			l.open.Add(-1)
			refuseConn(tcp)
			continue
		}
		return &conn{TCPConn: tcp, closed: func() { l.open.Add(-1) }}, nil
	}
}

// refuseConn answers a connection that is one too many. The answer fits the empty socket buffer, so the
// write does not block.
func refuseConn(tcp *net.TCPConn) {
	ferr := fault.New(fault.Overloaded, fault.NotRun, "the node has too many connections").WithRetryAfter(time.Second)
	body := encode(faultBody("", ferr))
	head := "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Type: application/json\r\n" +
		"Retry-After: 1\r\n\r\n"
	_, _ = tcp.Write(append([]byte(head), body...))
	_ = tcp.Close()
}

// conn is the connection of a caller.
type conn struct {
	*net.TCPConn
	linger atomic.Bool
	once   sync.Once
	closed func()
}

// Close closes the connection; after a refusal, it first lets the caller read that.
func (c *conn) Close() error {
	c.once.Do(c.closed)
	if c.linger.Swap(false) {
		_ = c.CloseWrite()
		_ = c.SetReadDeadline(time.Now().Add(lingerTimeout))
		_, _ = io.CopyN(io.Discard, c.TCPConn, lingerBytes)
	}
	return c.TCPConn.Close() //nolint:wrapcheck // net.Conn: the server compares the error.
}

// watchInterval is the time between looks at the connections of waiting callers.
const watchInterval = 250 * time.Millisecond

// watch notices callers that close their connection while they wait. A write would notice it, too, but
// whole answers and slow first tokens are written late.
type watch struct {
	mu    sync.Mutex
	conns map[*conn]context.CancelCauseFunc
}

func newWatch() *watch { return &watch{conns: make(map[*conn]context.CancelCauseFunc)} }

// add cancels the request when its caller closes nc. The returned function ends the watch.
func (w *watch) add(nc net.Conn, cancel context.CancelCauseFunc) func() {
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

// run looks at the connections until ctx ends.
func (w *watch) run(ctx context.Context) error {
	return tasks.Every(ctx, watchInterval, func(context.Context) { w.look() })
}

func (w *watch) look() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for c, cancel := range w.conns {
		if c.peerClosed() {
			cancel(relay.ErrCallerGone)
		}
	}
}

// peerClosed reports whether the caller has closed its side. It leaves bytes of a next request unread.
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

// quiet logs what the HTTP server reports of single connections at debug level: callers come and go.
type quiet struct {
	log hclog.Logger
}

// Printf implements fasthttp.Logger. The arguments can hold text of callers and are left out.
func (q quiet) Printf(format string, _ ...any) { q.log.Debug("http server", "event", format) }
