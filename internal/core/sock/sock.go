// Package sock sets up TCP sockets so that a silent peer is noticed within a bound.
package sock

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// keepAliveProbes is the number of unanswered probes that end a connection.
const keepAliveProbes = 2

// Limits bound how long a connection may be silent without proof that its peer is there. A zero
// duration leaves the kernel's default.
type Limits struct {
	// Unacknowledged is how long sent bytes may wait for their acknowledgement.
	Unacknowledged time.Duration
	// KeepAlive is the time without bytes before a probe, and between probes.
	KeepAlive time.Duration
}

// Local are the limits of connections between hosts of the platform, whose round trips take a few milliseconds: a peer
// that is silent for so long has ended or cannot be reached.
var Local = Limits{Unacknowledged: 1500 * time.Millisecond, KeepAlive: time.Second}

// Dial makes a connection to addr, an IP and port.
func (l Limits) Dial(ctx context.Context, addr string) (net.Conn, error) {
	d := net.Dialer{Control: l.control, KeepAliveConfig: l.keepAlive()}
	nc, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, errors.Newf("dial %s: %w", addr, err)
	}
	return nc, nil
}

// Listen opens a listener at addr whose connections have the limits.
func (l Limits) Listen(ctx context.Context, addr string) (net.Listener, error) {
	cfg := net.ListenConfig{Control: l.control, KeepAliveConfig: l.keepAlive()}
	ln, err := cfg.Listen(ctx, "tcp", addr)
	if err != nil {
		return nil, errors.Newf("listen on %s: %w", addr, err)
	}
	return ln, nil
}

func (l Limits) keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: l.KeepAlive > 0, Idle: l.KeepAlive, Interval: l.KeepAlive, Count: keepAliveProbes}
}

// control sets the user timeout of a socket before it is connected.
func (l Limits) control(_, _ string, raw syscall.RawConn) error {
	if l.Unacknowledged == 0 {
		return nil
	}
	var err error
	ctlErr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(l.Unacknowledged.Milliseconds()))
	})
	if ctlErr != nil {
		return errors.Newf("reach socket: %w", ctlErr)
	}
	if err != nil {
		return errors.Newf("set user timeout: %w", err)
	}
	return nil
}

// PeerSilent reports whether the peer has neither closed the connection nor sent bytes that are unread.
func PeerSilent(nc net.Conn) bool {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	silent := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		silent = errors.Is(err, syscall.EAGAIN)
	})
	return silent && err == nil
}
