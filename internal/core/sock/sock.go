// Package sock configures TCP sockets to detect an unresponsive peer within a bounded time.
package sock

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// keepAliveProbes is the number of unanswered probes after which the kernel closes a connection.
const keepAliveProbes = 2

// Limits are the timeouts that detect an unresponsive peer. A zero Unacknowledged keeps the kernel's
// default; a zero KeepAlive keeps the default keep-alive settings of package net.
type Limits struct {
	// Unacknowledged is the maximum time that sent data may remain unacknowledged (TCP_USER_TIMEOUT).
	Unacknowledged time.Duration
	// KeepAlive is the idle time before the first keep-alive probe, and the interval between probes.
	KeepAlive time.Duration
	// source is the local IP address of connections, or "" for the kernel's choice.
	source string
}

// WithSource returns limits whose Dial binds connections to a local IP address, by which the peer recognizes this node.
func (l Limits) WithSource(ip string) Limits {
	l.source = ip
	return l
}

// Local are the limits for connections between hosts of the platform. Round trips take a few
// milliseconds, so a peer that does not respond within these limits has stopped or is unreachable.
var Local = Limits{Unacknowledged: 1500 * time.Millisecond, KeepAlive: time.Second}

// Dial connects to addr, an IP address and port.
func (l Limits) Dial(ctx context.Context, addr string) (net.Conn, error) {
	d := net.Dialer{Control: l.control, KeepAliveConfig: l.keepAlive()}
	if l.source != "" {
		d.LocalAddr = &net.TCPAddr{IP: net.ParseIP(l.source)}
	}
	nc, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, errors.Newf("dial %s: %w", addr, err)
	}
	return nc, nil
}

// Listen opens a listener on addr and applies the limits to its connections.
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

// control sets TCP_USER_TIMEOUT on a socket before it connects or listens.
func (l Limits) control(_, _ string, raw syscall.RawConn) error {
	if l.Unacknowledged == 0 {
		return nil
	}
	var err error
	ctlErr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(l.Unacknowledged.Milliseconds()))
	})
	if ctlErr != nil {
		return errors.Newf("access socket: %w", ctlErr)
	}
	if err != nil {
		return errors.Newf("set TCP_USER_TIMEOUT: %w", err)
	}
	return nil
}

// PeerSilent reports whether the peer has neither closed the connection nor sent data that is still
// unread. It returns true if nc does not expose its socket, and false if the socket cannot be read.
func PeerSilent(nc net.Conn) bool {
	if _, ok := nc.(syscall.Conn); !ok {
		return true
	}
	_, err := peek(nc)
	return errors.Is(err, syscall.EAGAIN)
}

// HasUnread reports whether the peer has sent data that is still unread. It returns false if the socket cannot be read.
func HasUnread(nc net.Conn) bool {
	n, err := peek(nc)
	return err == nil && n > 0
}

// HasPending reports whether a connection waits to be accepted. It returns false if ln does not expose its socket.
func HasPending(ln net.Listener) bool {
	sc, ok := ln.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	ctlErr := raw.Control(func(fd uintptr) {
		n, err = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
	})
	return ctlErr == nil && err == nil && n > 0
}

// peek reads up to one byte without waiting or removing it. It returns 0 if the peer has closed the connection.
func peek(nc net.Conn) (int, error) {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return 0, errors.New("connection does not expose its socket")
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, errors.Newf("access socket: %w", err)
	}
	n, peekErr := 0, error(nil)
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, peekErr = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	if err == nil {
		err = peekErr
	}
	if err != nil {
		return 0, errors.Newf("read socket: %w", err)
	}
	return n, nil
}
