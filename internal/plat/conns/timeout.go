package conns

import (
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// userTimeout is how long sent bytes may stay unacknowledged before the kernel gives the connection up.
// The owner of a backend server's budget counts on a request not arriving more than 30 s after its
// grant, so the kernel must not keep one longer than that.
const userTimeout = 20 * time.Second

// limitUnacknowledged sets the user timeout of a socket before it is connected.
func limitUnacknowledged(_, _ string, raw syscall.RawConn) error {
	var err error
	ctlErr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if ctlErr != nil {
		return errors.Newf("reach socket: %w", ctlErr)
	}
	if err != nil {
		return errors.Newf("set user timeout: %w", err)
	}
	return nil
}
