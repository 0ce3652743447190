package caller

import (
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

// Listener is the listener that limits connections.
type Listener struct{ *listener }

// NewListener returns a Listener for one connection.
func NewListener(ln net.Listener, headerTimeout time.Duration) Listener {
	return Listener{&listener{Listener: ln, limit: 1, headerTimeout: headerTimeout, conns: make(map[*conn]struct{}), onReject: func() {}}}
}

// CloseIdle closes the connection that has been idle for longest.
func (l Listener) CloseIdle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closeIdle()
}

// SetIdle marks a connection as idle, as the server does after a response.
func (Listener) SetIdle(nc net.Conn) { stateChanged(nc, fasthttp.StateIdle) }
